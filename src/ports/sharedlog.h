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

/// A record of a keyed topic. Without a value it removes the key.
struct KeyedRecord {
  std::string m_Key;
  std::optional<std::string> m_Value;
  LogOffset m_Offset = 0;
};

/// A run of records and the offset after the last one of the topic.
struct KeyedPage {
  LogOffset m_End = 0;
  std::vector<KeyedRecord> m_Records;
};

/// The platform's log as the event loop uses it: keyed topics, of which the
/// newest record of each key is kept for good. Calls return at once; callbacks
/// run on the event loop and are never called from within a call.
class SharedLog {
public:
  using AppendDone = std::function<void(Outcome<LogOffset>)>;
  using ReadDone = std::function<void(Outcome<KeyedPage>)>;

  virtual ~SharedLog() = default;

  /// Appends records, all or none, and returns the offset after them. With At
  /// they are appended only if the topic ends there; VersionLost otherwise.
  /// LogUnavailable leaves it open whether they are, or will be, appended.
  virtual void append(const std::string &Topic,
                      const std::vector<KeyedRecord> &Records,
                      std::optional<LogOffset> At, AppendDone Done) = 0;

  /// Reads the records from an offset on. With nothing to read it waits up to
  /// Wait. RecordsExpired if some of them are no longer kept.
  virtual void read(const std::string &Topic, LogOffset From, Milliseconds Wait,
                    ReadDone Done) = 0;

  /// Reads the newest record of each key. The end is that from before the
  /// first record was read, so that reading on from there misses nothing.
  virtual void readNewest(const std::string &Topic, ReadDone Done) = 0;
};

} // namespace monsoon

#endif
