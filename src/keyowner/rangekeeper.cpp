#include "keyowner/rangekeeper.h"

#include "core/keyspace.h"
#include "keyowner/keytablecodec.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// How long a read of the topic waits for records.
constexpr Milliseconds ReadWait{500};
/// Changes are told to the other hosts together with their reports, which come
/// every 200 ms at the latest; they are read if nothing has come by then.
constexpr Milliseconds TellingTime{100};
/// Larger changes are read by the hosts: a message to each of many others would
/// fill the link of a small host.
constexpr size_t MostTold = 64;
/// Targets' clocks may measure a hold this much too long.
constexpr double SlowClock = 1.025;
/// Covers the grain of timers.
constexpr Milliseconds HoldMargin{50};
/// A holder whose lease was confirmed longer ago fears for the log.
constexpr Milliseconds LogTrouble{850};
/// Pause before an order that was refused for good is tried again.
constexpr Milliseconds FencedPause{1500};
/// Pause before an order is sent again.
constexpr Milliseconds OrderPause{120};
/// An unanswered release is sent again after this time.
constexpr Milliseconds ReleasePause{700};
/// An owner that could not be reached for this long loses its keys.
constexpr Milliseconds UnreachableLimit{1500};
constexpr int UnreachableOrders = 3;
/// A target that could not be reached gets no keys for this time, doubled each
/// time up to the longest.
constexpr Milliseconds FirstShun{12'000};
constexpr Milliseconds LongestShun{40'000};
constexpr Milliseconds PlanPause{250};
/// Shares of a host in the pauses between reads and between records of owners.
constexpr Milliseconds ReadPausePerHost{8};
constexpr Milliseconds RecordPausePerHost{4};

} // namespace

RangeKeeper::RangeKeeper(std::string Host, std::string Pool, std::string Topic,
                         KeeperTimes Times, Parts Ports)
    : m_Host(std::move(Host)), m_Pool(std::move(Pool)),
      m_Topic(std::move(Topic)), m_Times(Times), m_Ports(Ports),
      m_Follower(
          {m_Topic, ReadWait, Milliseconds(0), Milliseconds(1000), TellingTime},
          Ports.m_Log, Ports.m_Clock,
          [this](const KeyedPage &Page, bool Whole) {
            // The records of a whole read come by key.
            if (Whole) {
              m_Folded = 0;
              m_Told = false;
            }
            fold(Page);
            return !Page.m_Records.empty();
          }) {}

void RangeKeeper::log(Severity Level, const char *Name,
                      EventSink::Details Fields) {
  Fields.emplace_back("pool", m_Pool);
  Fields.emplace_back("term", absl::StrCat(m_Lease.m_Term));
  m_Ports.m_Events.event(Level, Name, Fields);
}

void RangeKeeper::setHosts(size_t Count) {
  const auto Hosts = static_cast<int64_t>(Count);
  m_Follower.setPause(ReadPausePerHost * Hosts);
  m_RecordPause = RecordPausePerHost * Hosts;
}

void RangeKeeper::resync() {
  if (m_Resyncing)
    return;
  m_Resyncing = true;
  m_Ports.m_Log.read(m_Topic, m_Follower.end(), Milliseconds(0),
                     [this, Alive = std::weak_ptr<bool>(m_Alive)](
                         const Outcome<KeyedPage> &Page) {
                       if (Alive.expired())
                         return;
                       m_Resyncing = false;
                       m_ResyncDue = !Page;
                       if (!Page)
                         return;
                       fold(Page.value());
                       m_Follower.skipTo(Page.value().m_End);
                     });
}

void RangeKeeper::fold(const KeyedPage &Page) {
  for (const KeyedRecord &Each : Page.m_Records)
    if (Each.m_Offset >= m_Folded)
      foldRecord(Each);
  m_Folded = std::max(m_Folded, Page.m_End);
  if (!m_Table)
    m_Table = std::make_shared<KeyTable>();
}

void RangeKeeper::foldRecord(const KeyedRecord &Record) {
  if (!Record.m_Value)
    return;
  if (Record.m_Key == LeaseRecordKey) {
    const auto Lease = decodeLease(*Record.m_Value);
    if (!Lease) {
      log(Severity::Error, "lease_unreadable",
          {{"detail", Lease.error().m_Message}});
      return;
    }
    const bool NewHolder = !(Lease.value() == m_Lease);
    m_Lease = Lease.value();
    if (NewHolder && m_Lease.m_Holder != m_Host)
      m_SupersededAt = m_Ports.m_Clock.now();
    if (m_Holding && m_Lease.m_Holder != m_Host)
      stepDown("another host holds the lease");
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
  adopt(std::make_shared<KeyTable>(std::move(Table).value()));
}

void RangeKeeper::adopt(KeyTablePtr Table) {
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
    // What was cut off from a range that stays with its owner.
    for (const OwnedRange &Old : Before->ranges()) {
      const auto OldState = m_Grants.find(Old.m_Fence);
      if (OldState == m_Grants.end() || Old.m_Owner != Each.m_Owner ||
          !Old.m_Keys.contains(Each.m_Keys.m_First))
        continue;
      // A new life may have taken orders that were meant for the former one.
      if (Old.m_Incarnation != Each.m_Incarnation) {
        State.m_HoldEnd = State.m_HoldEndBefore = OldState->second.m_HoldEnd;
        State.m_OwnHoldEnd = State.m_OwnHoldEndBefore =
            OldState->second.m_OwnHoldEnd;
        continue;
      }
      State = OldState->second;
      // An order for the whole range may still arrive.
      if (std::exchange(State.m_InFlight, false))
        State.m_UnansweredUntil = State.m_OwnHoldEnd;
    }
  }
  m_Grants = std::move(Grants);
  if (m_Changed)
    m_Changed();
}

void RangeKeeper::tick() {
  const TimePoint Now = m_Ports.m_Clock.now();
  if (Now >= m_NextFade) {
    m_Load.fade();
    m_NextFade = Now + std::chrono::seconds(1);
  }
  m_Follower.tick();
  if (!m_Follower.isSynced())
    return;
  if (m_ResyncDue)
    resync();
  if (!hasLease(Now)) {
    if (m_Holding)
      stepDown("the lease ran out");
    return;
  }
  if (!m_Holding) {
    // The other host was dealt the lease later; whether it is this one's again
    // is known when it is confirmed anew.
    if (m_Ports.m_Leases.confirmedAt() > m_SupersededAt)
      takeOver();
    return;
  }
  if (m_Table->ranges().empty()) {
    assignFirst(Now);
    return;
  }
  advanceMoves(Now);
  planMoves(Now);
  renewGrants(Now);
}

bool RangeKeeper::hasLease(TimePoint Now) const {
  return Now < m_Ports.m_Leases.heldUntil(m_Pool);
}

void RangeKeeper::takeOver() {
  // An older state than the newest one fails the condition of the append.
  if (m_AppendPending || m_Resyncing || m_Usable.empty())
    return;
  if (m_Told) {
    m_Follower.startOver();
    m_Follower.tick();
    return;
  }
  const OwnerLease Lease{m_Host, m_Lease.m_Term + 1};
  const auto Table = std::make_shared<KeyTable>(
      KeyTable::Builder(*m_Table).renewFences().build());
  append({{LeaseRecordKey, encodeLease(Lease)},
          {TableRecordKey, encodeKeyTable(*Table)}},
         Table, [this, Lease, Table]() {
           m_Former = m_Lease;
           m_Lease = Lease;
           m_OwnTerm = Lease.m_Term;
           m_Holding = true;
           m_TookOver = m_Ports.m_Clock.now();
           m_Moves.clear();
           m_Grants.clear();
           adopt(Table);
           // A former holder may grant until its lease has run out by its own
           // count, for the longest time.
           m_FormerHoldsEnd = m_TookOver + m_Ports.m_Leases.longestLease() +
                              m_Ports.m_Grants.grantTimeout() +
                              holdBound(m_Times.m_LongestHold);
           for (auto &[Fence, State] : m_Grants)
             State.m_HoldEnd = State.m_HoldEndBefore = m_FormerHoldsEnd;
           log(Severity::Info, "lease_taken",
               {{"ranges", absl::StrCat(m_Table->ranges().size())}});
           tick();
         });
}

std::optional<EndedTerm> RangeKeeper::endedTerm() const {
  const TimePoint Now = m_Ports.m_Clock.now();
  if (m_Holding || m_OwnTerm == 0 || hasLease(Now))
    return std::nullopt;
  return EndedTerm{
      m_OwnTerm,
      std::chrono::duration_cast<Milliseconds>(std::max<Duration>(
          std::max(m_FormerHoldsEnd, m_OwnHoldsEnd) - Now, HoldMargin))};
}

void RangeKeeper::noteEndedTerm(const std::string &Host,
                                const EndedTerm &Ended) {
  if (!m_Holding || !(m_Former == OwnerLease{Host, Ended.m_Term}))
    return;
  const TimePoint End = m_Ports.m_Clock.now() + Ended.m_HoldsLeft + HoldMargin;
  if (End >= m_FormerHoldsEnd)
    return;
  log(Severity::Info, "former_term_ended",
      {{"holder", Host},
       {"holds_left_ms", absl::StrCat(Ended.m_HoldsLeft.count())}});
  const TimePoint Assumed = std::exchange(m_FormerHoldsEnd, End);
  for (auto &[Fence, State] : m_Grants)
    for (TimePoint *Each : {&State.m_HoldEnd, &State.m_HoldEndBefore})
      if (*Each == Assumed)
        *Each = std::max(End, State.m_OwnHoldEnd);
}

void RangeKeeper::stepDown(const char *Why) {
  m_Holding = false;
  m_Moves.clear();
  log(Severity::Warning, "lease_lost", {{"reason", Why}});
}

void RangeKeeper::append(const std::vector<KeyedRecord> &Records,
                         const KeyTablePtr &Next,
                         std::function<void()> Accepted) {
  m_AppendPending = true;
  const LogOffset From = m_Follower.end();
  m_Ports.m_Log.append(
      m_Topic, Records, From,
      [this, Alive = std::weak_ptr<bool>(m_Alive), From, Next,
       Accepted = std::move(Accepted)](const Outcome<LogOffset> &End) {
        if (Alive.expired())
          return;
        m_AppendPending = false;
        if (End) {
          // The condition of the append has ruled out that anything else came
          // in between.
          m_Folded = std::max(m_Folded, End.value());
          m_Follower.skipTo(End.value());
          addNews(*Next, From, End.value());
          Accepted();
          return;
        }
        // Whether it was appended, and what came before it, is read.
        resync();
      });
}

void RangeKeeper::addNews(const KeyTable &Next, LogOffset From, LogOffset End) {
  OwnersNews News;
  News.m_Pool = m_Pool;
  News.m_From = From;
  News.m_End = End;
  News.m_NextFence = Next.nextFence();
  for (const OwnedRange &Each : Next.ranges()) {
    const OwnedRange *Old = m_Table->find(Each.m_Keys.m_First);
    if (!Old || !(*Old == Each))
      News.m_Changes.push_back({Each.m_Keys.m_First, Each.m_Keys.m_Last,
                                Each.m_Owner, Each.m_Incarnation,
                                Each.m_Fence});
  }
  if (News.m_Changes.size() <= MostTold)
    m_News.push_back(std::move(News));
}

void RangeKeeper::noteNews(const OwnersNews &News) {
  // What does not follow on the state here is read from the log.
  if (!m_Follower.isSynced() || m_Holding || m_AppendPending || m_Resyncing ||
      News.m_From != m_Folded || News.m_End <= News.m_From)
    return;
  std::vector<OwnedRange> Ranges;
  for (const OwnerChange &Each : News.m_Changes)
    Ranges.push_back({{Each.m_First, Each.m_Last},
                      Each.m_Owner,
                      Each.m_Incarnation,
                      Each.m_Fence});
  m_Folded = News.m_End;
  m_Follower.noteTold(News.m_End);
  m_Told = true;
  adopt(std::make_shared<KeyTable>(KeyTable::Builder(*m_Table)
                                       .replace(Ranges)
                                       .nextFence(News.m_NextFence)
                                       .build()));
}

void RangeKeeper::assignFirst(TimePoint Now) {
  if (m_AppendPending || m_Resyncing || m_Usable.empty() ||
      Now - m_UsableSince < m_Times.m_Settling)
    return;
  KeyTable::Builder Next(*m_Table);
  for (const PlannedMove &Each : RangePlanner::initial(m_Usable))
    Next.assign(Each.m_Keys, Each.m_To, m_Known.at(Each.m_To).m_Incarnation);
  const auto Table = std::make_shared<KeyTable>(Next.build());
  append({{TableRecordKey, encodeKeyTable(*Table)}}, Table, [this, Table]() {
    adopt(Table);
    log(Severity::Info, "keys_assigned_first",
        {{"ranges", absl::StrCat(m_Table->ranges().size())}});
    tick();
  });
}

const TargetInfo *RangeKeeper::lifeOf(const OwnedRange &Range) const {
  const auto It = m_Known.find(Range.m_Owner);
  if (It == m_Known.end() || It->second.m_Incarnation != Range.m_Incarnation)
    return nullptr;
  return &It->second;
}

bool RangeKeeper::hasNewLife(const OwnedRange &Range) const {
  const auto It = m_Known.find(Range.m_Owner);
  return It != m_Known.end() && It->second.m_Incarnation != Range.m_Incarnation;
}

void RangeKeeper::shun(const std::string &Id, TimePoint Now) {
  Shunned &Entry = m_Shunned[Id];
  if (Now < Entry.m_Until)
    return;
  Entry.m_Length =
      std::clamp<Duration>(Entry.m_Length * 2, FirstShun, LongestShun);
  Entry.m_Until = Now + Entry.m_Length;
}

bool RangeKeeper::isMoving(uint64_t Fence) const {
  return std::any_of(m_Moves.begin(), m_Moves.end(), [Fence](const Move &Each) {
    return Each.m_Fence == Fence;
  });
}

bool RangeKeeper::isReleasing(uint64_t Fence) const {
  return std::any_of(m_Moves.begin(), m_Moves.end(), [Fence](const Move &Each) {
    return Each.m_Fence == Fence && Each.m_Step != MoveStep::Waiting;
  });
}

Milliseconds RangeKeeper::holdBound(Milliseconds Hold) {
  return std::chrono::duration_cast<Milliseconds>(Hold * SlowClock) +
         HoldMargin;
}

bool RangeKeeper::isOrphaned(const OwnedRange &Range, TimePoint Now) const {
  const TargetInfo *Life = lifeOf(Range);
  if (!Life || m_Usable.count(Range.m_Owner) == 0)
    return true;
  const auto State = m_Grants.find(Range.m_Fence);
  if (State != m_Grants.end() && State->second.m_OwnerGone)
    return true;
  return State != m_Grants.end() &&
         State->second.m_UnreachableInRow >= UnreachableOrders &&
         Now - std::max(State->second.m_LastAccepted, m_TookOver) >
             UnreachableLimit;
}

void RangeKeeper::planMoves(TimePoint Now) {
  if (Now < m_NextPlan || m_AppendPending || m_Usable.empty())
    return;
  m_NextPlan = Now + PlanPause;
  PlanInput Input;
  std::vector<PlannedMove> SameOwner;
  Input.m_Table = m_Table.get();
  Input.m_Load = &m_Load;
  Input.m_CrowdedLoad = m_CrowdedLoad;
  Input.m_Capacity = m_Usable;
  for (const Move &Each : m_Moves)
    Input.m_Moving[Each.m_Fence] = Each.m_Plan.m_To;
  for (const OwnedRange &Each : m_Table->ranges()) {
    if (!isOrphaned(Each, Now))
      continue;
    // What an order under way will have done is known soon.
    if (m_Grants[Each.m_Fence].m_InFlight) {
      Input.m_Moving.emplace(Each.m_Fence, "");
      continue;
    }
    // A new life of the owner may have taken grants that were meant for the
    // former one, so the keys stay with it if possible.
    if (hasNewLife(Each) && m_Usable.count(Each.m_Owner) > 0) {
      if (!isMoving(Each.m_Fence))
        SameOwner.push_back({Each.m_Keys, Each.m_Owner, Each.m_Owner});
      Input.m_Moving.emplace(Each.m_Fence, Each.m_Owner);
      continue;
    }
    Input.m_Orphaned.insert(Each.m_Fence);
    if (lifeOf(Each) && m_Usable.count(Each.m_Owner) > 0)
      shun(Each.m_Owner, Now);
  }
  for (const auto &[Id, Entry] : m_Shunned)
    if (Now < Entry.m_Until)
      Input.m_Capacity.erase(Id);
  std::vector<PlannedMove> Plan = RangePlanner::plan(Input);
  Plan.insert(Plan.end(), SameOwner.begin(), SameOwner.end());
  // A range of which only a part moves is divided first, so that the rest is
  // renewed while the part is released.
  KeyTable::Builder Divided(*m_Table);
  bool Any = false;
  for (const PlannedMove &Each : Plan) {
    const OwnedRange *Range = m_Table->find(Each.m_Keys.m_First);
    if (!Range || Range->m_Keys == Each.m_Keys)
      continue;
    Divided.assign(Each.m_Keys, Range->m_Owner, Range->m_Incarnation);
    Any = true;
  }
  if (!Any) {
    startMoves(Plan, Now);
    return;
  }
  if (m_Resyncing)
    return;
  const auto Table = std::make_shared<KeyTable>(Divided.build());
  append({{TableRecordKey, encodeKeyTable(*Table)}}, Table,
         [this, Table, Plan, Now]() {
           adopt(Table);
           startMoves(Plan, Now);
         });
}

void RangeKeeper::startMoves(const std::vector<PlannedMove> &Plan,
                             TimePoint Now) {
  for (const PlannedMove &Each : Plan) {
    const OwnedRange *Range = m_Table->find(Each.m_Keys.m_First);
    if (!Range || Range->m_Keys != Each.m_Keys || isMoving(Range->m_Fence))
      continue;
    Move Started;
    Started.m_Plan = Each;
    Started.m_Fence = Range->m_Fence;
    Started.m_Started = Now;
    log(Severity::Info, "move_planned",
        {{"first", absl::StrCat(Each.m_Keys.m_First)},
         {"last", absl::StrCat(Each.m_Keys.m_Last)},
         {"from", Each.m_From},
         {"to", Each.m_To}});
    m_Moves.push_back(std::move(Started));
  }
}

void RangeKeeper::advanceMoves(TimePoint Now) {
  for (auto It = m_Moves.begin(); It != m_Moves.end();) {
    // A target that went away meanwhile gets nothing; the plan is made anew.
    const bool Useless = It->m_Step != MoveStep::Recording &&
                         (m_Usable.count(It->m_Plan.m_To) == 0 ||
                          m_Grants.count(It->m_Fence) == 0);
    if (Useless || !advanceRelease(*It, Now))
      It = m_Moves.erase(It);
    else
      ++It;
  }
  recordMoves();
}

bool RangeKeeper::advanceRelease(Move &Each, TimePoint Now) {
  if (Each.m_Step == MoveStep::Freed || Each.m_Step == MoveStep::Recording)
    return true;
  const OwnedRange *Range = m_Table->find(Each.m_Plan.m_Keys.m_First);
  if (!Range || Range->m_Fence != Each.m_Fence)
    return false;
  const TargetInfo *From = lifeOf(*Range);
  GrantState &State = m_Grants[Each.m_Fence];
  if (Each.m_Plan.m_To == Range->m_Owner || Now >= State.m_HoldEnd) {
    Each.m_Step = MoveStep::Freed;
    return true;
  }
  // Only an owner that has accepted a grant of this holder refuses the late
  // ones of former holders, so that its release is final.
  if (!From || !State.m_Accepted || State.m_InFlight ||
      Now < State.m_UnansweredUntil)
    return true;
  Each.m_Step = MoveStep::Releasing;
  if (Each.m_ReleaseInFlight || Now < Each.m_NextRelease)
    return true;
  Each.m_ReleaseInFlight = true;
  Each.m_NextRelease = Now + ReleasePause;
  m_Ports.m_Grants.release(
      *From, Each.m_Plan.m_Keys, Each.m_Fence,
      [this, Alive = std::weak_ptr<bool>(m_Alive), Keys = Each.m_Plan.m_Keys,
       Fence = Each.m_Fence](OrderResult Result, const std::string &Handover) {
        if (Alive.expired())
          return;
        for (Move &Waiting : m_Moves) {
          if (Waiting.m_Fence != Fence || Waiting.m_Plan.m_Keys != Keys)
            continue;
          Waiting.m_ReleaseInFlight = false;
          if (Result != OrderResult::Accepted ||
              Waiting.m_Step != MoveStep::Releasing)
            continue;
          Waiting.m_Step = MoveStep::Freed;
          Waiting.m_Handover = Handover;
        }
        if (Result == OrderResult::Accepted)
          tick();
      });
  return true;
}

void RangeKeeper::recordMoves() {
  const TimePoint Now = m_Ports.m_Clock.now();
  if (m_AppendPending || m_Resyncing || Now < m_NextRecord)
    return;
  KeyTable::Builder Next(*m_Table);
  bool Any = false;
  for (Move &Each : m_Moves) {
    if (Each.m_Step == MoveStep::Recording)
      Each.m_Step = MoveStep::Freed; // The last record was lost.
    if (Each.m_Step != MoveStep::Freed || m_Known.count(Each.m_Plan.m_To) == 0)
      continue;
    Next.assign(Each.m_Plan.m_Keys, Each.m_Plan.m_To,
                m_Known.at(Each.m_Plan.m_To).m_Incarnation);
    Each.m_Step = MoveStep::Recording;
    Any = true;
  }
  if (!Any)
    return;
  m_NextRecord = Now + m_RecordPause;
  const auto Table = std::make_shared<KeyTable>(Next.build());
  append({{TableRecordKey, encodeKeyTable(*Table)}}, Table, [this, Table]() {
    adopt(Table);
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

void RangeKeeper::renewGrants(TimePoint Now) {
  if (!m_Holding || !hasLease(Now))
    return;
  // While the log answers nobody, owners get all the time that can be given;
  // nobody else can decide about their keys meanwhile. If it answers others,
  // one of them takes over, and must not have to wait for long holds.
  const TimePoint Seen = std::max(m_Ports.m_Leases.confirmedAt(), m_LogSeen);
  const bool Troubled = Now - Seen > LogTrouble;
  if (Troubled && !m_LogTroubled)
    for (auto &[Fence, State] : m_Grants)
      State.m_NextGrant = Now;
  m_LogTroubled = Troubled;
  for (const OwnedRange &Each : m_Table->ranges()) {
    GrantState &State = m_Grants[Each.m_Fence];
    if (State.m_InFlight || Now < State.m_NextGrant ||
        isReleasing(Each.m_Fence))
      continue;
    const TargetInfo *Owner = lifeOf(Each);
    if (!Owner || State.m_OwnerGone)
      continue;
    // An owner that is to lose its keys needs no further time, once it refuses
    // earlier fences or can't be reached.
    const bool Known = State.m_Accepted || State.m_UnreachableInRow > 0;
    if (Known && m_Usable.size() > 1 && isOrphaned(Each, Now))
      continue;
    sendGrant(Each, *Owner, Now);
  }
}

void RangeKeeper::sendGrant(const OwnedRange &Range, const TargetInfo &To,
                            TimePoint Now) {
  GrantState &State = m_Grants[Range.m_Fence];
  State.m_InFlight = true;
  State.m_NextGrant = Now + m_Times.m_GrantRenewal;
  GrantOrder Order;
  Order.m_Keys = Range.m_Keys;
  Order.m_Fence = Range.m_Fence;
  Order.m_Hold = m_LogTroubled ? m_Times.m_LongestHold : m_Times.m_Hold;
  Order.m_Handover = State.m_Handover;
  // Noted before it is sent, in case the answer never comes.
  const TimePoint Arrived = Now + m_Ports.m_Grants.grantTimeout();
  State.m_HoldEndBefore = State.m_HoldEnd;
  const TimePoint End = Arrived + holdBound(Order.m_Hold);
  State.m_HoldEnd = std::max(State.m_HoldEnd, End);
  State.m_OwnHoldEndBefore = State.m_OwnHoldEnd;
  State.m_OwnHoldEnd = std::max(State.m_OwnHoldEnd, End);
  m_OwnHoldsEnd = std::max(m_OwnHoldsEnd, End);
  m_Ports.m_Grants.grant(To, Order,
                         [this, Alive = std::weak_ptr<bool>(m_Alive),
                          Fence = Range.m_Fence, Term = m_Lease.m_Term, Now,
                          Hold = Order.m_Hold](OrderResult Result) {
                           if (!Alive.expired())
                             grantDone(Fence, Term, Now, Hold, Result);
                         });
}

void RangeKeeper::grantDone(uint64_t Fence, uint64_t Term, TimePoint Sent,
                            Milliseconds Hold, OrderResult Result) {
  const auto Found = m_Grants.find(Fence);
  if (Found == m_Grants.end())
    return;
  const TimePoint Now = m_Ports.m_Clock.now();
  GrantState &State = Found->second;
  State.m_InFlight = false;
  switch (Result) {
  case OrderResult::Accepted:
    if (!State.m_Accepted)
      log(Severity::Debug, "grant_accepted", {{"fence", absl::StrCat(Fence)}});
    State.m_Accepted = m_Holding && m_Lease.m_Term == Term;
    State.m_LastAccepted = Now;
    State.m_HoldEnd = std::max(State.m_HoldEndBefore, Now + holdBound(Hold));
    State.m_UnreachableInRow = 0;
    State.m_Handover.clear();
    return;
  case OrderResult::Fenced:
    log(Severity::Warning, "grant_fenced", {{"fence", absl::StrCat(Fence)}});
    State.m_NextGrant = Now + FencedPause;
    resync();
    return;
  case OrderResult::Rejected:
    // Servers of other kinds, which may have got the owner's address, refuse
    // orders as well. In any case it was not carried out.
    if (State.m_UnreachableInRow == 0)
      log(Severity::Error, "grant_rejected", {{"fence", absl::StrCat(Fence)}});
    ++State.m_UnreachableInRow;
    State.m_HoldEnd = State.m_HoldEndBefore;
    State.m_OwnHoldEnd = State.m_OwnHoldEndBefore;
    State.m_NextGrant = Now + OrderPause;
    return;
  case OrderResult::OtherTarget:
    // The life that held the keys is over.
    State.m_HoldEnd = State.m_UnansweredUntil = Now;
    State.m_OwnerGone = true;
    State.m_NextGrant = Now + FencedPause;
    return;
  case OrderResult::Unreachable:
    ++State.m_UnreachableInRow;
    State.m_HoldEnd = State.m_HoldEndBefore;
    State.m_OwnHoldEnd = State.m_OwnHoldEndBefore;
    State.m_NextGrant = Now + OrderPause;
    return;
  case OrderResult::Unanswered:
    State.m_UnansweredUntil =
        std::max(State.m_UnansweredUntil,
                 Sent + m_Ports.m_Grants.grantTimeout() + holdBound(Hold));
    State.m_NextGrant = Now + OrderPause;
    return;
  }
}

void RangeKeeper::setTargets(const std::map<std::string, TargetInfo> &Known,
                             const std::map<std::string, double> &Usable) {
  const TimePoint Now = m_Ports.m_Clock.now();
  std::map<std::string, TargetInfo> Next = Known;
  // Owners that left are still asked to release what they hold.
  if (m_Table)
    for (const OwnedRange &Each : m_Table->ranges()) {
      const auto Former = m_Known.find(Each.m_Owner);
      if (Former != m_Known.end())
        Next.emplace(Former->first, Former->second);
    }
  const auto SameKeys = [](const auto &A, const auto &B) {
    return A.first == B.first;
  };
  if (!std::equal(Usable.begin(), Usable.end(), m_Usable.begin(),
                  m_Usable.end(), SameKeys))
    m_UsableSince = Now;
  // A new life is not held responsible for the former one.
  for (const auto &[Id, Info] : Next) {
    const auto Former = m_Known.find(Id);
    if (Former != m_Known.end() &&
        Former->second.m_Incarnation != Info.m_Incarnation)
      m_Shunned.erase(Id);
  }
  m_Known = std::move(Next);
  m_Usable = Usable;
}

} // namespace monsoon
