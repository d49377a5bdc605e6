#include "membership/hostmembership.h"

#include "core/keyspace.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace monsoon {

namespace {

/// Lease of the duties that a join grants. A shorter one expires in brief
/// failures of the log; a longer one delays the takeover from a lost host.
constexpr Milliseconds JoinLease{1500};
/// Time between two joins; each join renews the lease.
constexpr Milliseconds JoinInterval{400};
/// Delay after a failed join.
constexpr Milliseconds JoinRetryDelay{100};
/// The members are requested whenever the generation changes; this interval
/// covers a change that was missed.
constexpr Milliseconds MembersInterval{15'000};
/// Delay after a failed request of the members.
constexpr Milliseconds MembersRetryDelay{300};
/// A host that is no longer listed may keep sending for as long as it considers
/// itself a member. After this time the others may use its share of the limits.
constexpr Milliseconds DepartureGrace{6000};
/// A host whose joins have not been confirmed for this long uses no share.
constexpr Milliseconds IsolationTimeout{3000};

} // namespace

HostMembership::HostMembership(std::string Host, HostGroup &Group,
                               const Clock &Time, EventSink &Events)
    : m_Host(std::move(Host)), m_Group(Group), m_Clock(Time), m_Events(Events) {
}

void HostMembership::tick() {
  const TimePoint Now = m_Clock.now();
  if (m_HasLeft)
    return;
  if (!m_IsJoining && Now >= m_NextJoin)
    join(Now);
  if (!m_IsRequestingMembers && Now >= m_NextMembersRequest)
    requestMembers(Now);
}

void HostMembership::join(TimePoint Now) {
  m_IsJoining = true;
  m_NextJoin = Now + JoinInterval;
  m_Group.join(m_Host, JoinLease, m_Share.m_Generation,
               [this, Now, Alive = std::weak_ptr<bool>(m_Alive)](
                   const Outcome<GroupAssignment> &Result) {
                 if (Alive.expired())
                   return;
                 m_IsJoining = false;
                 if (!Result) {
                   m_NextJoin = m_Clock.now() + JoinRetryDelay;
                   return;
                 }
                 const bool HadExpired =
                     m_LastJoin != TimePoint{} && Now - m_LastJoin > JoinLease;
                 if (HadExpired)
                   m_Events.event(Severity::Info, "group_regained", {});
                 if (Result.value().m_Generation != m_Share.m_Generation)
                   m_NextMembersRequest = m_Clock.now();
                 else
                   refreshCountedHosts(m_Clock.now());
                 m_Share = Result.value();
                 m_LastJoin = Now;
               });
}

void HostMembership::requestMembers(TimePoint Now) {
  m_IsRequestingMembers = true;
  m_NextMembersRequest = Now + MembersInterval;
  m_Group.members([this, Alive = std::weak_ptr<bool>(m_Alive)](
                      const Outcome<std::set<std::string>> &Result) {
    if (Alive.expired())
      return;
    m_IsRequestingMembers = false;
    if (!Result) {
      m_NextMembersRequest = m_Clock.now() + MembersRetryDelay;
      return;
    }
    m_MembersAt = m_Clock.now();
    m_Members = Result.value();
    refreshCountedHosts(m_MembersAt);
  });
}

void HostMembership::refreshCountedHosts(TimePoint Now) {
  for (const std::string &Each : m_Members)
    m_CountedUntil[Each] = Now + DepartureGrace;
  for (auto It = m_CountedUntil.begin(); It != m_CountedUntil.end();)
    It = Now >= It->second ? m_CountedUntil.erase(It) : std::next(It);
}

void HostMembership::leave() {
  if (std::exchange(m_HasLeft, true))
    return;
  m_Share.m_Duties.clear();
  m_Group.leave(m_Host);
}

HostShare HostMembership::share() const {
  const bool IsConfirmed = m_MembersAt != TimePoint{} &&
                           m_LastJoin != TimePoint{} &&
                           m_Clock.now() - m_LastJoin < IsolationTimeout;
  return HostShare(m_Host, names(), IsConfirmed);
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
  if (m_HasLeft || m_Share.m_Duties.count(Duty) == 0)
    return TimePoint{};
  return m_LastJoin + JoinLease;
}

Milliseconds HostMembership::longestLease() const { return JoinLease; }

} // namespace monsoon
