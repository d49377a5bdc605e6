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

/// The platform may restore its log from an older copy, which takes the newest
/// records away and gives their offsets to other records. Each restoration
/// begins an epoch. An offset carries the epoch in its high bits, so that
/// offsets only rise, and one of a former epoch never matches one of the
/// present epoch.
inline constexpr unsigned LogEpochShift = 40;
/// Epoch of a log that was never restored.
inline constexpr uint64_t FirstLogEpoch = 1;
/// Offsets of later epochs would not fit.
inline constexpr uint64_t MaxLogEpoch = (uint64_t{1} << 22) - 1;

/// The lowest offset of an epoch.
inline constexpr LogOffset firstOffset(uint64_t Epoch) {
  return (Epoch - FirstLogEpoch) << LogEpochShift;
}

/// The epoch of an offset, or of another number that starts at firstOffset().
inline constexpr uint64_t logEpoch(uint64_t Offset) {
  return (Offset >> LogEpochShift) + FirstLogEpoch;
}

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
  /// Where the topic ended when the page was read. Beyond m_End if the page
  /// could not hold all records; 0 if it holds all.
  LogOffset m_TopicEnd = 0;
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
  /// be, also in a later epoch.
  virtual void append(const std::string &Topic,
                      const std::vector<KeyedRecord> &Records,
                      std::optional<LogOffset> At, AppendDone Done) = 0;

  /// Reads records from an offset on, as many as a page can hold; waits up to
  /// Wait while there are none. RecordsExpired if some of them are no longer
  /// kept or the offset is of a former epoch.
  virtual void read(const std::string &Topic, LogOffset From, Milliseconds Wait,
                    ReadDone Done) = 0;

  /// Reads the newest record of each key. The end offset of the page is taken
  /// before the first record is read, so that reading on from there misses no
  /// record.
  virtual void readNewest(const std::string &Topic, ReadDone Done) = 0;
};

} // namespace monsoon

#endif
