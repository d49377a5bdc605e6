#include "core/decider.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Share of suspected servers above which no range is moved. Beyond it the
/// fault is more likely on this host's side, and moving all their ranges would
/// make it worse.
constexpr double MaxSuspectShare = 0.5;

} // namespace

Decider::Decider(Term Number, const OwnershipTiming &Timing,
                 TimePoint StartedAt)
    : m_Term(Number), m_Timing(Timing), m_StartedAt(StartedAt),
      m_Now(StartedAt) {}

void Decider::setPool(const Pool &Value, const std::set<std::string> &Leaving) {
  m_Pool = Value.name();
  m_ChecksFences = Value.checksFences();
  m_ConfiguredRanges = Value.ranges();
  for (auto &[Name, Server] : m_Servers) {
    Server.m_IsInTable = false;
    Server.m_IsEligible = false;
  }
  for (const Target &Each : Value.targets()) {
    auto [It, IsNew] = m_Servers.try_emplace(Each.m_Name);
    ServerStatus &Server = It->second;
    if (IsNew)
      Server.m_LastReply = m_Now;
    const bool AddressChanged =
        !IsNew && (Server.m_Target.m_Host != Each.m_Host ||
                   Server.m_Target.m_Port != Each.m_Port);
    if (AddressChanged)
      resetForNewProcess(Server);
    Server.m_Target = Each;
    Server.m_IsInTable = true;
    Server.m_IsEligible = !Value.isDomainOut(Each.m_FailureDomain) &&
                          Leaving.count(Each.m_Name) == 0;
  }
  removeUnusedServers();
}

void Decider::resetForNewProcess(ServerStatus &Server) {
  // The previous process may serve requests until its lease expires.
  Server.m_NoLeaseBefore = Server.m_LeaseEnd;
  Server.m_Instance.clear();
  Server.m_Echo = 0;
  Server.m_AckedVersion = 0;
  Server.m_IsAwaitingReply = false;
}

void Decider::removeUnusedServers() {
  for (auto It = m_Servers.begin(); It != m_Servers.end();) {
    const bool Holds = std::any_of(m_Ranges.begin(), m_Ranges.end(),
                                   [&It](const RangeStatus &Each) {
                                     return Each.m_Holder == It->first ||
                                            Each.m_Owner.m_Server == It->first;
                                   });
    if (It->second.m_IsInTable || Holds)
      ++It;
    else
      It = m_Servers.erase(It);
  }
}

void Decider::setState(const GroupState &State) {
  m_IsCold = State.isCold();
  if (State.version() == m_StateVersion && !m_Ranges.empty())
    return;
  const bool First = m_StateVersion == 0;
  m_StateVersion = State.version();
  const auto &Owners = State.owners();
  m_Ranges.resize(Owners.size());
  for (size_t Index = 0; Index < Owners.size(); ++Index) {
    RangeStatus &Status = m_Ranges[Index];
    if (Status.m_Owner == Owners[Index])
      continue;
    const auto Range = static_cast<RangeId>(Index);
    Status.m_Owner = Owners[Index];
    Status.m_ChangedAt = ++m_ViewSeq;
    if (!First) {
      m_Unsettled.insert(Range);
      continue;
    }
    // Any unexpired lease of an earlier term belongs to the owner in the log;
    // otherwise this host would not have the right to act. After a cold claim
    // this is not certain, so the previous owner has to release the range
    // first.
    const std::string &Previous = Status.m_Owner.m_Former;
    const bool MayBePrevious =
        m_IsCold && !Previous.empty() && Previous != Status.m_Owner.m_Server;
    Status.m_Holder = MayBePrevious ? Previous : Status.m_Owner.m_Server;
    changeServerSet(Status.m_Holder, Range, !MayBePrevious);
    if (MayBePrevious)
      m_Unsettled.insert(Range);
  }
}

bool Decider::isMoving(const RangeStatus &Range) const {
  return Range.m_Holder != Range.m_Owner.m_Server;
}

bool Decider::isLost(const ServerStatus &Server, TimePoint Now) const {
  // After a cold claim, the previous decider may still renew the lease of a
  // server that has not replied in this term.
  if (m_IsCold && Server.m_Echo == 0)
    return false;
  return Server.m_IsSuspect && Now >= Server.m_LeaseEnd;
}

void Decider::setPending(RangeStatus &Status, bool Value) {
  if (Status.m_IsPending == Value)
    return;
  Status.m_IsPending = Value;
  Status.m_ChangedAt = ++m_ViewSeq;
}

void Decider::changeServerSet(const std::string &Server, RangeId Range,
                              bool Include) {
  const auto It = m_Servers.find(Server);
  if (It == m_Servers.end())
    return;
  auto &Ranges = It->second.m_Ranges;
  const auto Position = std::lower_bound(Ranges.begin(), Ranges.end(), Range);
  const bool Present = Position != Ranges.end() && *Position == Range;
  if (Include && !Present)
    Ranges.insert(Position, Range);
  else if (!Include && Present)
    Ranges.erase(Position);
  m_Ranges[Range].m_SetVersion = ++It->second.m_SetVersion;
}

void Decider::updateSuspects(TimePoint Now) {
  for (auto &[Name, Server] : m_Servers) {
    const bool IsSuspect = Now - Server.m_LastReply > m_Timing.m_Suspect;
    if (IsSuspect == Server.m_IsSuspect)
      continue;
    Server.m_IsSuspect = IsSuspect;
    for (const RangeId Range : Server.m_Ranges)
      m_Unsettled.insert(Range);
  }
}

bool Decider::isClearOfHosts(RangeId Range, const RangeStatus &Status,
                             TimePoint Now) const {
  // A previous decider may have granted rights to route to hosts that this one
  // does not know. They expire within m_ViewLease.
  if (!m_ChecksFences && Now - m_StartedAt < m_Timing.m_ViewLease)
    return false;
  return std::all_of(m_Hosts.begin(), m_Hosts.end(), [&](const auto &Each) {
    const HostStatus &Host = Each.second;
    if (Host.m_ViewEnd <= Now)
      return true;
    if (Host.m_AckSeq < Status.m_ChangedAt)
      return false;
    if (!Status.m_WasHolderLost)
      return Host.m_Busy.count(Range) == 0;
    // The lost owner may still execute a request that reached it. Only the
    // servers' fence check, or the expiry of the right to route that the
    // request was sent under, rules that out.
    return m_ChecksFences || Now >= Host.m_ViewEndAtAck;
  });
}

void Decider::releaseFromHolder(RangeId Range, RangeStatus &Status,
                                TimePoint Now) {
  const auto It = m_Servers.find(Status.m_Holder);
  if (It == m_Servers.end()) {
    // The lease of a server that was removed from the table was never renewed
    // in this term, so it expires within m_Lease of the start of the term.
    if (m_IsCold || Now - m_StartedAt < m_Timing.m_Lease)
      return;
    Status.m_Holder.clear();
    return;
  }
  ServerStatus &Server = It->second;
  if (!Status.m_IsReleasing) {
    changeServerSet(Status.m_Holder, Range, false);
    Status.m_IsReleasing = true;
  }
  const bool Confirmed = Now >= Server.m_NoLeaseBefore &&
                         Server.m_AckedVersion >= Status.m_SetVersion &&
                         Server.m_Draining.count(Range) == 0;
  if (!Confirmed && !isLost(Server, Now))
    return;
  Status.m_WasHolderLost = !Confirmed;
  Status.m_IsReleasing = false;
  Status.m_Holder.clear();
}

void Decider::grantToOwner(RangeId Range, RangeStatus &Status, TimePoint Now) {
  if (Status.m_Owner.m_Server.empty() ||
      m_Servers.count(Status.m_Owner.m_Server) == 0)
    return;
  if (!isClearOfHosts(Range, Status, Now))
    return;
  Status.m_Holder = Status.m_Owner.m_Server;
  Status.m_WasHolderLost = false;
  changeServerSet(Status.m_Holder, Range, true);
}

void Decider::advanceHandover(RangeId Range, TimePoint Now) {
  RangeStatus &Status = m_Ranges[Range];
  if (isMoving(Status)) {
    setPending(Status, true);
    if (!Status.m_Holder.empty())
      releaseFromHolder(Range, Status, Now);
    if (Status.m_Holder.empty())
      grantToOwner(Range, Status, Now);
    return;
  }
  const auto It = m_Servers.find(Status.m_Holder);
  if (It == m_Servers.end() || It->second.m_IsSuspect) {
    setPending(Status, true);
    return;
  }
  if (It->second.m_AckedVersion < Status.m_SetVersion)
    return;
  setPending(Status, false);
  m_Unsettled.erase(Range);
}

std::optional<GrantOrder> Decider::dueOrder(ServerStatus &Server, TimePoint Now,
                                            TimePoint ActUntil) {
  if (Server.m_IsAwaitingReply &&
      Now - Server.m_LastSent < m_Timing.m_CallTimeout)
    return std::nullopt;
  const bool HasUpdate = Server.m_AckedVersion != Server.m_SetVersion ||
                         !Server.m_Draining.empty() || Server.m_Echo == 0 ||
                         (!Server.m_IsSuspect && Server.m_LeaseEnd <= Now);
  const Milliseconds Interval = HasUpdate && !Server.m_IsAwaitingReply
                                    ? Milliseconds(10)
                                    : m_Timing.m_GrantInterval;
  if (Now - Server.m_LastSent < Interval)
    return std::nullopt;
  GrantOrder Order;
  Order.m_Pool = m_Pool;
  Order.m_Server = Server.m_Target.m_Name;
  Order.m_Term = m_Term;
  Order.m_Seq = ++m_OrderSeq;
  Order.m_Instance = Server.m_Instance;
  Order.m_SetVersion = Server.m_SetVersion;
  const bool MayRenew = !Server.m_IsSuspect && Server.m_Echo != 0 &&
                        Now >= Server.m_NoLeaseBefore;
  if (MayRenew) {
    const auto Left = std::chrono::floor<Milliseconds>(ActUntil - Now);
    Order.m_Lifetime = std::min(Left, m_Timing.m_Lease);
    Order.m_Echo = Server.m_Echo;
    Server.m_LeaseEnd = std::max(Server.m_LeaseEnd, Now + Order.m_Lifetime);
  }
  if (Server.m_AckedVersion != Server.m_SetVersion) {
    Order.m_Ranges.emplace();
    for (const RangeId Range : Server.m_Ranges)
      Order.m_Ranges->push_back({Range, m_Ranges[Range].m_Owner.m_Fence});
  }
  Server.m_LastSent = Now;
  Server.m_IsAwaitingReply = true;
  return Order;
}

std::vector<GrantOrder> Decider::tick(TimePoint Now, TimePoint ActUntil) {
  m_Now = Now;
  updateSuspects(Now);
  const std::vector<RangeId> Unsettled(m_Unsettled.begin(), m_Unsettled.end());
  for (const RangeId Range : Unsettled)
    advanceHandover(Range, Now);
  std::vector<GrantOrder> Orders;
  for (auto &[Name, Server] : m_Servers)
    if (auto Order = dueOrder(Server, Now, ActUntil))
      Orders.push_back(std::move(*Order));
  return Orders;
}

void Decider::onGrantReply(const GrantOrder &Order, const GrantReply &Reply,
                           TimePoint Now) {
  const auto It = m_Servers.find(Order.m_Server);
  if (It == m_Servers.end() || Order.m_Term != m_Term)
    return;
  ServerStatus &Server = It->second;
  Server.m_IsAwaitingReply = false;
  Server.m_LastReply = Now;
  if (Reply.m_Instance != Server.m_Instance) {
    // A new incarnation holds no ranges, and stamps of the previous one are
    // invalid.
    if (!Server.m_Instance.empty())
      resetForNewProcess(Server);
    Server.m_Instance = Reply.m_Instance;
  }
  Server.m_Echo = Reply.m_Stamp;
  Server.m_AckedVersion = Reply.m_SetVersion;
  Server.m_Draining = {Reply.m_Draining.begin(), Reply.m_Draining.end()};
}

void Decider::onGrantFailure(const GrantOrder &Order) {
  const auto It = m_Servers.find(Order.m_Server);
  if (It != m_Servers.end())
    It->second.m_IsAwaitingReply = false;
}

void Decider::fillHeartbeat(Heartbeat &Message, const HostId &Host,
                            TimePoint Now, TimePoint ActUntil) {
  HostStatus &Status = m_Hosts[Host];
  Message.m_Echo = Status.m_Echo;
  Message.m_ViewSeq = m_ViewSeq;
  Message.m_BaseSeq = Status.m_AckSeq;
  Message.m_RangeCount = static_cast<uint32_t>(m_Ranges.size());
  const bool Behind = Status.m_AckSeq != m_ViewSeq;
  for (size_t Index = 0; Behind && Index < m_Ranges.size(); ++Index) {
    const RangeStatus &Range = m_Ranges[Index];
    if (Status.m_AckSeq == 0 || Range.m_ChangedAt > Status.m_AckSeq)
      Message.m_Entries.push_back({static_cast<RangeId>(Index),
                                   Range.m_Owner.m_Server,
                                   Range.m_Owner.m_Fence, Range.m_IsPending});
  }
  if (Status.m_Echo == 0 || ActUntil <= Now)
    return;
  const auto Left = std::chrono::floor<Milliseconds>(ActUntil - Now);
  Message.m_ViewLifetime = std::min(Left, m_Timing.m_ViewLease);
  Status.m_ViewEnd = std::max(Status.m_ViewEnd, Now + Message.m_ViewLifetime);
}

void Decider::onHeartbeatReply(const HeartbeatReply &Reply) {
  HostStatus &Status = m_Hosts[Reply.m_From];
  Status.m_Echo = Reply.m_Stamp;
  if (Reply.m_AckSeq != Status.m_AckSeq) {
    Status.m_AckSeq = Reply.m_AckSeq;
    Status.m_ViewEndAtAck = Status.m_ViewEnd;
  }
  Status.m_Busy = {Reply.m_Busy.begin(), Reply.m_Busy.end()};
}

bool Decider::hasUpdateFor(const HostId &Host) const {
  const auto It = m_Hosts.find(Host);
  return It == m_Hosts.end() || It->second.m_AckSeq != m_ViewSeq;
}

bool Decider::areMovesPaused() const {
  size_t Known = 0;
  for (const auto &[Name, Server] : m_Servers)
    Known += Server.m_IsInTable ? 1 : 0;
  return static_cast<double>(suspectServers()) >
         MaxSuspectShare * static_cast<double>(Known);
}

size_t Decider::suspectServers() const {
  return static_cast<size_t>(
      std::count_if(m_Servers.begin(), m_Servers.end(), [](const auto &Each) {
        return Each.second.m_IsSuspect && Each.second.m_IsInTable;
      }));
}

size_t Decider::pendingRanges() const {
  return static_cast<size_t>(
      std::count_if(m_Ranges.begin(), m_Ranges.end(),
                    [](const RangeStatus &Each) { return Each.m_IsPending; }));
}

PlacementMoves Decider::wantedMoves() const {
  std::vector<RangeOwner> Owners(m_Ranges.empty() ? m_ConfiguredRanges
                                                  : m_Ranges.size());
  int Moving = 0;
  for (size_t Index = 0; Index < m_Ranges.size(); ++Index) {
    Owners[Index] = m_Ranges[Index].m_Owner;
    Moving += isMoving(m_Ranges[Index]) ? 1 : 0;
  }
  std::vector<PlacementServer> Servers;
  for (const auto &[Name, Server] : m_Servers)
    Servers.push_back({Name, Server.m_IsEligible && !Server.m_IsSuspect,
                       isLost(Server, m_Now)});
  // The lease of an owner that was removed from the table has expired once the
  // longest lease lifetime has passed since the start of the term.
  for (const RangeOwner &Each : Owners)
    if (!Each.m_Server.empty() && m_Servers.count(Each.m_Server) == 0)
      Servers.push_back(
          {Each.m_Server, false, m_Now - m_StartedAt >= m_Timing.m_Lease});
  PlacementLimits Limits;
  const bool MayPlan = !areMovesPaused() && (!m_IsCold || m_ChecksFences);
  Limits.m_PlannedMoves =
      MayPlan ? std::max(0, Limits.m_PlannedMoves - Moving) : 0;
  Limits.m_MayMoveLost = !areMovesPaused() && !m_IsCold;
  PlacementMoves Moves = planMoves(Owners, {}, Servers, Limits);
  // A range whose previous lease holder has not released it is not moved again,
  // so that the log always names every server that may be serving it.
  for (auto It = Moves.begin(); It != Moves.end();) {
    auto &Ranges = It->second;
    Ranges.erase(std::remove_if(Ranges.begin(), Ranges.end(),
                                [this](RangeId Range) {
                                  return Range < m_Ranges.size() &&
                                         isMoving(m_Ranges[Range]) &&
                                         !m_Ranges[Range].m_Holder.empty();
                                }),
                 Ranges.end());
    It = Ranges.empty() ? Moves.erase(It) : std::next(It);
  }
  return Moves;
}

const Target *Decider::target(const std::string &Server) const {
  const auto It = m_Servers.find(Server);
  return It == m_Servers.end() ? nullptr : &It->second.m_Target;
}

} // namespace monsoon
