#ifndef MONSOON_PORTS_SHAREDLOG_H
#define MONSOON_PORTS_SHAREDLOG_H

#include "core/outcome.h"
#include "core/timepoint.h"
#include "ports/logservice.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace monsoon {

/// A record of a keyed topic. A record without a value deletes the key.
struct KeyedRecord {
  std::string m_Key;
  std::optional<std::string> m_Value;
  LogOffset m_Offset = 0;
};

/// Consecutive records and the offset from which to read on.
struct KeyedPage {
  LogOffset m_End = 0;
  std::vector<KeyedRecord> m_Records;
};

/// Asynchronous access to the platform's log of keyed topics. Compaction always
/// keeps the newest record of each key. Calls do not block; callbacks run on
/// the event loop and never before the call returns.
class SharedLog {
public:
  using AppendDone = std::function<void(Outcome<LogOffset>)>;
  using ReadDone = std::function<void(Outcome<KeyedPage>)>;

  virtual ~SharedLog() = default;

  /// Appends records atomically and returns the offset after them. With At,
  /// they are appended only if the topic ends at that offset; VersionLost
  /// otherwise. After LogUnavailable they may have been appended or may still
  /// be.
  virtual void append(const std::string &Topic,
                      const std::vector<KeyedRecord> &Records,
                      std::optional<LogOffset> At, AppendDone Done) = 0;

  /// Reads the records from an offset on; waits up to Wait while there are
  /// none. RecordsExpired if some of them are no longer kept.
  virtual void read(const std::string &Topic, LogOffset From, Milliseconds Wait,
                    ReadDone Done) = 0;

  /// Reads the newest record of each key. The end offset of the page is taken
  /// before the first record is read, so that reading on from there misses no
  /// record.
  virtual void readNewest(const std::string &Topic, ReadDone Done) = 0;
};

} // namespace monsoon

#endif
