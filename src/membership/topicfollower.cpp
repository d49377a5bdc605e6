#include "membership/topicfollower.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Pause after a read that failed, doubled with each further one.
constexpr Milliseconds RetryPause{150};
constexpr Milliseconds LongestRetryPause{600};
/// Hosts that don't lead read one after the other, so that the first one's read
/// serves the others as well.
constexpr Milliseconds RankPause{40};
constexpr size_t RanksApart = 8;

} // namespace

TopicFollower::TopicFollower(Options Config, SharedLog &Log, const Clock &Time,
                             Callback Records)
    : m_Config(std::move(Config)), m_Log(Log), m_Clock(Time),
      m_Records(std::move(Records)), m_RetryPause(RetryPause) {}

void TopicFollower::tick() {
  if (m_Reading || !isDue(m_Clock.now()))
    return;
  m_Reading = true;
  if (m_StartOver)
    readAll();
  else
    readOn();
}

bool TopicFollower::isDue(TimePoint Now) const {
  if (Now < m_NextRead)
    return false;
  if (m_StartOver || m_Rank == 0)
    return true;
  if (m_Wanted > m_End)
    return Now - m_WantedAt >= m_Config.m_TellingTime;
  return Now - m_CoveredAt >=
         m_Config.m_StandbyAge +
             RankPause * static_cast<int>(std::min(m_Rank, RanksApart));
}

void TopicFollower::notePeer(const TopicProgress &Peer) {
  const TimePoint Now = m_Clock.now();
  // Further changes don't prolong the wait for the first one.
  if (m_Wanted <= m_End && Peer.m_Changed > m_End)
    m_WantedAt = Now;
  m_Wanted = std::max<LogOffset>(m_Wanted, Peer.m_Changed);
  if (m_StartOver || m_Wanted > m_End)
    return;
  m_CoveredAt = std::max(m_CoveredAt, Now - Peer.m_Age);
  m_End = std::max<LogOffset>(m_End, Peer.m_End);
}

TopicProgress TopicFollower::progress() const {
  return {m_End, m_Changed,
          std::chrono::duration_cast<Milliseconds>(m_Clock.now() - m_ReadAt)};
}

void TopicFollower::startOver() { m_StartOver = true; }

void TopicFollower::skipTo(LogOffset End) {
  noteTold(End);
  m_CoveredAt = m_ReadAt = m_Clock.now();
}

void TopicFollower::noteTold(LogOffset End) {
  m_End = std::max(m_End, End);
  m_Changed = std::max(m_Changed, End);
}

void TopicFollower::passOn(const KeyedPage &Page, bool Whole) {
  m_CoveredAt = m_ReadAt = m_Clock.now();
  m_RetryPause = RetryPause;
  // What is told while the records are passed on must not call them unchanged.
  const LogOffset Before = std::exchange(m_Changed, std::max(m_Changed, m_End));
  const LogOffset Assumed = m_Changed;
  if (!m_Records(Page, Whole) && !Whole && m_Changed == Assumed)
    m_Changed = Before;
}

void TopicFollower::readAll() {
  m_Log.readNewest(m_Config.m_Topic,
                   [this, Alive = std::weak_ptr<bool>(m_Alive)](
                       const Outcome<KeyedPage> &Page) {
                     if (Alive.expired())
                       return;
                     m_Reading = false;
                     if (!Page) {
                       failed(Page.error().m_Kind);
                       return;
                     }
                     m_StartOver = false;
                     m_Synced = true;
                     m_End = Page.value().m_End;
                     passOn(Page.value(), true);
                     tick();
                   });
}

void TopicFollower::readOn() {
  m_Log.read(
      m_Config.m_Topic, m_End, m_Config.m_Wait,
      [this, Alive = std::weak_ptr<bool>(m_Alive)](Outcome<KeyedPage> Page) {
        if (Alive.expired())
          return;
        m_Reading = false;
        if (!Page) {
          failed(Page.error().m_Kind);
          return;
        }
        // Records that were skipped meanwhile are known already.
        auto &Records = Page.value().m_Records;
        Records.erase(std::remove_if(Records.begin(), Records.end(),
                                     [this](const KeyedRecord &Each) {
                                       return Each.m_Offset < m_End;
                                     }),
                      Records.end());
        m_NextRead = m_Clock.now() + m_Config.m_Pause;
        const LogOffset Next =
            Records.empty() ? m_End : Records.back().m_Offset + 1;
        m_End = std::max(m_End, Next);
        passOn(Page.value(), false);
        tick();
      });
}

void TopicFollower::failed(ErrorKind Kind) {
  m_StartOver = m_StartOver || Kind == ErrorKind::RecordsExpired;
  m_NextRead = m_Clock.now() + m_RetryPause;
  m_RetryPause = std::min(2 * m_RetryPause, LongestRetryPause);
}

} // namespace monsoon
