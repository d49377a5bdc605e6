#ifndef MONSOON_PORTS_LOGSERVICE_H
#define MONSOON_PORTS_LOGSERVICE_H

#include "core/outcome.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsoon {

/// Position of a record within a stream of the platform's log.
using LogOffset = uint64_t;

/// One record of the platform's log.
struct LogRecord {
  LogOffset m_Offset = 0;
  std::string m_Data;
};

/// Consecutive records, with the bounds of what the stream holds.
struct LogPage {
  /// Offset of the oldest record that is still kept.
  LogOffset m_First = 0;
  /// Offset that the next appended record will get.
  LogOffset m_End = 0;
  std::vector<LogRecord> m_Records;
};

/// The platform's append-only log. It has no compare-and-set: readers decide
/// whether a record is valid.
class LogService {
public:
  virtual ~LogService() = default;

  /// Appends a record and returns its offset. After a failure it is unknown
  /// whether the record was written.
  virtual Outcome<LogOffset> append(const std::string &Stream,
                                    const std::string &Data) = 0;

  /// Reads the records from an offset on; expired ones are skipped.
  virtual Outcome<LogPage> read(const std::string &Stream, LogOffset From) = 0;
};

} // namespace monsoon

#endif
