#ifndef MONSOON_PROGRAM_EXITCODE_H
#define MONSOON_PROGRAM_EXITCODE_H

namespace monsoon {

/// Exit codes of the programs.
enum ExitCode {
  ExitOk = 0,
  ExitFailed = 1,
  ExitUsage = 2,
  /// The stop aborted requests that were still in flight.
  ExitRequestsAborted = 3
};

} // namespace monsoon

#endif
