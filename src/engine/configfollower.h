#ifndef MONSOON_ENGINE_CONFIGFOLLOWER_H
#define MONSOON_ENGINE_CONFIGFOLLOWER_H

#include "core/configlog.h"
#include "engine/router.h"
#include "ports/clock.h"
#include "ports/recordstreams.h"

#include "absl/synchronization/mutex.h"

namespace monsoon {

/// How current an entry host's reading of the log is.
struct FollowerReport {
  ConfigVersion m_Version = 0;
  bool m_LogReadable = false;
  /// Time since the log was last read to its end.
  Duration m_Age{};
  /// False while records have expired and no snapshot could be adopted.
  bool m_Complete = true;
};

/// Follows the configuration's stream, puts new versions in force, and writes
/// snapshots before the records that they stand for expire.
class ConfigFollower {
public:
  /// A snapshot is written when the newest one is older than the interval; of
  /// several hosts, those with a higher rank wait longer.
  ConfigFollower(ConfigStream &Stream, Router &Routes, WaitingClock &Time,
                 Milliseconds SnapshotInterval, int Rank);

  /// Reads what is new. Call it from one thread.
  void poll();

  FollowerReport report() const;

private:
  void writeSnapshot();

  ConfigStream &m_Stream;
  Router &m_Routes;
  WaitingClock &m_Time;
  const Milliseconds m_SnapshotPause;
  ConfigReplay m_Replay;
  std::optional<uint64_t> m_KnownSnapshot;
  TimePoint m_SnapshotSeenAt;
  mutable absl::Mutex m_Mutex;
  FollowerReport m_Report ABSL_GUARDED_BY(m_Mutex);
  TimePoint m_ReadAt ABSL_GUARDED_BY(m_Mutex);
};

} // namespace monsoon

#endif
