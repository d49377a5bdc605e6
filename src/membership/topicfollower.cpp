#include "membership/topicfollower.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Pause after a read that failed.
constexpr Milliseconds RetryPause{150};

} // namespace

TopicFollower::TopicFollower(Options Config, SharedLog &Log, const Clock &Time,
                             Callback Records)
    : m_Config(std::move(Config)), m_Log(Log), m_Clock(Time),
      m_Records(std::move(Records)) {}

void TopicFollower::tick() {
  if (m_Reading || m_Clock.now() < m_NextRead)
    return;
  m_Reading = true;
  if (m_StartOver)
    readAll();
  else
    readOn();
}

void TopicFollower::skipTo(LogOffset End) { m_End = std::max(m_End, End); }

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
                     m_LastRead = m_Clock.now();
                     m_Records(Page.value(), true);
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
        m_LastRead = m_Clock.now();
        m_NextRead = m_LastRead + m_Config.m_Pause;
        const LogOffset Next =
            Records.empty() ? m_End : Records.back().m_Offset + 1;
        m_End = std::max(m_End, Next);
        m_Records(Page.value(), false);
        tick();
      });
}

void TopicFollower::failed(ErrorKind Kind) {
  m_StartOver = m_StartOver || Kind == ErrorKind::RecordsExpired;
  m_NextRead = m_Clock.now() + RetryPause;
}

} // namespace monsoon
