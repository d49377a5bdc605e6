#include "core/groupnode.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Further hosts follow without a vote.
constexpr size_t MaxElectors = 5;
/// Shortest time between two plans of moves.
constexpr Milliseconds PlanInterval{50};

template <typename Body> OwnershipRecord record(Body Value) {
  return OwnershipRecord{std::move(Value)};
}

} // namespace

std::string hostName(const HostId &Id) { return Id.substr(0, Id.find('#')); }

GroupNode::GroupNode(HostId Self, std::string PoolName,
                     const OwnershipTiming &Timing, RoutingView &View,
                     TimePoint Now)
    : m_Self(std::move(Self)), m_PoolName(std::move(PoolName)),
      m_Timing(Timing), m_View(View), m_Promises(Timing.m_Promise),
      m_LastDeciderContact(Now), m_LastSnapshotAt(Now) {}

void GroupNode::setPool(const Pool &Value, std::set<std::string> Leaving) {
  m_Pool = Value;
  m_Leaving = std::move(Leaving);
  if (m_Decider)
    m_Decider->setPool(*m_Pool, m_Leaving);
}

void GroupNode::setHosts(std::set<HostId> Hosts) {
  m_Hosts = std::move(Hosts);
  m_Hosts.erase(m_Self);
}

std::string GroupNode::nextId() {
  return absl::StrCat(m_Self, "/", m_PoolName, "/", ++m_IdCounter);
}

bool GroupNode::isHolder() const {
  return m_Replay.isComplete() && state().holder() == m_Self &&
         !m_HasHandedOver;
}

void GroupNode::applyRecords(uint64_t First, uint64_t End,
                             std::vector<GroupReplay::Entry> Entries,
                             TimePoint Now) {
  const Term PreviousTerm = state().term();
  m_Replay.take(First, std::move(Entries));
  m_IsCaughtUp = m_Replay.isComplete() && m_Replay.nextOffset() >= End;
  if (!m_Replay.isComplete())
    return;
  if (m_AwaitedBase && state().version() > *m_AwaitedBase)
    m_AwaitedBase.reset();
  if (state().term() > PreviousTerm) {
    m_LastDeciderContact = Now;
    m_Supporters.clear();
    m_NoMajoritySince.reset();
  }
  trackColdNotice(Now);
  if (!isHolder() || (m_Decider && m_Decider->term() != state().term()))
    m_Decider.reset();
  if (m_Decider)
    m_Decider->setState(state());
}

void GroupNode::trackColdNotice(TimePoint Now) {
  const HostId &Announcer = state().coldNotice();
  if (Announcer == m_ColdNoticeBy)
    return;
  // The decider objected. Restart the wait before the next notice.
  if (m_ColdNoticeBy == m_Self && Announcer.empty())
    m_NoMajoritySince.reset();
  m_ColdNoticeBy = Announcer;
  m_ColdNoticeSeenAt = Now;
}

TimePoint GroupNode::actUntil() const {
  std::vector<TimePoint> Ends;
  for (const HostId &Each : state().electors()) {
    const auto It = m_Peers.find(Each);
    Ends.push_back(It == m_Peers.end() ? TimePoint()
                                       : It->second.m_PromisedUntil);
  }
  const size_t Needed = state().majority();
  if (Ends.size() < Needed)
    return TimePoint();
  std::sort(Ends.begin(), Ends.end(), std::greater<>());
  return Ends[Needed - 1];
}

Outbox GroupNode::tick(TimePoint Now) {
  Outbox Out;
  if (!m_Replay.isComplete() || !m_Pool)
    return Out;
  if (isHolder())
    lead(Now, Out);
  else if (m_IsStopping)
    resignVote(Now, Out);
  else
    follow(Now, Out);
  return Out;
}

void GroupNode::resignVote(TimePoint Now, Outbox &Out) {
  // A decider may rely on an unexpired promise as part of its majority, so the
  // vote can't be withdrawn before the promise expires.
  const bool MustWait = !m_Promises.canPromise(HostId(), Now) ||
                        Now - m_AppendedAt < m_Timing.m_AppendRetry;
  if (MustWait || !state().isElector(m_Self))
    return;
  m_AppendedAt = Now;
  Out.m_Appends.push_back(record(ResignRecord{m_Self}));
}

void GroupNode::lead(TimePoint Now, Outbox &Out) {
  if (m_Promises.promise(m_Self, state().term(), Now)) {
    PeerStatus &Own = m_Peers[m_Self];
    Own.m_PromisedUntil = Now + m_Timing.m_Promise;
    Own.m_LastReply = Now;
  }
  const TimePoint ActUntil = actUntil();
  const bool Acting = Now < ActUntil;
  if (Acting && !m_Decider) {
    m_Decider.emplace(state().term(), m_Timing, Now);
    m_Decider->setPool(*m_Pool, m_Leaving);
    m_Decider->setState(state());
    for (const HostId &Each : state().electors())
      m_Peers.try_emplace(Each, PeerStatus{TimePoint(), Now, false});
  }
  if (Acting) {
    m_NoMajoritySince.reset();
    Out.m_Grants = m_Decider->tick(Now, ActUntil);
    if (m_IsStopping && mayHandOver()) {
      handOverTerm(Now, Out);
      return;
    }
    appendDueRecords(Now, Out);
  } else {
    handleLostMajority(Now, Out);
  }
  sendHeartbeats(Now, ActUntil, Out);
}

bool GroupNode::mayHandOver() const {
  // The successor relies on the owners in the log, so no handover may be in
  // progress and no appended record may have an unknown result.
  return !m_AwaitedBase && m_Decider->pendingRanges() == 0;
}

void GroupNode::handleLostMajority(TimePoint Now, Outbox &Out) {
  if (!m_NoMajoritySince)
    m_NoMajoritySince = Now;
  const bool IsOutstanding =
      m_AwaitedBase && Now - m_AppendedAt < m_Timing.m_AppendRetry;
  if (!IsOutstanding && !m_IsStopping)
    considerColdClaim(Now, Out);
}

Heartbeat GroupNode::heartbeatFor(const HostId &Host, TimePoint Now,
                                  TimePoint ActUntil) {
  Heartbeat Message;
  Message.m_Pool = m_PoolName;
  Message.m_From = m_Self;
  Message.m_Term = state().term();
  if (m_Decider)
    m_Decider->fillHeartbeat(Message, Host, Now, ActUntil);
  return Message;
}

void GroupNode::sendHeartbeats(TimePoint Now, TimePoint ActUntil, Outbox &Out) {
  for (const HostId &Host : m_Hosts) {
    const bool HasUpdate =
        m_Decider && m_Decider->hasUpdateFor(Host) &&
        Now - m_Peers[Host].m_LastReply < 2 * m_Timing.m_HeartbeatInterval;
    const Milliseconds Interval =
        HasUpdate ? Milliseconds(10) : m_Timing.m_HeartbeatInterval;
    if (Now - m_LastHeartbeat[Host] < Interval)
      continue;
    m_LastHeartbeat[Host] = Now;
    Out.m_ToHosts.push_back({Host, heartbeatFor(Host, Now, ActUntil)});
  }
  if (!m_Decider)
    return;
  // This host's own view is updated by the same rules as those of the others.
  m_View.apply(heartbeatFor(m_Self, Now, ActUntil));
  HeartbeatReply Own;
  Own.m_From = m_Self;
  Own.m_Stamp = toStamp(Now);
  Own.m_AckSeq = m_View.sequence(state().term());
  Own.m_Busy = m_View.busyRanges(Now);
  m_Decider->onHeartbeatReply(Own);
}

void GroupNode::append(OwnershipRecord Record, TimePoint Now, Outbox &Out) {
  m_AwaitedBase = state().version();
  m_AppendedAt = Now;
  Out.m_Appends.push_back(std::move(Record));
}

void GroupNode::appendDueRecords(TimePoint Now, Outbox &Out) {
  writeSnapshot(Now, Out);
  if (m_AwaitedBase && Now - m_AppendedAt < m_Timing.m_AppendRetry)
    return;
  if (auto Record = nextRecord(Now))
    append(std::move(*Record), Now, Out);
}

std::optional<OwnershipRecord> GroupNode::nextRecord(TimePoint Now) {
  const GroupVersion Base = state().version();
  const Term Number = state().term();
  if (!state().coldNotice().empty())
    return record(ColdObjectionRecord{Base, Number});
  PlacementMoves Moves;
  if (Now - m_PlannedAt >= PlanInterval) {
    m_PlannedAt = Now;
    Moves = m_Decider->wantedMoves();
  }
  const auto &Owners = state().owners();
  const uint32_t Ranges =
      Owners.empty() ? m_Pool->ranges() : static_cast<uint32_t>(Owners.size());
  if (!Moves.empty() && !m_IsStopping)
    return record(
        AssignRecord{nextId(), Base, Number, Ranges, std::move(Moves)});
  if (auto Electors = wantedElectors(Now))
    return record(ElectorsRecord{nextId(), Base, Number, std::move(*Electors)});
  return std::nullopt;
}

bool GroupNode::isReplaced(const HostId &Elector) const {
  const std::string Name = hostName(Elector);
  return std::any_of(m_Hosts.begin(), m_Hosts.end(), [&](const HostId &Other) {
    return Other != Elector && hostName(Other) == Name;
  });
}

std::optional<std::vector<HostId>>
GroupNode::wantedElectors(TimePoint Now) const {
  std::vector<HostId> Electors = state().electors();
  const auto HeardWithin = [&](const HostId &Host, Milliseconds Within) {
    const auto It = m_Peers.find(Host);
    return It != m_Peers.end() && !It->second.m_IsStopping &&
           Now - It->second.m_LastReply < Within;
  };
  // Change one host at a time, so that every majority of the old electors
  // intersects every majority of the new ones.
  if (Electors.size() < MaxElectors)
    for (const HostId &Host : m_Hosts)
      if (!state().isElector(Host) &&
          HeardWithin(Host, 2 * m_Timing.m_HeartbeatInterval)) {
        Electors.push_back(Host);
        return Electors;
      }
  for (auto It = Electors.begin(); It != Electors.end(); ++It) {
    if (*It == m_Self ||
        (HeardWithin(*It, m_Timing.m_ElectorTimeout) && !isReplaced(*It)))
      continue;
    Electors.erase(It);
    return Electors;
  }
  return std::nullopt;
}

void GroupNode::writeSnapshot(TimePoint Now, Outbox &Out) {
  if (Now - m_LastSnapshotAt < m_Timing.m_SnapshotInterval || !m_IsCaughtUp)
    return;
  m_LastSnapshotAt = Now;
  Out.m_Appends.push_back(
      record(GroupSnapshot{m_Replay.nextOffset(), state()}));
}

Duration GroupNode::candidateDelay() const {
  const auto &Electors = state().electors();
  const auto It = std::find(Electors.begin(), Electors.end(), m_Self);
  size_t Rank = static_cast<size_t>(It - Electors.begin());
  if (Electors.empty() || It == Electors.end())
    Rank += static_cast<size_t>(
        std::distance(m_Hosts.begin(), m_Hosts.lower_bound(m_Self)));
  return m_Timing.m_Promise + Rank * m_Timing.m_ClaimStagger;
}

void GroupNode::follow(TimePoint Now, Outbox &Out) {
  if (!m_IsCaughtUp || Now - m_LastDeciderContact < candidateDelay())
    return;
  if (m_AwaitedBase && Now - m_AppendedAt < m_Timing.m_AppendRetry)
    return;
  if (!m_Promises.canPromise(m_Self, Now))
    return;
  const GroupVersion Base = state().version();
  size_t Supporters = m_Supporters.size();
  Supporters += state().isElector(m_Self) ? 1 : 0;
  if (state().electors().empty() || Supporters >= state().majority()) {
    m_Supporters.clear();
    append(record(ClaimRecord{nextId(), Base, m_Self, false}), Now, Out);
    return;
  }
  if (!m_NoMajoritySince)
    m_NoMajoritySince = Now;
  startCanvass(Now, Out);
  considerColdClaim(Now, Out);
}

void GroupNode::startCanvass(TimePoint Now, Outbox &Out) {
  if (Now - m_CanvassedAt < m_Timing.m_CallTimeout)
    return;
  m_CanvassedAt = Now;
  m_Supporters.clear();
  for (const HostId &Each : state().electors())
    if (Each != m_Self)
      Out.m_ToHosts.push_back(
          {Each, Canvass{m_PoolName, m_Self, state().term() + 1}});
}

void GroupNode::considerColdClaim(TimePoint Now, Outbox &Out) {
  if (Now - *m_NoMajoritySince < m_Timing.m_ColdWait)
    return;
  const GroupVersion Base = state().version();
  const Duration NoticeAge = Now - m_ColdNoticeSeenAt;
  if (m_ColdNoticeBy == m_Self) {
    if (NoticeAge >= m_Timing.m_ColdWait / 2)
      append(record(ClaimRecord{nextId(), Base, m_Self, true}), Now, Out);
    return;
  }
  // Only one notice stands at a time. Replace another host's notice only if
  // that host did not claim within m_ColdWait.
  if (m_ColdNoticeBy.empty() || NoticeAge >= m_Timing.m_ColdWait)
    append(record(ColdNoticeRecord{Base, m_Self}), Now, Out);
}

void GroupNode::handOverTerm(TimePoint Now, Outbox &Out) {
  m_HasHandedOver = true;
  m_Promises.release(m_Self, Now);
  for (const HostId &Host : m_Hosts) {
    Heartbeat Message;
    Message.m_Pool = m_PoolName;
    Message.m_From = m_Self;
    Message.m_Term = state().term();
    Message.m_HandingOver = true;
    Out.m_ToHosts.push_back({Host, Message});
  }
  Out.m_Appends.push_back(record(ResignRecord{m_Self}));
  m_Decider.reset();
}

bool GroupNode::stop() {
  m_IsStopping = true;
  return !isHolder();
}

HeartbeatReply GroupNode::onHeartbeat(const Heartbeat &Message, TimePoint Now) {
  HeartbeatReply Reply;
  Reply.m_From = m_Self;
  Reply.m_Stamp = toStamp(Now);
  Reply.m_Stopping = m_IsStopping;
  if (Message.m_HandingOver) {
    m_Promises.release(Message.m_From, Now);
    // Skip the promise lifetime in candidateDelay(), as no promise is in force.
    m_LastDeciderContact = Now - m_Timing.m_Promise;
  } else if (Message.m_Term >= m_Promises.term()) {
    Reply.m_Promised = !m_IsStopping &&
                       m_Promises.promise(Message.m_From, Message.m_Term, Now);
    m_LastDeciderContact = Now;
    m_NoMajoritySince.reset();
    m_View.apply(Message);
  }
  Reply.m_Term = m_Promises.term();
  Reply.m_AckSeq = m_View.sequence(Message.m_Term);
  Reply.m_Busy = m_View.busyRanges(Now);
  return Reply;
}

CanvassReply GroupNode::onCanvass(const Canvass &Message, TimePoint Now) const {
  CanvassReply Reply;
  Reply.m_From = m_Self;
  Reply.m_Term = m_Promises.term();
  Reply.m_WouldPromise = !m_IsStopping && Message.m_Term > m_Promises.term() &&
                         m_Promises.canPromise(Message.m_From, Now);
  return Reply;
}

void GroupNode::onHeartbeatReply(const HeartbeatReply &Reply, Term Number,
                                 TimePoint SentAt, TimePoint Now) {
  if (!isHolder() || Number != state().term())
    return;
  PeerStatus &Each = m_Peers[Reply.m_From];
  Each.m_LastReply = Now;
  Each.m_IsStopping = Reply.m_Stopping;
  // Count from when the request was sent, so that the promise expires here no
  // later than at the elector.
  if (Reply.m_Promised && Reply.m_Term == Number)
    Each.m_PromisedUntil =
        std::max(Each.m_PromisedUntil, SentAt + m_Timing.m_Promise);
  if (m_Decider)
    m_Decider->onHeartbeatReply(Reply);
}

void GroupNode::onCanvassReply(const CanvassReply &Reply, TimePoint /*Now*/) {
  if (Reply.m_WouldPromise && state().isElector(Reply.m_From))
    m_Supporters.insert(Reply.m_From);
}

void GroupNode::onGrantReply(const GrantOrder &Order, const GrantReply &Reply,
                             TimePoint Now) {
  if (m_Decider)
    m_Decider->onGrantReply(Order, Reply, Now);
}

void GroupNode::onGrantFailure(const GrantOrder &Order) {
  if (m_Decider)
    m_Decider->onGrantFailure(Order);
}

const Target *GroupNode::target(const std::string &Server) const {
  if (m_Decider)
    if (const Target *Known = m_Decider->target(Server))
      return Known;
  return m_Pool ? m_Pool->findTarget(Server) : nullptr;
}

GroupReport GroupNode::report(TimePoint Now) const {
  GroupReport Result;
  Result.m_Pool = m_PoolName;
  Result.m_Term = state().term();
  Result.m_Holder = state().holder();
  Result.m_IsDecider = isHolder();
  Result.m_IsActing = isHolder() && Now < actUntil();
  Result.m_IsCold = state().isCold();
  Result.m_Electors = state().electors();
  Result.m_Version = state().version();
  if (!m_Decider)
    return Result;
  Result.m_AreMovesPaused = m_Decider->areMovesPaused();
  Result.m_PendingRanges = m_Decider->pendingRanges();
  Result.m_SuspectServers = m_Decider->suspectServers();
  return Result;
}

} // namespace monsoon
