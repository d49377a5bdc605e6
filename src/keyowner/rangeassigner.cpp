#include "keyowner/rangeassigner.h"

#include "core/keyspace.h"
#include "keyowner/keytablecodec.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// How long a read of the topic waits for records.
constexpr Milliseconds ReadWait{500};
/// How long a change known to exist is awaited by gossip before the log is read
/// for it. Changes are sent with the reports between hosts, which come every
/// 200 ms at the latest.
constexpr Milliseconds GossipWait{100};
/// Larger changes are not gossiped, and the peers read them from the log:
/// sending them to each of many peers would saturate the link of a small host.
/// A plan that relieves a quarter of some hundred targets stays below this.
constexpr size_t MaxGossipedChanges = 256;
/// A slow target clock may extend a hold by up to this factor.
constexpr double ClockDriftFactor = 1.025;
/// Allows for the granularity of timers.
constexpr Milliseconds HoldMargin{50};
/// If neither this host's lease was confirmed nor a peer read the log for this
/// long, the log counts as unreachable.
constexpr Milliseconds LogUnreachableAfter{850};
/// Delay before the next grant after one that the target refused because of a
/// higher fence, or that another target answered.
constexpr Milliseconds FencedRetryDelay{1500};
/// Delay before a failed or unanswered grant is sent again.
constexpr Milliseconds OrderRetryDelay{120};
/// Delay before a release is sent again.
constexpr Milliseconds ReleaseRetryDelay{700};
/// An owner loses its keys if it accepted no grant for this long and at least
/// MinFailedGrants grants in a row have failed.
constexpr Milliseconds UnreachableTimeout{1500};
constexpr int MinFailedGrants = 3;
/// How long an unreachable target is ejected, doubled with each ejection up to
/// the maximum.
constexpr Milliseconds MinEjection{12'000};
constexpr Milliseconds MaxEjection{40'000};
constexpr Milliseconds PlanInterval{250};
/// Each term of a restored log starts its fences this far above the former
/// term's. More than a term uses, so that a term whose records are lost shares
/// none with the next.
constexpr unsigned FencesPerTermShift = 20;
/// The intervals between reads and between records of owners grow with the
/// number of hosts.
constexpr Milliseconds ReadIntervalPerHost{8};
constexpr Milliseconds MaxReadInterval{400};
constexpr Milliseconds RecordIntervalPerHost{4};

} // namespace

RangeAssigner::RangeAssigner(std::string Host, std::string Pool,
                             std::string Topic, AssignerTimes Times,
                             Parts Ports)
    : m_Host(std::move(Host)), m_Pool(std::move(Pool)),
      m_Topic(std::move(Topic)), m_Times(Times), m_Ports(Ports),
      m_Follower(
          {m_Topic, ReadWait, Milliseconds(0), Milliseconds(1000), GossipWait},
          Ports.m_Log, Ports.m_Clock, Ports.m_Events,
          [this](const KeyedPage &Page, bool Whole) {
            // A read of the whole topic returns the newest record of each key.
            // Their offsets may be below m_AppliedEnd, yet all are applied.
            if (Whole) {
              m_AppliedEnd = 0;
              m_HasGossipedChanges = false;
            }
            if (logEpoch(Page.m_End) != m_ReadEpoch)
              beginEpoch();
            applyPage(Page);
            return !Page.m_Records.empty();
          }) {}

void RangeAssigner::log(Severity Level, const char *Name,
                        EventSink::Details Fields) {
  Fields.emplace_back("pool", m_Pool);
  Fields.emplace_back("term", absl::StrCat(m_Lease.m_Term));
  m_Ports.m_Events.event(Level, Name, Fields);
}

void RangeAssigner::setHosts(size_t Count) {
  const auto Hosts = static_cast<int64_t>(Count);
  m_Follower.setPause(
      std::min<Milliseconds>(ReadIntervalPerHost * Hosts, MaxReadInterval));
  m_RecordInterval = RecordIntervalPerHost * Hosts;
}

void RangeAssigner::resync() {
  if (m_Resyncing)
    return;
  m_Resyncing = true;
  m_Ports.m_Log.read(
      m_Topic, m_Follower.end(), Milliseconds(0),
      [this,
       Alive = std::weak_ptr<bool>(m_Alive)](const Outcome<KeyedPage> &Page) {
        if (Alive.expired())
          return;
        m_Resyncing = false;
        m_ResyncDue = !Page;
        if (!Page && Page.error().m_Kind == ErrorKind::RecordsExpired) {
          m_ResyncDue = false;
          m_Follower.requestFullRead();
        }
        if (!Page)
          return;
        m_ResyncDue = Page.value().m_End < Page.value().m_TopicEnd;
        applyPage(Page.value());
        m_Follower.skipTo(Page.value().m_End);
      });
}

void RangeAssigner::applyPage(const KeyedPage &Page) {
  for (const KeyedRecord &Each : Page.m_Records)
    if (Each.m_Offset >= m_AppliedEnd)
      applyRecord(Each);
  m_AppliedEnd = std::max(m_AppliedEnd, Page.m_End);
  if (!m_Table)
    m_Table = std::make_shared<KeyTable>();
}

void RangeAssigner::applyRecord(const KeyedRecord &Record) {
  if (!Record.m_Value)
    return;
  if (Record.m_Key == LeaseRecordKey) {
    const auto Lease = decodeLease(*Record.m_Value);
    if (!Lease) {
      log(Severity::Error, "lease_unreadable",
          {{"detail", Lease.error().m_Message}});
      return;
    }
    if (Lease.value().m_Term < m_Lease.m_Term) {
      m_IsRewriteDue = m_IsHolder;
      return;
    }
    const bool NewHolder = !(Lease.value() == m_Lease);
    m_Lease = Lease.value();
    if (NewHolder && m_Lease.m_Holder != m_Host)
      m_SupersededAt = m_Ports.m_Clock.now();
    if (m_IsHolder && m_Lease.m_Holder != m_Host)
      stepDown("lease taken over by another host");
    if (NewHolder)
      log(Severity::Info, "lease_holder", {{"holder", m_Lease.m_Holder}});
    return;
  }
  if (Record.m_Key != TableRecordKey)
    return;
  auto Table = decodeKeyTable(*Record.m_Value);
  if (!Table) {
    log(Severity::Error, "key_table_unreadable",
        {{"detail", Table.error().m_Message}});
    return;
  }
  if (m_Table && Table.value().nextFence() < m_Table->nextFence()) {
    m_IsRewriteDue = m_IsHolder;
    return;
  }
  installTable(std::make_shared<KeyTable>(std::move(Table).value()));
}

void RangeAssigner::noteLogEpoch(uint64_t Epoch, TimePoint KnownAt) {
  if (Epoch <= m_KnownEpoch)
    return;
  m_KnownEpoch = Epoch;
  m_EpochKnownAt = KnownAt;
  m_FormerHosts = m_HostNames;
  m_FormerReports.clear();
  if (m_IsHolder)
    stepDown("log restored");
  m_Follower.requestFullRead();
}

void RangeAssigner::beginEpoch() {
  noteLogEpoch(logEpoch(m_Follower.end()), m_Ports.m_Clock.now());
  const bool IsFirstRead = m_ReadEpoch == 0;
  // Without a takeover in the epoch that ends, its table was a restored one.
  m_KnewFormerOwners =
      !IsFirstRead && (m_KnewFormerOwners || tableEpoch() >= m_ReadEpoch);
  m_ReadEpoch = logEpoch(m_Follower.end());
  m_IsRewriteDue = false;
  if (m_ReadEpoch > FirstLogEpoch)
    log(Severity::Warning, "log_restored",
        {{"epoch", absl::StrCat(m_ReadEpoch)},
         {"holder", m_Lease.m_Holder},
         {"next_fence", absl::StrCat(m_Table ? m_Table->nextFence() : 0)},
         {"knew_owners", m_KnewFormerOwners ? "yes" : "no"}});
}

uint64_t RangeAssigner::tableEpoch() const {
  return m_Table ? logEpoch(m_Table->nextFence()) : FirstLogEpoch;
}

bool RangeAssigner::isLogRestored() const {
  return tableEpoch() < std::max(m_ReadEpoch, m_KnownEpoch);
}

std::optional<FormerOwners> RangeAssigner::formerOwners() const {
  // From then on this host gives no grants and learns no former change.
  if (!m_Table || !isLogRestored() || m_ReadEpoch != m_KnownEpoch)
    return std::nullopt;
  return FormerOwners{m_ReadEpoch, m_Table->nextFence()};
}

void RangeAssigner::applyFormerOwners(const std::string &Host,
                                      const FormerOwners &Former) {
  if (Former.m_Epoch == m_KnownEpoch)
    m_FormerReports[Host] = Former;
}

bool RangeAssigner::knowsFormerOwners() const {
  if (!m_KnewFormerOwners)
    return false;
  std::set<std::string> Hosts = m_FormerHosts;
  Hosts.insert(m_HostNames.begin(), m_HostNames.end());
  Hosts.erase(m_Host);
  return std::all_of(Hosts.begin(), Hosts.end(), [this](const auto &Each) {
    const auto Found = m_FormerReports.find(Each);
    return Found != m_FormerReports.end() &&
           Found->second.m_NextFence <= m_Table->nextFence();
  });
}

bool RangeAssigner::mayTakeOverRestored(TimePoint Now) const {
  return m_ReadEpoch == m_KnownEpoch &&
         (Now >= formerHoldsExpiry() || knowsFormerOwners());
}

TimePoint RangeAssigner::otherGrantsEnd(TimePoint From) const {
  return From + m_Ports.m_Leases.longestLease() +
         m_Ports.m_Grants.grantTimeout();
}

TimePoint RangeAssigner::formerHoldsExpiry() const {
  // A holder of the former epoch grants until its lease expires or the log
  // answers it.
  return otherGrantsEnd(m_EpochKnownAt) +
         maxHoldDuration(m_Times.m_LongestHold);
}

void RangeAssigner::rewriteRecords() {
  append({{LeaseRecordKey, encodeLease(m_Lease)},
          {TableRecordKey, encodeKeyTable(*m_Table)}},
         m_Table, [this]() {
           m_IsRewriteDue = false;
           log(Severity::Warning, "owner_records_rewritten", {});
         });
}

void RangeAssigner::installTable(KeyTablePtr Table) {
  const KeyTablePtr Before = std::exchange(m_Table, std::move(Table));
  std::map<uint64_t, GrantState> Grants;
  for (const OwnedRange &Each : m_Table->ranges()) {
    GrantState &State = Grants[Each.m_Fence];
    const auto Known = m_Grants.find(Each.m_Fence);
    if (Known != m_Grants.end()) {
      State = Known->second;
      continue;
    }
    if (!Before)
      continue;
    // A range that was split off from one of the same owner inherits its state.
    for (const OwnedRange &Old : Before->ranges()) {
      const auto OldState = m_Grants.find(Old.m_Fence);
      if (OldState == m_Grants.end() || Old.m_Owner != Each.m_Owner ||
          !Old.m_Keys.contains(Each.m_Keys.m_First))
        continue;
      // A new incarnation may have accepted grants that were meant for the
      // former one, so only the hold expiry is inherited.
      if (Old.m_Incarnation != Each.m_Incarnation) {
        State.m_HoldExpiry = State.m_PriorHoldExpiry =
            OldState->second.m_HoldExpiry;
        State.m_OwnHoldExpiry = State.m_PriorOwnHoldExpiry =
            OldState->second.m_OwnHoldExpiry;
        continue;
      }
      State = OldState->second;
      // The grant in flight covers the whole former range and may still arrive.
      if (std::exchange(State.m_InFlight, false))
        State.m_UnansweredExpiry = State.m_OwnHoldExpiry;
    }
  }
  m_Grants = std::move(Grants);
  if (m_OnChange)
    m_OnChange();
}

void RangeAssigner::tick() {
  const TimePoint Now = m_Ports.m_Clock.now();
  if (Now >= m_NextDecay) {
    m_Load.decay();
    m_NextDecay = Now + std::chrono::seconds(1);
  }
  m_Follower.tick();
  if (!m_Follower.isSynced())
    return;
  if (m_ResyncDue)
    resync();
  if (!hasLease(Now)) {
    if (m_IsHolder)
      stepDown("lease expired");
    return;
  }
  if (!m_IsHolder) {
    // If another host took over, it got the lease after this host. A takeover
    // waits for a later confirmation that the lease is this host's again;
    // otherwise two hosts that both count on the lease would take it from each
    // other.
    if (m_Ports.m_Leases.confirmedAt() > m_SupersededAt)
      takeOver();
    return;
  }
  if (m_IsRewriteDue && !m_AppendPending && !m_Resyncing)
    rewriteRecords();
  if (m_Table->ranges().empty()) {
    assignInitialOwners(Now);
    return;
  }
  advanceMoves(Now);
  planMoves(Now);
  renewGrants(Now);
}

bool RangeAssigner::hasLease(TimePoint Now) const {
  return Now < m_Ports.m_Leases.heldUntil(m_Pool);
}

void RangeAssigner::takeOver() {
  // If the state is out of date, the condition of the append fails.
  if (m_AppendPending || m_Resyncing || m_UsableTargets.empty())
    return;
  if (m_HasGossipedChanges) {
    m_Follower.requestFullRead();
    m_Follower.tick();
    return;
  }
  const bool IsRestored = isLogRestored();
  if (IsRestored && !mayTakeOverRestored(m_Ports.m_Clock.now()))
    return;
  const uint64_t First = firstOffset(m_ReadEpoch);
  const OwnerLease Lease{m_Host, std::max(m_Lease.m_Term, First) + 1};
  const uint64_t LowestFence =
      First == 0 ? 0 : First + ((Lease.m_Term - First) << FencesPerTermShift);
  const auto Table = std::make_shared<KeyTable>(KeyTable::Builder(*m_Table)
                                                    .raiseNextFence(LowestFence)
                                                    .renewFences()
                                                    .build());
  append({{LeaseRecordKey, encodeLease(Lease)},
          {TableRecordKey, encodeKeyTable(*Table)}},
         Table, [this, Lease, Table, IsRestored]() {
           // The last holder of a former epoch may be another than the one
           // known here, so that no report can shorten the wait for its holds.
           m_PreviousLease = IsRestored ? OwnerLease() : m_Lease;
           m_Lease = Lease;
           m_OwnTerm = Lease.m_Term;
           m_IsHolder = true;
           m_TermStarted = m_Ports.m_Clock.now();
           m_Moves.clear();
           m_Grants.clear();
           installTable(Table);
           // The previous holder may send grants with the longest hold time
           // until its lease has expired by its own clock.
           m_PreviousGrantsEnd =
               otherGrantsEnd(IsRestored ? m_EpochKnownAt : m_TermStarted);
           m_PreviousHoldsExpiry =
               m_PreviousGrantsEnd + maxHoldDuration(m_Times.m_LongestHold);
           for (auto &[Fence, State] : m_Grants)
             State.m_HoldExpiry = State.m_PriorHoldExpiry =
                 m_PreviousHoldsExpiry;
           log(Severity::Info, "lease_taken",
               {{"ranges", absl::StrCat(m_Table->ranges().size())}});
           tick();
         });
}

std::optional<EndedTerm> RangeAssigner::endedTerm() const {
  const TimePoint Now = m_Ports.m_Clock.now();
  if (m_IsHolder || m_OwnTerm == 0 || hasLease(Now))
    return std::nullopt;
  return EndedTerm{m_OwnTerm,
                   std::chrono::duration_cast<Milliseconds>(std::max<Duration>(
                       std::max(m_PreviousHoldsExpiry, m_OwnHoldsExpiry) - Now,
                       HoldMargin))};
}

void RangeAssigner::applyEndedTerm(const std::string &Host,
                                   const EndedTerm &Ended) {
  if (!m_IsHolder || !(m_PreviousLease == OwnerLease{Host, Ended.m_Term}))
    return;
  const TimePoint End =
      m_Ports.m_Clock.now() + Ended.m_RemainingHoldTime + HoldMargin;
  if (End >= m_PreviousHoldsExpiry)
    return;
  log(Severity::Info, "former_term_ended",
      {{"holder", Host},
       {"holds_left_ms", absl::StrCat(Ended.m_RemainingHoldTime.count())}});
  m_PreviousGrantsEnd = std::min(m_PreviousGrantsEnd, End);
  const TimePoint Assumed = std::exchange(m_PreviousHoldsExpiry, End);
  for (auto &[Fence, State] : m_Grants)
    for (TimePoint *Each : {&State.m_HoldExpiry, &State.m_PriorHoldExpiry})
      if (*Each == Assumed)
        *Each = std::max(End, State.m_OwnHoldExpiry);
}

void RangeAssigner::stepDown(const char *Why) {
  m_IsHolder = false;
  m_Moves.clear();
  log(Severity::Warning, "lease_lost", {{"reason", Why}});
}

void RangeAssigner::append(const std::vector<KeyedRecord> &Records,
                           const KeyTablePtr &Next,
                           std::function<void()> Accepted) {
  m_AppendPending = true;
  const LogOffset From = m_Follower.end();
  m_Ports.m_Log.append(
      m_Topic, Records, From,
      [this, Alive = std::weak_ptr<bool>(m_Alive), From, Before = m_Table, Next,
       Accepted = std::move(Accepted)](const Outcome<LogOffset> &End) {
        if (Alive.expired())
          return;
        m_AppendPending = false;
        if (End) {
          // The condition of the append guarantees that there are no other
          // records in between.
          m_AppliedEnd = std::max(m_AppliedEnd, End.value());
          m_Follower.skipTo(End.value());
          // The topic no longer ends where a former append of this host needs
          // it to.
          for (Move &Each : m_Moves)
            Each.m_MayBeRecorded = false;
          // Peers that know less than the holder read a repetition themselves.
          if (Next != Before)
            queueUpdate(*Before, *Next, From, End.value());
          Accepted();
          return;
        }
        // The read shows whether the records were appended, and any records
        // of other hosts before them.
        resync();
      });
}

void RangeAssigner::queueUpdate(const KeyTable &Before, const KeyTable &Next,
                                LogOffset From, LogOffset End) {
  OwnerTableUpdate Update;
  Update.m_Pool = m_Pool;
  Update.m_From = From;
  Update.m_End = End;
  Update.m_NextFence = Next.nextFence();
  for (const OwnedRange &Each : Next.ranges()) {
    const OwnedRange *Old = Before.find(Each.m_Keys.m_First);
    if (!Old || !(*Old == Each))
      Update.m_Changes.push_back({Each.m_Keys.m_First, Each.m_Keys.m_Last,
                                  Each.m_Owner, Each.m_Incarnation,
                                  Each.m_Fence});
  }
  if (Update.m_Changes.size() <= MaxGossipedChanges)
    m_Updates.push_back(std::move(Update));
}

void RangeAssigner::applyUpdate(const OwnerTableUpdate &Update) {
  // Updates that do not directly follow the state of this host are ignored; the
  // changes are read from the log.
  if (!m_Follower.isSynced() || m_IsHolder || m_AppendPending || m_Resyncing ||
      Update.m_From != m_AppliedEnd || Update.m_End <= Update.m_From ||
      logEpoch(Update.m_End) != m_ReadEpoch)
    return;
  std::vector<OwnedRange> Ranges;
  for (const OwnerChange &Each : Update.m_Changes)
    Ranges.push_back({{Each.m_First, Each.m_Last},
                      Each.m_Owner,
                      Each.m_Incarnation,
                      Each.m_Fence});
  m_AppliedEnd = Update.m_End;
  m_Follower.advanceByGossip(Update.m_End);
  m_HasGossipedChanges = true;
  installTable(std::make_shared<KeyTable>(KeyTable::Builder(*m_Table)
                                              .replace(Ranges)
                                              .nextFence(Update.m_NextFence)
                                              .build()));
}

void RangeAssigner::assignInitialOwners(TimePoint Now) {
  if (m_AppendPending || m_Resyncing || m_UsableTargets.empty() ||
      Now - m_UsableUnchangedSince < m_Times.m_Settling)
    return;
  KeyTable::Builder Next(*m_Table);
  for (const PlannedMove &Each : RangePlanner::initial(m_UsableTargets))
    Next.assign(Each.m_Keys, Each.m_To,
                m_KnownTargets.at(Each.m_To).m_Incarnation);
  const auto Table = std::make_shared<KeyTable>(Next.build());
  append({{TableRecordKey, encodeKeyTable(*Table)}}, Table, [this, Table]() {
    installTable(Table);
    log(Severity::Info, "keys_assigned_first",
        {{"ranges", absl::StrCat(m_Table->ranges().size())}});
    tick();
  });
}

const TargetInfo *RangeAssigner::findOwner(const OwnedRange &Range) const {
  const auto It = m_KnownTargets.find(Range.m_Owner);
  if (It == m_KnownTargets.end() ||
      It->second.m_Incarnation != Range.m_Incarnation)
    return nullptr;
  return &It->second;
}

bool RangeAssigner::hasNewIncarnation(const OwnedRange &Range) const {
  const auto It = m_KnownTargets.find(Range.m_Owner);
  return It != m_KnownTargets.end() &&
         It->second.m_Incarnation != Range.m_Incarnation;
}

void RangeAssigner::eject(const std::string &Id, TimePoint Now) {
  EjectedTarget &Entry = m_Ejected[Id];
  if (Now < Entry.m_Until)
    return;
  Entry.m_Length =
      std::clamp<Duration>(Entry.m_Length * 2, MinEjection, MaxEjection);
  Entry.m_Until = Now + Entry.m_Length;
}

bool RangeAssigner::isEjected(const std::string &Id, TimePoint Now) const {
  const auto Entry = m_Ejected.find(Id);
  return Entry != m_Ejected.end() && Now < Entry->second.m_Until;
}

bool RangeAssigner::hasReceiver(const OwnedRange &Range, TimePoint Now) const {
  return std::any_of(
      m_UsableTargets.begin(), m_UsableTargets.end(), [&](const auto &Each) {
        return Each.first != Range.m_Owner && !isEjected(Each.first, Now);
      });
}

bool RangeAssigner::isMoving(uint64_t Fence) const {
  return std::any_of(m_Moves.begin(), m_Moves.end(), [Fence](const Move &Each) {
    return Each.m_Fence == Fence;
  });
}

bool RangeAssigner::isReleasing(uint64_t Fence) const {
  return std::any_of(m_Moves.begin(), m_Moves.end(), [Fence](const Move &Each) {
    return Each.m_Fence == Fence && Each.m_Step != MoveStep::Waiting;
  });
}

Duration RangeAssigner::maxHoldDuration(Duration Hold) {
  return std::chrono::duration_cast<Duration>(Hold * ClockDriftFactor) +
         HoldMargin;
}

bool RangeAssigner::isOrphaned(const OwnedRange &Range, TimePoint Now) const {
  const TargetInfo *Owner = findOwner(Range);
  if (!Owner || m_UsableTargets.count(Range.m_Owner) == 0)
    return true;
  const auto State = m_Grants.find(Range.m_Fence);
  if (State != m_Grants.end() && State->second.m_OwnerGone)
    return true;
  return State != m_Grants.end() &&
         State->second.m_ConsecutiveFailures >= MinFailedGrants &&
         Now - std::max(State->second.m_LastAccepted, m_TermStarted) >
             UnreachableTimeout;
}

void RangeAssigner::planMoves(TimePoint Now) {
  if (Now < m_NextPlan || m_AppendPending || m_UsableTargets.empty())
    return;
  m_NextPlan = Now + PlanInterval;
  PlanInput Input;
  std::vector<PlannedMove> ToNewIncarnation;
  Input.m_Table = m_Table.get();
  Input.m_Load = &m_Load;
  Input.m_OverloadThreshold = m_OverloadThreshold;
  Input.m_Capacity = m_UsableTargets;
  for (const Move &Each : m_Moves)
    Input.m_Moving[Each.m_Fence] = Each.m_Plan.m_To;
  for (const OwnedRange &Each : m_Table->ranges()) {
    if (!isOrphaned(Each, Now))
      continue;
    // The outcome of a grant in flight is known soon, so nothing is decided
    // before.
    if (m_Grants[Each.m_Fence].m_InFlight) {
      Input.m_Moving.emplace(Each.m_Fence, "");
      continue;
    }
    // A new incarnation of the owner may have accepted grants that were meant
    // for the former one, so the keys stay with it if possible.
    if (hasNewIncarnation(Each) && m_UsableTargets.count(Each.m_Owner) > 0) {
      if (!isMoving(Each.m_Fence))
        ToNewIncarnation.push_back({Each.m_Keys, Each.m_Owner, Each.m_Owner});
      Input.m_Moving.emplace(Each.m_Fence, Each.m_Owner);
      continue;
    }
    Input.m_Orphaned.insert(Each.m_Fence);
    if (findOwner(Each) && m_UsableTargets.count(Each.m_Owner) > 0)
      eject(Each.m_Owner, Now);
  }
  for (const auto &[Id, Capacity] : m_UsableTargets)
    if (isEjected(Id, Now))
      Input.m_Capacity.erase(Id);
  std::vector<PlannedMove> Plan = RangePlanner::plan(Input);
  Plan.insert(Plan.end(), ToNewIncarnation.begin(), ToNewIncarnation.end());
  // If only a part of a range moves, the range is split first, so that the
  // grants of the rest can be renewed while the part is released.
  KeyTable::Builder Split(*m_Table);
  bool Any = false;
  for (const PlannedMove &Each : Plan) {
    const OwnedRange *Range = m_Table->find(Each.m_Keys.m_First);
    if (!Range || Range->m_Keys == Each.m_Keys)
      continue;
    Split.assign(Each.m_Keys, Range->m_Owner, Range->m_Incarnation);
    Any = true;
  }
  if (!Any) {
    startMoves(Plan, Now);
    return;
  }
  if (m_Resyncing)
    return;
  const auto Table = std::make_shared<KeyTable>(Split.build());
  append({{TableRecordKey, encodeKeyTable(*Table)}}, Table,
         [this, Table, Plan, Now]() {
           installTable(Table);
           startMoves(Plan, Now);
         });
}

void RangeAssigner::startMoves(const std::vector<PlannedMove> &Plan,
                               TimePoint Now) {
  for (const PlannedMove &Each : Plan) {
    const OwnedRange *Range = m_Table->find(Each.m_Keys.m_First);
    if (!Range || Range->m_Keys != Each.m_Keys || isMoving(Range->m_Fence))
      continue;
    Move Started;
    Started.m_Id = ++m_LastMoveId;
    Started.m_Plan = Each;
    Started.m_Fence = Range->m_Fence;
    Started.m_Started = Now;
    log(Severity::Info, "move_planned",
        {{"move", absl::StrCat(Started.m_Id)},
         {"first", absl::StrCat(Each.m_Keys.m_First)},
         {"last", absl::StrCat(Each.m_Keys.m_Last)},
         {"from", Each.m_From},
         {"to", Each.m_To}});
    m_Moves.push_back(std::move(Started));
  }
}

void RangeAssigner::advanceMoves(TimePoint Now) {
  for (auto It = m_Moves.begin(); It != m_Moves.end();) {
    // A move is dropped and planned again if its receiver is no longer usable
    // or its assignment no longer exists.
    const bool IsCurrent = m_Grants.count(It->m_Fence) > 0;
    const bool Obsolete =
        It->m_Step != MoveStep::Recording &&
        (m_UsableTargets.count(It->m_Plan.m_To) == 0 || !IsCurrent);
    // The owner is granted the keys again once the move is dropped, so the move
    // must not be recorded after that by an append that is carried out late.
    if (Obsolete && IsCurrent && It->m_MayBeRecorded) {
      m_IsRewriteDue = true;
      ++It;
      continue;
    }
    if (Obsolete || !advanceRelease(*It, Now))
      It = m_Moves.erase(It);
    else
      ++It;
  }
  recordMoves();
}

bool RangeAssigner::advanceRelease(Move &Each, TimePoint Now) {
  if (Each.m_Step == MoveStep::Freed || Each.m_Step == MoveStep::Recording)
    return true;
  const OwnedRange *Range = m_Table->find(Each.m_Plan.m_Keys.m_First);
  if (!Range || Range->m_Fence != Each.m_Fence)
    return false;
  const TargetInfo *From = findOwner(*Range);
  GrantState &State = m_Grants[Each.m_Fence];
  if (Each.m_Plan.m_To == Range->m_Owner || Now >= State.m_HoldExpiry) {
    Each.m_Step = MoveStep::Freed;
    return true;
  }
  // Only an owner that has accepted a grant of the current term refuses late
  // grants of previous holders, so that its release is final. A grant that may
  // still arrive would undo the release: one of this holder at once, one of a
  // previous holder if the owner restarts and so forgets the fences it has
  // seen.
  if (!From || !State.m_AcceptedThisTerm || State.m_InFlight ||
      Now < State.m_UnansweredExpiry || Now < m_PreviousGrantsEnd)
    return true;
  Each.m_Step = MoveStep::Releasing;
  if (Each.m_ReleaseInFlight || Now < Each.m_NextRelease)
    return true;
  Each.m_ReleaseInFlight = true;
  Each.m_NextRelease = Now + ReleaseRetryDelay;
  m_Ports.m_Grants.release(
      *From, Each.m_Plan.m_Keys, Each.m_Fence,
      [this, Alive = std::weak_ptr<bool>(m_Alive),
       Id = Each.m_Id](GrantCallResult Result, const std::string &Handover) {
        if (!Alive.expired())
          handleReleaseResult(Id, Result, Handover);
      });
  return true;
}

void RangeAssigner::handleReleaseResult(uint64_t MoveId, GrantCallResult Result,
                                        const std::string &Handover) {
  const auto Found =
      std::find_if(m_Moves.begin(), m_Moves.end(),
                   [MoveId](const Move &Each) { return Each.m_Id == MoveId; });
  if (Found == m_Moves.end()) {
    log(Severity::Debug, "release_outdated", {{"move", absl::StrCat(MoveId)}});
    return;
  }
  Found->m_ReleaseInFlight = false;
  if (Result != GrantCallResult::Accepted)
    return;
  if (Found->m_Step == MoveStep::Releasing) {
    Found->m_Step = MoveStep::Freed;
    Found->m_Handover = Handover;
  }
  tick();
}

void RangeAssigner::recordMoves() {
  const TimePoint Now = m_Ports.m_Clock.now();
  if (m_AppendPending || m_Resyncing || Now < m_NextRecord)
    return;
  KeyTable::Builder Next(*m_Table);
  bool Any = false;
  for (Move &Each : m_Moves) {
    if (Each.m_Step == MoveStep::Recording)
      Each.m_Step = MoveStep::Freed; // The last append failed.
    if (Each.m_Step != MoveStep::Freed ||
        m_KnownTargets.count(Each.m_Plan.m_To) == 0)
      continue;
    Next.assign(Each.m_Plan.m_Keys, Each.m_Plan.m_To,
                m_KnownTargets.at(Each.m_Plan.m_To).m_Incarnation);
    Each.m_Step = MoveStep::Recording;
    Each.m_MayBeRecorded = true;
    Any = true;
  }
  if (!Any)
    return;
  m_NextRecord = Now + m_RecordInterval;
  const auto Table = std::make_shared<KeyTable>(Next.build());
  append({{TableRecordKey, encodeKeyTable(*Table)}}, Table, [this, Table]() {
    installTable(Table);
    for (const Move &Each : m_Moves) {
      if (Each.m_Step != MoveStep::Recording)
        continue;
      const OwnedRange *Range = m_Table->find(Each.m_Plan.m_Keys.m_First);
      if (Range && Range->m_Owner == Each.m_Plan.m_To)
        m_Grants[Range->m_Fence].m_Handover = Each.m_Handover;
      log(Severity::Info, "move_recorded",
          {{"first", absl::StrCat(Each.m_Plan.m_Keys.m_First)},
           {"last", absl::StrCat(Each.m_Plan.m_Keys.m_Last)},
           {"from", Each.m_Plan.m_From},
           {"to", Each.m_Plan.m_To},
           {"handover", Each.m_Handover.empty() ? "no" : "yes"}});
    }
    m_Moves.erase(std::remove_if(m_Moves.begin(), m_Moves.end(),
                                 [](const Move &Each) {
                                   return Each.m_Step == MoveStep::Recording;
                                 }),
                  m_Moves.end());
    renewGrants(m_Ports.m_Clock.now());
  });
}

void RangeAssigner::renewGrants(TimePoint Now) {
  if (!m_IsHolder || !hasLease(Now))
    return;
  // While the log answers no host, owners get the longest hold time, as no
  // other host can reassign their keys meanwhile. If the log answers peers, one
  // of them takes over, and must not have to wait for long holds to expire.
  const TimePoint Seen =
      std::max(m_Ports.m_Leases.confirmedAt(), m_LogReachableAt);
  const bool Unreachable = Now - Seen > LogUnreachableAfter;
  if (Unreachable && !m_LogUnreachable)
    for (auto &[Fence, State] : m_Grants)
      State.m_NextGrant = Now;
  m_LogUnreachable = Unreachable;
  for (const OwnedRange &Each : m_Table->ranges()) {
    GrantState &State = m_Grants[Each.m_Fence];
    if (State.m_InFlight || Now < State.m_NextGrant ||
        isReleasing(Each.m_Fence))
      continue;
    const TargetInfo *Owner = findOwner(Each);
    if (!Owner || State.m_OwnerGone)
      continue;
    // The grants of an owner that is to lose its keys are not renewed once it
    // refuses earlier fences or a grant has failed. If no other target can take
    // the keys, the owner is tried until it can be reached again.
    const bool Attempted =
        State.m_AcceptedThisTerm || State.m_ConsecutiveFailures > 0;
    if (Attempted && isOrphaned(Each, Now) && hasReceiver(Each, Now))
      continue;
    sendGrant(Each, *Owner, Now);
  }
}

void RangeAssigner::sendGrant(const OwnedRange &Range, const TargetInfo &To,
                              TimePoint Now) {
  GrantState &State = m_Grants[Range.m_Fence];
  State.m_InFlight = true;
  State.m_NextGrant = Now + m_Times.m_GrantRenewal;
  KeyGrant Order;
  Order.m_Keys = Range.m_Keys;
  Order.m_Fence = Range.m_Fence;
  Order.m_Hold = m_LogUnreachable ? m_Times.m_LongestHold : m_Times.m_Hold;
  Order.m_Handover = State.m_Handover;
  // The expiry is set before the grant is sent, as it may be carried out even
  // if no answer ever comes.
  const TimePoint Arrived = Now + m_Ports.m_Grants.grantTimeout();
  State.m_PriorHoldExpiry = State.m_HoldExpiry;
  const TimePoint End = Arrived + maxHoldDuration(Order.m_Hold);
  State.m_HoldExpiry = std::max(State.m_HoldExpiry, End);
  State.m_PriorOwnHoldExpiry = State.m_OwnHoldExpiry;
  State.m_OwnHoldExpiry = std::max(State.m_OwnHoldExpiry, End);
  m_OwnHoldsExpiry = std::max(m_OwnHoldsExpiry, End);
  m_Ports.m_Grants.grant(To, Order,
                         [this, Alive = std::weak_ptr<bool>(m_Alive),
                          Fence = Range.m_Fence, Term = m_Lease.m_Term, Now,
                          Hold = Order.m_Hold](GrantCallResult Result) {
                           if (!Alive.expired())
                             handleGrantResult(Fence, Term, Now, Hold, Result);
                         });
}

void RangeAssigner::handleGrantResult(uint64_t Fence, uint64_t Term,
                                      TimePoint Sent, Duration Hold,
                                      GrantCallResult Result) {
  const auto Found = m_Grants.find(Fence);
  if (Found == m_Grants.end())
    return;
  const TimePoint Now = m_Ports.m_Clock.now();
  GrantState &State = Found->second;
  State.m_InFlight = false;
  switch (Result) {
  case GrantCallResult::Accepted:
    if (!State.m_AcceptedThisTerm)
      log(Severity::Debug, "grant_accepted", {{"fence", absl::StrCat(Fence)}});
    State.m_AcceptedThisTerm = m_IsHolder && m_Lease.m_Term == Term;
    State.m_LastAccepted = Now;
    State.m_HoldExpiry =
        std::max(State.m_PriorHoldExpiry, Now + maxHoldDuration(Hold));
    State.m_ConsecutiveFailures = 0;
    State.m_Handover.clear();
    return;
  case GrantCallResult::Fenced:
    log(Severity::Warning, "grant_fenced", {{"fence", absl::StrCat(Fence)}});
    State.m_NextGrant = Now + FencedRetryDelay;
    resync();
    return;
  case GrantCallResult::Rejected:
    // An unrelated server that now has the owner's address rejects grants as
    // well. In either case the grant was not carried out.
    if (State.m_ConsecutiveFailures == 0)
      log(Severity::Error, "grant_rejected", {{"fence", absl::StrCat(Fence)}});
    ++State.m_ConsecutiveFailures;
    State.m_HoldExpiry = State.m_PriorHoldExpiry;
    State.m_OwnHoldExpiry = State.m_PriorOwnHoldExpiry;
    State.m_NextGrant = Now + OrderRetryDelay;
    return;
  case GrantCallResult::Misdirected:
    // The incarnation that held the keys is gone.
    State.m_HoldExpiry = State.m_UnansweredExpiry = Now;
    State.m_OwnerGone = true;
    State.m_NextGrant = Now + FencedRetryDelay;
    return;
  case GrantCallResult::Unreachable:
    ++State.m_ConsecutiveFailures;
    State.m_HoldExpiry = State.m_PriorHoldExpiry;
    State.m_OwnHoldExpiry = State.m_PriorOwnHoldExpiry;
    State.m_NextGrant = Now + OrderRetryDelay;
    return;
  case GrantCallResult::Unanswered:
    State.m_UnansweredExpiry = std::max(State.m_UnansweredExpiry,
                                        Sent + m_Ports.m_Grants.grantTimeout() +
                                            maxHoldDuration(Hold));
    State.m_NextGrant = Now + OrderRetryDelay;
    return;
  }
}

void RangeAssigner::setTargets(const std::map<std::string, TargetInfo> &Known,
                               const std::map<std::string, double> &Usable) {
  const TimePoint Now = m_Ports.m_Clock.now();
  std::map<std::string, TargetInfo> Next = Known;
  // Owners that left the pool stay known, so that they can still be asked to
  // release their keys.
  if (m_Table)
    for (const OwnedRange &Each : m_Table->ranges()) {
      const auto Former = m_KnownTargets.find(Each.m_Owner);
      if (Former != m_KnownTargets.end())
        Next.emplace(Former->first, Former->second);
    }
  const auto SameKeys = [](const auto &A, const auto &B) {
    return A.first == B.first;
  };
  if (!std::equal(Usable.begin(), Usable.end(), m_UsableTargets.begin(),
                  m_UsableTargets.end(), SameKeys))
    m_UsableUnchangedSince = Now;
  // The ejection of a former incarnation does not apply to a new one.
  for (const auto &[Id, Info] : Next) {
    const auto Former = m_KnownTargets.find(Id);
    if (Former != m_KnownTargets.end() &&
        Former->second.m_Incarnation != Info.m_Incarnation)
      m_Ejected.erase(Id);
  }
  m_KnownTargets = std::move(Next);
  m_UsableTargets = Usable;
}

} // namespace monsoon
