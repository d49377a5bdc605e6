#include "membership/hostpresence.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

constexpr Milliseconds AnnouncePause{2000};
constexpr Milliseconds ReadPause{1000};
/// A host that was not heard of for this long is taken as gone.
constexpr Milliseconds Absence{6000};
/// A host that has not been able to announce itself for this long may be taken
/// as gone soon. Leaves the others two reads' time.
constexpr Milliseconds Isolation{3500};

} // namespace

HostPresence::HostPresence(std::string Host, std::string Topic, SharedLog &Log,
                           const Clock &Time)
    : m_Host(std::move(Host)), m_Topic(std::move(Topic)), m_Log(Log),
      m_Clock(Time),
      m_Follower({m_Topic, Milliseconds(0), ReadPause}, Log, Time,
                 [this](const KeyedPage &Page, bool /*Whole*/) {
                   noteRecords(Page);
                 }) {}

void HostPresence::tick() {
  m_Follower.tick();
  const TimePoint Now = m_Clock.now();
  if (!m_Left && !m_Announcing && Now >= m_NextAnnouncement)
    announce(Now);
}

void HostPresence::announce(TimePoint Now) {
  m_Announcing = true;
  m_NextAnnouncement = Now + AnnouncePause;
  m_Log.append(m_Topic, {{m_Host, "here"}}, std::nullopt,
               [this, Now, Alive = std::weak_ptr<bool>(m_Alive)](
                   const Outcome<LogOffset> &End) {
                 if (Alive.expired())
                   return;
                 m_Announcing = false;
                 if (End)
                   m_LastAnnounced = Now;
               });
}

void HostPresence::leave() {
  if (std::exchange(m_Left, true))
    return;
  m_Log.append(m_Topic, {{m_Host, std::nullopt}}, std::nullopt,
               [](const Outcome<LogOffset> & /*End*/) {});
}

void HostPresence::noteRecords(const KeyedPage &Page) {
  const TimePoint Now = m_Clock.now();
  for (const KeyedRecord &Each : Page.m_Records) {
    if (Each.m_Value)
      m_Seen[Each.m_Key] = Now;
    else
      m_Seen.erase(Each.m_Key);
  }
  for (auto It = m_Seen.begin(); It != m_Seen.end();)
    It = Now - It->second > Absence ? m_Seen.erase(It) : std::next(It);
}

HostShare HostPresence::share() const {
  std::set<std::string> Hosts;
  for (const auto &[Host, Seen] : m_Seen)
    Hosts.insert(Host);
  const bool InTouch = m_Follower.isSynced() &&
                       m_LastAnnounced != TimePoint{} &&
                       m_Clock.now() - m_LastAnnounced < Isolation;
  return HostShare(m_Host, std::move(Hosts), InTouch);
}

size_t HostPresence::hosts() const {
  return m_Seen.size() + (m_Seen.count(m_Host) > 0 ? 0 : 1);
}

} // namespace monsoon
