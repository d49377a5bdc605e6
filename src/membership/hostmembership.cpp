#include "membership/hostmembership.h"

#include "core/keyspace.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <algorithm>
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
/// The interval grows with the number of hosts up to MaxJoinInterval for a host
/// without a lease; its membership lasts MissedJoins + 1 intervals.
constexpr Milliseconds JoinIntervalPerHost{8};
constexpr Milliseconds MaxJoinInterval{1000};
constexpr int MissedJoins = 2;
/// The members are requested whenever the generation changes; this interval
/// covers a change that was missed. Many hosts rely on the generation alone.
constexpr Milliseconds MembersInterval{15'000};
constexpr Milliseconds LargeMembersInterval{300'000};
/// Delay after a failed request of the members.
constexpr Milliseconds MembersRetryDelay{300};
/// Hosts beyond this number share one host's read of the members.
constexpr size_t MaxSmallGroup = 12;
/// How long a host waits for gossip of new members: the first host of each rank
/// notices a change at its next join. The second and third reader replace it if
/// it is lost.
constexpr Milliseconds MembersGossipWait{1200};
constexpr Milliseconds LastMembersGossipWait{3000};
constexpr size_t MembersReaders = 3;
/// After this time all members have joined in the present generation, or their
/// lapse has begun another one. Until then the list may lack new members, as a
/// duty has no holder before its former one has joined.
constexpr Milliseconds SettlingTime{1300};
/// In a large group, time until all others count a new host.
constexpr Milliseconds ArrivalDelay{3500};
/// A host that is no longer listed may keep sending for as long as it considers
/// itself a member. After this time the others may use its share of the limits.
constexpr Milliseconds DepartureGrace{6000};
/// A host whose joins have not been confirmed for this long uses no share.
constexpr Milliseconds IsolationTimeout{3000};
/// The same for limits on windows. The others count such a host out after the
/// lease of its last join and DepartureGrace together, at the earliest.
constexpr Milliseconds WindowIsolationTimeout{7000};

/// Separates the name of a machine from that of its process in a host's name.
constexpr char ProcessSeparator = '#';
/// Ends the start of a process in its name.
constexpr char StartSeparator = '.';
constexpr size_t StartDigits = 8;
/// The machines' clocks differ by up to so much.
constexpr std::chrono::seconds ClockDifference{2};

std::string machineOf(const std::string &Host) {
  return Host.substr(0, Host.find(ProcessSeparator));
}

/// The start in a name made by processName(), in seconds since the epoch.
std::optional<int64_t> startOf(const std::string &Host) {
  const size_t At = Host.find(ProcessSeparator);
  if (At == std::string::npos || Host.size() <= At + StartDigits + 1 ||
      Host[At + StartDigits + 1] != StartSeparator)
    return std::nullopt;
  int64_t Seconds = 0;
  if (!absl::SimpleHexAtoi(Host.substr(At + 1, StartDigits), &Seconds))
    return std::nullopt;
  return Seconds;
}

/// The names without those of processes that have a successor: the machine of
/// one that is not listed any more runs another one that is.
std::set<std::string> newestProcesses(const std::string &Self,
                                      const std::set<std::string> &Listed,
                                      const std::set<std::string> &Names) {
  std::set<std::string> Replaced{machineOf(Self)};
  for (const std::string &Each : Listed)
    Replaced.insert(machineOf(Each));
  std::set<std::string> Result{Self};
  for (const std::string &Each : Names) {
    const bool HasEnded =
        Listed.count(Each) == 0 && Replaced.count(machineOf(Each)) > 0;
    if (!HasEnded && (machineOf(Each) != machineOf(Self) || Each == Self))
      Result.insert(Each);
  }
  return Result;
}

} // namespace

std::string processName(const std::string &Machine, int64_t StartSeconds,
                        uint32_t Number) {
  return absl::StrCat(Machine, std::string(1, ProcessSeparator),
                      absl::Hex(StartSeconds, absl::kZeroPad8),
                      std::string(1, StartSeparator),
                      absl::Hex(Number, absl::kZeroPad8));
}

HostMembership::HostMembership(std::string Host, HostGroup &Group,
                               const Clock &Time, EventSink &Events)
    : m_Host(std::move(Host)), m_Start(Time.now()), m_Group(Group),
      m_Clock(Time), m_Events(Events), m_LimitShare(m_Host, {}, false),
      m_LivingShare(m_Host, {}, false) {}

void HostMembership::tick() {
  const TimePoint Now = m_Clock.now();
  if (m_HasLeft)
    return;
  refreshLimitShare(Now);
  if (!m_IsJoining && Now >= m_NextJoin)
    join(Now);
  if (!m_IsRequestingMembers && Now >= m_NextMembersRequest)
    requestMembers(Now);
}

bool HostMembership::isLarge() const { return hosts() > MaxSmallGroup; }

Milliseconds HostMembership::joinInterval() const {
  const bool HoldsLease =
      std::any_of(m_LeaseNames.begin(), m_LeaseNames.end(),
                  [this](const std::string &Name) { return holdsDuty(Name); });
  if (HoldsLease)
    return JoinInterval;
  return std::clamp<Milliseconds>(JoinIntervalPerHost *
                                      static_cast<int64_t>(hosts()),
                                  JoinInterval, MaxJoinInterval);
}

void HostMembership::join(TimePoint Now) {
  m_IsJoining = true;
  const Milliseconds Interval = joinInterval();
  m_NextJoin = Now + Interval;
  m_Group.join(m_Host,
               std::max<Milliseconds>(JoinLease, (MissedJoins + 1) * Interval),
               m_Share.m_Generation,
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
                 m_Share = Result.value();
                 m_LastJoin = Now;
                 if (m_Share.m_Generation != m_MembersGeneration)
                   scheduleMembersRequest(m_Clock.now());
                 else
                   refreshCountedHosts(m_Clock.now());
               });
}

void HostMembership::scheduleMembersRequest(TimePoint Now) {
  Milliseconds Delay{0};
  if (isLarge()) {
    const auto Hash = [](const std::string &Host) {
      return stableHash(absl::StrCat("members/", Host));
    };
    const uint64_t Own = Hash(m_Host);
    const auto Rank = static_cast<size_t>(std::count_if(
        names().begin(), names().end(),
        [&](const std::string &Each) { return Hash(Each) < Own; }));
    if (Rank >= MembersReaders)
      Delay = LastMembersGossipWait;
    else if (Rank > 0)
      Delay = MembersGossipWait;
  }
  m_NextMembersRequest = std::min(m_NextMembersRequest, Now + Delay);
}

void HostMembership::requestMembers(TimePoint Now) {
  m_IsRequestingMembers = true;
  m_NextMembersRequest =
      Now + (isLarge() ? LargeMembersInterval : MembersInterval);
  m_Group.members([this, Alive = std::weak_ptr<bool>(m_Alive),
                   Generation = m_Share.m_Generation](
                      const Outcome<std::set<std::string>> &Result) {
    if (Alive.expired())
      return;
    m_IsRequestingMembers = false;
    if (!Result) {
      m_NextMembersRequest = m_Clock.now() + MembersRetryDelay;
      return;
    }
    const bool IsNewGeneration = Generation != m_MembersGeneration;
    adoptMembers(Result.value(), Generation);
    if (IsNewGeneration)
      m_NextMembersRequest =
          std::min(m_NextMembersRequest, m_Clock.now() + SettlingTime);
    if (isLarge())
      m_MembersToSend = MemberList{Generation, m_Members};
  });
}

void HostMembership::applyPeerMembers(const MemberList &Members) {
  const bool IsNews =
      Members.m_Generation > m_MembersGeneration ||
      (Members.m_Generation == m_MembersGeneration &&
       !std::includes(m_Members.begin(), m_Members.end(),
                      Members.m_Names.begin(), Members.m_Names.end()));
  if (m_HasLeft || !IsNews)
    return;
  adoptMembers(Members.m_Names, Members.m_Generation);
  const TimePoint Now = m_Clock.now();
  m_NextMembersRequest = Now + LargeMembersInterval;
  // The group has changed again since; gossip works, so its news are awaited.
  if (m_MembersGeneration < m_Share.m_Generation)
    scheduleMembersRequest(Now);
}

void HostMembership::adoptMembers(std::set<std::string> Names,
                                  uint64_t Generation) {
  // Of two lists of one generation each may lack members.
  if (Generation == m_MembersGeneration)
    Names.insert(m_Members.begin(), m_Members.end());
  m_Members = std::move(Names);
  m_HasBeenListed = m_HasBeenListed ||
                    std::any_of(m_Members.begin(), m_Members.end(),
                                [this](const std::string &Each) {
                                  return machineOf(Each) == machineOf(m_Host);
                                });
  m_MembersGeneration = Generation;
  const TimePoint Now = m_Clock.now();
  if (m_FirstMembersAt == TimePoint{})
    m_FirstMembersAt = Now;
  refreshCountedHosts(Now);
}

void HostMembership::refreshCountedHosts(TimePoint Now) {
  for (const std::string &Each : m_Members)
    m_CountedUntil[Each] = Now + DepartureGrace;
  for (auto It = m_CountedUntil.begin(); It != m_CountedUntil.end();)
    It = Now >= It->second ? m_CountedUntil.erase(It) : std::next(It);
  refreshLimitShare(Now);
}

bool HostMembership::isCounted(TimePoint Now, Duration Timeout) const {
  return m_FirstMembersAt != TimePoint{} && m_LastJoin != TimePoint{} &&
         Now - m_LastJoin < Timeout &&
         (!isLarge() || Now - m_FirstMembersAt >= ArrivalDelay);
}

double HostMembership::windowShare(Duration Window) const {
  const TimePoint Now = m_Clock.now();
  // The last tick may be long ago.
  if (m_HasLeft || !isCounted(Now, WindowIsolationTimeout))
    return 0;
  return m_WindowShares.smallest(Now - Window);
}

double HostMembership::newHosts(Duration Window) const {
  const auto OwnStart = startOf(m_Host);
  if (!OwnStart || !m_HasBeenListed)
    return 1;
  // Only the starts are compared, so that a clock that is set while the
  // processes run makes no difference.
  const Duration SinceStart = m_Clock.now() - m_Start;
  const auto Earliest =
      std::chrono::seconds(*OwnStart) +
      std::chrono::duration_cast<std::chrono::seconds>(SinceStart - Window) -
      ClockDifference;
  const std::set<std::string> &Names = m_LivingShare.names();
  const auto New = std::count_if(
      Names.begin(), Names.end(), [Earliest](const std::string &Each) {
        const auto Start = startOf(Each);
        return !Start || std::chrono::seconds(*Start) >= Earliest;
      });
  return static_cast<double>(New) / static_cast<double>(Names.size());
}

void HostMembership::refreshLimitShare(TimePoint Now) {
  const bool IsConfirmed = isCounted(Now, IsolationTimeout);
  std::set<std::string> Names{m_Host};
  for (const auto &[Host, Until] : m_CountedUntil)
    Names.insert(Host);
  HostShare Living(m_Host, newestProcesses(m_Host, m_Members, Names),
                   IsConfirmed);
  // The successor of a process gets no part of a window that its predecessor
  // may have used, so the two count as one.
  m_WindowShares.note(Now, isCounted(Now, WindowIsolationTimeout)
                               ? 1 / static_cast<double>(Living.hosts())
                               : 0);
  if (Living != m_LivingShare)
    m_LivingShare = std::move(Living);
  if (IsConfirmed == m_LimitShare.isConnected() && Names == names())
    return;
  if (Names.size() != hosts() || IsConfirmed != m_LimitShare.isConnected())
    m_Events.event(Severity::Info, "hosts_counted",
                   {{"hosts", absl::StrCat(Names.size())},
                    {"listed", absl::StrCat(m_Members.size())},
                    {"confirmed", IsConfirmed ? "yes" : "no"}});
  m_LimitShare = HostShare(m_Host, std::move(Names), IsConfirmed);
}

void HostMembership::leave() {
  if (std::exchange(m_HasLeft, true))
    return;
  m_Share.m_Duties.clear();
  m_Group.leave(m_Host);
}

bool HostMembership::holdsDuty(const std::string &Name) const {
  const auto Duty = static_cast<uint32_t>(stableHash(Name) % m_Group.duties());
  return !m_HasLeft && m_Share.m_Duties.count(Duty) > 0;
}

TimePoint HostMembership::heldUntil(const std::string &Name) const {
  return holdsDuty(Name) ? m_LastJoin + JoinLease : TimePoint{};
}

Milliseconds HostMembership::longestLease() const { return JoinLease; }

} // namespace monsoon
