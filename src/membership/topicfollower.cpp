#include "membership/topicfollower.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <set>
#include <utility>

namespace monsoon {

namespace {

/// Delay after a failed read, doubled with each further failure up to
/// MaxRetryDelay.
constexpr Milliseconds MinRetryDelay{150};
constexpr Milliseconds MaxRetryDelay{600};
/// Hosts other than the designated reader read one after another, this far
/// apart by reader rank, so that the read of the first serves the others.
constexpr Milliseconds RankDelay{40};
/// Highest rank that is delayed further than the one before.
constexpr size_t MaxDelayedRank = 8;
/// More bytes of records than this are not gossiped: they would delay the load
/// reports on the link of a small host, and peers can read them from the log.
constexpr size_t MaxPublishedBytes = 8 << 10;
/// Catching up is logged from this staleness on.
constexpr Milliseconds LoggedStaleness{2000};

template <typename Record> size_t recordBytes(const Record &Each) {
  return Each.m_Key.size() + (Each.m_Value ? Each.m_Value->size() : 0);
}

} // namespace

TopicFollower::TopicFollower(Options Config, SharedLog &Log, const Clock &Time,
                             EventSink &Events, Callback OnRecords)
    : m_Config(std::move(Config)), m_Log(Log), m_Clock(Time), m_Events(Events),
      m_OnRecords(std::move(OnRecords)), m_RetryDelay(MinRetryDelay) {}

void TopicFollower::tick() {
  if (m_IsReading || !isReadDue(m_Clock.now()))
    return;
  m_IsReading = true;
  m_ReadStart = m_Clock.now();
  if (m_NeedsFullRead)
    readFull();
  else
    readNext();
}

bool TopicFollower::isReadDue(TimePoint Now) const {
  if (Now < m_NextRead)
    return false;
  if (m_NeedsFullRead || m_IsCatchingUp || m_Rank == 0)
    return true;
  if (m_PeersChanged > m_End)
    return Now - m_PeersChangedAt >= m_Config.m_GossipWait;
  return Now - m_UpToDateAt >=
         m_Config.m_StandbyStaleness +
             RankDelay * static_cast<int>(std::min(m_Rank, MaxDelayedRank));
}

void TopicFollower::applyPeerProgress(const TopicProgress &Peer) {
  const TimePoint Now = m_Clock.now();
  // A peer that has not noticed a restoration knows nothing of the log as it
  // is.
  const uint64_t Epoch = logEpoch(m_End);
  if (m_IsSynced && logEpoch(Peer.m_LastChangeEnd) < Epoch)
    return;
  notePeersChanged(Peer.m_LastChangeEnd);
  if (m_NeedsFullRead || m_PeersChanged > m_End ||
      logEpoch(Peer.m_End) != Epoch)
    return;
  m_UpToDateAt = std::max(m_UpToDateAt, Now - Peer.m_Age);
  m_End = std::max<LogOffset>(m_End, Peer.m_End);
  dropPassed();
}

void TopicFollower::notePeersChanged(LogOffset End) {
  // Further changes do not extend the wait that the first one started.
  if (m_PeersChanged <= m_End && End > m_End)
    m_PeersChangedAt = m_Clock.now();
  m_PeersChanged = std::max(m_PeersChanged, End);
}

TopicProgress TopicFollower::progress() const {
  return {
      m_End, m_Changed,
      std::chrono::duration_cast<Milliseconds>(m_Clock.now() - m_OwnReadAt)};
}

const char *TopicFollower::activity() const {
  if (m_IsReading)
    return "reading";
  if (m_FailedReads > 0)
    return "retrying";
  return m_PeersChanged > m_End ? "awaiting_gossip" : "idle";
}

void TopicFollower::requestFullRead() { m_NeedsFullRead = true; }

void TopicFollower::skipTo(LogOffset End) {
  advanceByGossip(End);
  m_UpToDateAt = m_OwnReadAt = m_Clock.now();
}

void TopicFollower::advanceByGossip(LogOffset End) {
  m_End = std::max(m_End, End);
  m_Changed = std::max(m_Changed, End);
  dropPassed();
}

void TopicFollower::dropPassed() {
  for (auto It = m_Ahead.begin(); It != m_Ahead.end();) {
    if (It->second.m_Offset >= m_End) {
      ++It;
      continue;
    }
    // Peers may lack it.
    m_Changed = std::max<LogOffset>(m_Changed, It->second.m_Offset + 1);
    It = m_Ahead.erase(It);
  }
}

bool TopicFollower::isNews(const std::string &Key, LogOffset Offset) const {
  const auto Known = m_Ahead.find(Key);
  return Offset >= m_End &&
         (Known == m_Ahead.end() || Known->second.m_Offset < Offset);
}

void TopicFollower::mergeAhead(KeyedPage &Page) {
  std::set<std::string> Present;
  std::vector<KeyedRecord> Records;
  for (KeyedRecord &Each : Page.m_Records) {
    Present.insert(Each.m_Key);
    const auto Newer = m_Ahead.find(Each.m_Key);
    if (Newer == m_Ahead.end() || Newer->second.m_Offset <= Each.m_Offset)
      Records.push_back(std::move(Each));
    else if (Newer->second.m_Value)
      Records.push_back(
          {Each.m_Key, Newer->second.m_Value, Newer->second.m_Offset});
  }
  for (const auto &[Key, Each] : m_Ahead)
    if (Each.m_Value && Each.m_Offset >= Page.m_End && Present.count(Key) == 0)
      Records.push_back({Key, Each.m_Value, Each.m_Offset});
  Page.m_Records = std::move(Records);
  for (const KeyedRecord &Each : Page.m_Records)
    if (Each.m_Offset >= Page.m_End)
      m_Ahead[Each.m_Key] = {Each.m_Key, Each.m_Value, Each.m_Offset};
}

void TopicFollower::logCaughtUp(TimePoint Now) {
  const Duration Behind = Now - m_UpToDateAt;
  if (m_UpToDateAt != TimePoint{} && Behind > LoggedStaleness)
    m_Events.event(
        Severity::Info, "topic_caught_up",
        {{"topic", m_Config.m_Topic},
         {"behind_ms",
          absl::StrCat(
              std::chrono::duration_cast<Milliseconds>(Behind).count())},
         {"failed_reads", absl::StrCat(m_FailedReads)}});
  m_FailedReads = 0;
}

void TopicFollower::deliver(const KeyedPage &Page, bool IsFull,
                            std::optional<TimePoint> CompleteAt) {
  if (CompleteAt) {
    logCaughtUp(m_Clock.now());
    m_OwnReadAt = std::max(m_OwnReadAt, *CompleteAt);
    m_UpToDateAt = std::max(m_UpToDateAt, m_OwnReadAt);
  }
  m_RetryDelay = MinRetryDelay;
  // The callback may send progress(). Until it returns, the records count as
  // changes, so that peers do not skip them.
  const LogOffset Previous =
      std::exchange(m_Changed, std::max(m_Changed, m_End));
  const LogOffset Assumed = m_Changed;
  m_IsPublishing = m_IsSynced;
  m_IsSynced = m_IsSynced || IsFull;
  if (!m_OnRecords(Page, IsFull) && !IsFull && m_Changed == Assumed)
    m_Changed = Previous;
  m_IsPublishing = false;
  finishPublishing(Previous, IsFull);
}

void TopicFollower::publish(const KeyedRecord &Record) {
  if (!m_IsPublishing)
    return;
  if (recordBytes(Record) > MaxPublishedBytes ||
      (m_Rank > 0 && Record.m_Offset < m_PeersChanged))
    withhold();
  else
    m_BeingPublished.push_back({Record.m_Key, Record.m_Value, Record.m_Offset});
}

void TopicFollower::withhold() { m_HasWithheld = m_IsPublishing; }

void TopicFollower::finishPublishing(LogOffset From, bool IsFull) {
  std::vector<TopicRecord> Records = std::exchange(m_BeingPublished, {});
  const bool HasWithheld = std::exchange(m_HasWithheld, false);
  if (Records.empty())
    return;
  size_t Bytes = 0;
  LogOffset End = m_End;
  for (const TopicRecord &Each : Records) {
    Bytes += recordBytes(Each);
    // A full read may hold records after its end.
    End = std::max<LogOffset>(End, Each.m_Offset + 1);
  }
  if (!IsFull && !HasWithheld && Bytes <= MaxPublishedBytes) {
    m_Published.push_back({m_Config.m_Topic, From, m_End, std::move(Records)});
    return;
  }
  std::stable_partition(
      Records.begin(), Records.end(),
      [](const TopicRecord &Each) { return !Each.m_Value.has_value(); });
  size_t Kept = 0;
  Bytes = 0;
  while (Kept < Records.size() &&
         (Bytes += recordBytes(Records[Kept])) <= MaxPublishedBytes)
    ++Kept;
  Records.resize(Kept);
  // Peers must not take these for all records before End.
  m_Published.push_back({m_Config.m_Topic, End, End, std::move(Records)});
}

void TopicFollower::logGap(const TopicRecords &Records) {
  if (m_LoggedGapAt == m_End)
    return;
  m_LoggedGapAt = m_End;
  m_Events.event(
      Severity::Info, "topic_gap",
      {{"topic", m_Config.m_Topic},
       {"reason", logEpoch(Records.m_End) != logEpoch(m_End) ? "epoch"
                  : m_NeedsFullRead                          ? "full_read_due"
                                    : "records_missing"},
       {"known_end", absl::StrCat(m_End)},
       {"from", absl::StrCat(Records.m_From)},
       {"records", absl::StrCat(Records.m_Records.size())},
       {"activity", activity()}});
}

void TopicFollower::applyPublished(const TopicRecords &Records) {
  if (m_End >= Records.m_End)
    return;
  const bool IsInOrder = !m_NeedsFullRead && m_End >= Records.m_From &&
                         logEpoch(Records.m_End) == logEpoch(m_End);
  KeyedPage Page;
  Page.m_End = Records.m_End;
  for (const TopicRecord &Each : Records.m_Records) {
    if (!isNews(Each.m_Key, Each.m_Offset) ||
        logEpoch(Each.m_Offset) != logEpoch(Records.m_End))
      continue;
    Page.m_Records.push_back({Each.m_Key, Each.m_Value, Each.m_Offset});
    if (!IsInOrder)
      m_Ahead[Each.m_Key] = Each;
  }
  if (IsInOrder) {
    advanceByGossip(Records.m_End);
  } else {
    logGap(Records);
    notePeersChanged(Records.m_End);
  }
  if (m_IsSynced && !Page.m_Records.empty())
    m_OnRecords(Page, false);
}

void TopicFollower::readFull() {
  m_Log.readNewest(
      m_Config.m_Topic,
      [this, Alive = std::weak_ptr<bool>(m_Alive)](Outcome<KeyedPage> Page) {
        if (Alive.expired())
          return;
        m_IsReading = false;
        if (!Page) {
          scheduleRetry(Page.error());
          return;
        }
        m_IsDeliveringRestored =
            m_IsSynced && logEpoch(Page.value().m_End) > logEpoch(m_End);
        m_NeedsFullRead = m_IsCatchingUp = false;
        m_FullReadRecords = Page.value().m_Records.size();
        mergeAhead(Page.value());
        m_End = Page.value().m_End;
        dropPassed();
        deliver(Page.value(), true, m_ReadStart);
        m_IsDeliveringRestored = false;
        tick();
      });
}

void TopicFollower::readNext() {
  m_Log.read(
      m_Config.m_Topic, m_End, m_Config.m_Wait,
      [this, Alive = std::weak_ptr<bool>(m_Alive)](Outcome<KeyedPage> Page) {
        if (Alive.expired())
          return;
        m_IsReading = false;
        if (!Page) {
          scheduleRetry(Page.error());
          return;
        }
        // Without records the log has waited for the whole time, else it has
        // answered at an unknown time after the start.
        const bool HasWaited = Page.value().m_Records.empty() &&
                               m_Clock.now() - m_ReadStart >= m_Config.m_Wait;
        const TimePoint CompleteAt =
            HasWaited ? m_ReadStart + m_Config.m_Wait : m_ReadStart;
        // Drops records that were skipped during the read; they are known.
        auto &Records = Page.value().m_Records;
        Records.erase(std::remove_if(Records.begin(), Records.end(),
                                     [this](const KeyedRecord &Each) {
                                       return Each.m_Offset < m_End;
                                     }),
                      Records.end());
        const bool HasRead = !Records.empty();
        const LogOffset Next = HasRead ? Records.back().m_Offset + 1 : m_End;
        // Drops those that gossip has delivered, or a newer one of their key.
        Records.erase(std::remove_if(Records.begin(), Records.end(),
                                     [this](const KeyedRecord &Each) {
                                       return !isNews(Each.m_Key,
                                                      Each.m_Offset);
                                     }),
                      Records.end());
        m_End = std::max(m_End, Next);
        dropPassed();
        const LogOffset TopicEnd = Page.value().m_TopicEnd;
        m_IsCatchingUp = m_End < TopicEnd;
        if (m_IsCatchingUp &&
            (!HasRead || TopicEnd - m_End > m_FullReadRecords))
          m_NeedsFullRead = true;
        m_NextRead = m_Clock.now() +
                     (m_IsCatchingUp ? Milliseconds(0) : m_Config.m_Pause);
        deliver(Page.value(), false,
                m_IsCatchingUp ? std::nullopt : std::optional(CompleteAt));
        tick();
      });
}

void TopicFollower::scheduleRetry(const Failure &Error) {
  const TimePoint Now = m_Clock.now();
  if (++m_FailedReads == 1)
    m_Events.event(Severity::Warning, "topic_read_failed",
                   {{"topic", m_Config.m_Topic}, {"detail", Error.m_Message}});
  m_NeedsFullRead =
      m_NeedsFullRead || Error.m_Kind == ErrorKind::RecordsExpired;
  m_NextRead = Now + m_RetryDelay;
  m_RetryDelay = std::min(2 * m_RetryDelay, MaxRetryDelay);
}

} // namespace monsoon
