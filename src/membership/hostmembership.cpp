#include "membership/hostmembership.h"

#include "core/keyspace.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace monsoon {

namespace {

/// How long a join keeps the duties. Shorter ones are lost in brief troubles of
/// the log; longer ones delay the succession of a lost host.
constexpr Milliseconds Stay{1500};
constexpr Milliseconds JoinPause{400};
/// Pause after a join that failed.
constexpr Milliseconds JoinRetry{100};
/// Each change of the members comes with another generation, upon which they
/// are asked for; this is for the case that one was missed.
constexpr Milliseconds MembersPause{15'000};
constexpr Milliseconds MembersRetry{300};
/// A host that left the list may go on for as long as it stays by its own
/// count; afterwards others may use its part of the limits.
constexpr Milliseconds Absence{6000};
/// A host that has not been confirmed for this long uses no part of them.
constexpr Milliseconds Isolation{3000};

} // namespace

HostMembership::HostMembership(std::string Host, HostGroup &Group,
                               const Clock &Time, EventSink &Events)
    : m_Host(std::move(Host)), m_Group(Group), m_Clock(Time), m_Events(Events) {
}

void HostMembership::tick() {
  const TimePoint Now = m_Clock.now();
  if (m_Left)
    return;
  if (!m_Joining && Now >= m_NextJoin)
    join(Now);
  if (!m_Asking && Now >= m_NextQuestion)
    askMembers(Now);
}

void HostMembership::join(TimePoint Now) {
  m_Joining = true;
  m_NextJoin = Now + JoinPause;
  m_Group.join(m_Host, Stay, m_Share.m_Generation,
               [this, Now, Alive = std::weak_ptr<bool>(m_Alive)](
                   const Outcome<GroupShare> &Result) {
                 if (Alive.expired())
                   return;
                 m_Joining = false;
                 if (!Result) {
                   m_NextJoin = m_Clock.now() + JoinRetry;
                   return;
                 }
                 const bool Regained =
                     m_LastJoin != TimePoint{} && Now - m_LastJoin > Stay;
                 if (Regained)
                   m_Events.event(Severity::Info, "group_regained", {});
                 if (Result.value().m_Generation != m_Share.m_Generation)
                   m_NextQuestion = m_Clock.now();
                 else
                   countMembers(m_Clock.now());
                 m_Share = Result.value();
                 m_LastJoin = Now;
               });
}

void HostMembership::askMembers(TimePoint Now) {
  m_Asking = true;
  m_NextQuestion = Now + MembersPause;
  m_Group.members([this, Alive = std::weak_ptr<bool>(m_Alive)](
                      const Outcome<std::set<std::string>> &Result) {
    if (Alive.expired())
      return;
    m_Asking = false;
    if (!Result) {
      m_NextQuestion = m_Clock.now() + MembersRetry;
      return;
    }
    m_LastMembers = m_Clock.now();
    m_Members = Result.value();
    countMembers(m_LastMembers);
  });
}

void HostMembership::countMembers(TimePoint Now) {
  for (const std::string &Each : m_Members)
    m_CountedUntil[Each] = Now + Absence;
  for (auto It = m_CountedUntil.begin(); It != m_CountedUntil.end();)
    It = Now >= It->second ? m_CountedUntil.erase(It) : std::next(It);
}

void HostMembership::leave() {
  if (std::exchange(m_Left, true))
    return;
  m_Share.m_Duties.clear();
  m_Group.leave(m_Host);
}

HostShare HostMembership::share() const {
  const bool InTouch = m_LastMembers != TimePoint{} &&
                       m_LastJoin != TimePoint{} &&
                       m_Clock.now() - m_LastJoin < Isolation;
  return HostShare(m_Host, names(), InTouch);
}

size_t HostMembership::hosts() const {
  return m_CountedUntil.size() + (m_CountedUntil.count(m_Host) > 0 ? 0 : 1);
}

std::set<std::string> HostMembership::names() const {
  std::set<std::string> Names{m_Host};
  for (const auto &[Host, Until] : m_CountedUntil)
    Names.insert(Host);
  return Names;
}

TimePoint HostMembership::heldUntil(const std::string &Name) const {
  const auto Duty = static_cast<uint32_t>(stableHash(Name) % m_Group.duties());
  if (m_Left || m_Share.m_Duties.count(Duty) == 0)
    return TimePoint{};
  return m_LastJoin + Stay;
}

Milliseconds HostMembership::longestLease() const { return Stay; }

} // namespace monsoon
