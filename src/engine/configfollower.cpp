#include "engine/configfollower.h"

#include <utility>

namespace monsoon {

ConfigFollower::ConfigFollower(ConfigStream &Stream, Router &Routes,
                               WaitingClock &Time,
                               Milliseconds SnapshotInterval, int Rank)
    : m_Stream(Stream), m_Routes(Routes), m_Time(Time),
      m_SnapshotDelay(SnapshotInterval + SnapshotInterval / 5 * Rank),
      m_SnapshotTimerStart(Time.now()), m_CaughtUpAt(Time.now()) {}

void ConfigFollower::poll() {
  auto Page = m_Stream.read(m_Replay.nextOffset());
  if (!Page) {
    const absl::MutexLock Lock(&m_Mutex);
    m_Report.m_LogReadable = false;
    return;
  }
  const uint64_t End = Page.value().m_End;
  m_Replay.take(Page.value().m_First, std::move(Page.value().m_Entries));
  const ConfigState &State = m_Replay.state();
  if (m_Replay.isComplete() && State.tables())
    m_Routes.install(State.version(), State.tables());
  const bool AtEnd = m_Replay.nextOffset() >= End;
  if (AtEnd && m_Replay.isComplete() && State.tables())
    writeSnapshotIfDue();
  const absl::MutexLock Lock(&m_Mutex);
  m_Report.m_LogReadable = true;
  m_Report.m_Complete = m_Replay.isComplete();
  m_Report.m_Version = State.version();
  if (AtEnd)
    m_CaughtUpAt = m_Time.now();
}

void ConfigFollower::writeSnapshotIfDue() {
  const TimePoint Now = m_Time.now();
  if (m_Replay.snapshotAsOf() != m_KnownSnapshot) {
    m_KnownSnapshot = m_Replay.snapshotAsOf();
    m_SnapshotTimerStart = Now;
  }
  if (Now - m_SnapshotTimerStart < m_SnapshotDelay)
    return;
  m_SnapshotTimerStart = Now;
  // A failed append is retried after the next interval.
  (void)m_Stream.append(
      ConfigRecord{ConfigSnapshot{m_Replay.nextOffset(), m_Replay.state()}});
}

FollowerReport ConfigFollower::report() const {
  const absl::MutexLock Lock(&m_Mutex);
  FollowerReport Result = m_Report;
  Result.m_Age = m_Time.now() - m_CaughtUpAt;
  return Result;
}

} // namespace monsoon
