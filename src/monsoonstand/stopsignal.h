#ifndef MONSOON_MONSOONSTAND_STOPSIGNAL_H
#define MONSOON_MONSOONSTAND_STOPSIGNAL_H

#include "core/timepoint.h"

namespace monsoon {

/// Blocks SIGTERM and SIGINT and waits for them; ignores SIGPIPE. Create it
/// before any thread: threads inherit the signal mask, so the signals are
/// delivered to wait() and waitFor() only.
class StopSignal {
public:
  StopSignal();

  /// Blocks until a signal arrives.
  void wait() const;

  /// Blocks until a signal arrives or the limit passes. True if one arrived.
  bool waitFor(Milliseconds Limit) const;
};

} // namespace monsoon

#endif
