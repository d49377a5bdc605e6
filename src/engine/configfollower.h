#ifndef MONSOON_ENGINE_CONFIGFOLLOWER_H
#define MONSOON_ENGINE_CONFIGFOLLOWER_H

#include "core/configlog.h"
#include "engine/router.h"
#include "ports/clock.h"
#include "ports/recordstreams.h"

#include "absl/synchronization/mutex.h"

namespace monsoon {

/// How far an entry host has read the configuration log, and how stale that is.
struct FollowerReport {
  ConfigVersion m_Version = 0;
  bool m_LogReadable = false;
  /// Staleness: time since the log was last read to its end.
  Duration m_Age{};
  /// False while records have expired and no snapshot could be applied.
  bool m_Complete = true;
};

/// Reads the configuration log, installs new versions in the router, and
/// writes snapshots before the records that they replace expire.
class ConfigFollower {
public:
  /// A snapshot is due when no newer one was seen for SnapshotInterval plus a
  /// fifth of it for each step of Rank, so that usually only the host with the
  /// lowest rank writes.
  ConfigFollower(ConfigStream &Stream, Router &Routes, WaitingClock &Time,
                 Milliseconds SnapshotInterval, int Rank);

  /// Reads and applies the next page of records, then writes a snapshot if one
  /// is due. Must be called from a single thread.
  void poll();

  FollowerReport report() const;

private:
  void writeSnapshotIfDue();

  ConfigStream &m_Stream;
  Router &m_Routes;
  WaitingClock &m_Time;
  const Milliseconds m_SnapshotDelay;
  ConfigReplay m_Replay;
  std::optional<uint64_t> m_KnownSnapshot;
  TimePoint m_SnapshotTimerStart;
  mutable absl::Mutex m_Mutex;
  FollowerReport m_Report ABSL_GUARDED_BY(m_Mutex);
  TimePoint m_CaughtUpAt ABSL_GUARDED_BY(m_Mutex);
};

} // namespace monsoon

#endif
