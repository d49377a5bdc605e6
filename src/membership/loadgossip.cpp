#include "membership/loadgossip.h"

#include "codec/hostreportcodec.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Requests take about 100 to 300 ms, so reports are sent about as often as
/// requests end.
constexpr Milliseconds ReportInterval{200};
/// Interval of the summaries between failure domains, and of what relays tell
/// their neighbors about other domains.
constexpr Milliseconds SummaryInterval{400};
/// Time for which a report is used, and a summary.
constexpr Milliseconds ReportLifetime{700};
constexpr Milliseconds SummaryLifetime{1100};
/// Time for which a host that is no longer listed gets reports after it was
/// last heard.
constexpr Milliseconds UnlistedLifetime{2000};
/// Requests in flight at a target from other domains that relays report; fewer
/// hardly delay a request, and most targets have fewer.
constexpr int MinReportedInFlight = 2;

/// Longer reports are sent in parts. Messages of the channel have at most 60
/// KB.
constexpr size_t MaxReportBytes = 40'000;
/// Bytes of news in a part.
constexpr size_t MaxPartBytes = 16 << 10;
/// Bytes of records that a relay adds to a report, and that wait at a time.
constexpr size_t MaxRelayedBytes = 16 << 10;
constexpr size_t MaxWaitingBytes = 128 << 10;
/// A changed range of an owner table in a message, roughly.
constexpr size_t OwnerChangeBytes = 64;

/// Unused bytes are kept for this long.
constexpr double BurstSeconds = 0.4;

template <typename Map> void addCounts(Map &Sum, const Map &Counts) {
  for (const auto &[Key, Count] : Counts)
    Sum[Key] += Count;
}

void addKeyCounts(std::map<std::string, std::map<uint32_t, uint32_t>> &Sum,
                  const HostReport &Report) {
  for (const auto &[Pool, Counts] : Report.m_KeyCounts)
    addCounts(Sum[Pool], Counts);
}

/// Makes the ages of read progress include the way of the report.
void addTransit(std::map<std::string, TopicProgress> &Topics,
                std::optional<Duration> Transit) {
  for (auto &[Topic, Progress] : Topics)
    Progress.m_Age =
        Transit ? Progress.m_Age + std::chrono::ceil<Milliseconds>(*Transit)
                : Milliseconds(UnknownProgressAge);
}

bool hasNews(const HostReport &Report) {
  return !Report.m_OwnerUpdates.empty() || !Report.m_TopicRecords.empty() ||
         !Report.m_EndedTerms.empty() || !Report.m_FormerOwners.empty() ||
         !Report.m_LeavingTargets.empty() || Report.m_Members;
}

size_t newsBytes(const TopicRecords &Records) {
  size_t Result = 0;
  for (const TopicRecord &Each : Records.m_Records)
    Result += Each.m_Key.size() + (Each.m_Value ? Each.m_Value->size() : 0);
  return Result;
}

size_t newsBytes(const OwnerTableUpdate &Update) {
  return Update.m_Changes.size() * OwnerChangeBytes;
}

template <typename News> size_t newsBytes(const std::vector<News> &All) {
  size_t Result = 0;
  for (const News &Each : All)
    Result += newsBytes(Each);
  return Result;
}

/// Distributes news over reports that hold nothing else, each list of which has
/// MaxPartBytes or one item. List is the member that holds them.
template <typename News>
void moveToParts(HostReport &From, std::vector<News> HostReport::*List,
                 std::vector<HostReport> &Parts) {
  size_t Bytes = 0;
  bool IsFirst = true;
  for (News &Each : std::exchange(From.*List, {})) {
    if (std::exchange(IsFirst, false) ||
        Bytes + newsBytes(Each) > MaxPartBytes) {
      HostReport Part;
      Part.m_Host = From.m_Host;
      Part.m_OmitsLoad = true;
      Parts.push_back(std::move(Part));
      Bytes = 0;
    }
    Bytes += newsBytes(Each);
    (Parts.back().*List).push_back(std::move(Each));
  }
}

/// A copy without the load figures.
HostReport withoutLoad(HostReport Report) {
  Report.m_OmitsLoad = true;
  Report.m_InFlight.clear();
  Report.m_Waiting.clear();
  Report.m_CustomerDemand.clear();
  Report.m_KeyCounts.clear();
  return Report;
}

} // namespace

LoadGossip::LoadGossip(std::string Host, PeerChannel &Channel,
                       const Clock &Time, Source WriteReport, Sink OnReport)
    : m_Host(std::move(Host)), m_Channel(Channel), m_Clock(Time),
      m_Source(std::move(WriteReport)), m_Sink(std::move(OnReport)),
      m_Transit(Time) {
  m_Channel.onMessage([this](const std::string &Message) { receive(Message); });
}

void LoadGossip::setPeers(std::map<std::string, GossipPeer> Peers) {
  const GossipTopology Former =
      std::exchange(m_Topology, GossipTopology(m_Host, std::move(Peers)));
  if (!m_Topology.isRelay()) {
    m_Relayed = {};
    m_HasRelayed = false;
  }
  const TimePoint Now = m_Clock.now();
  for (const std::string &Host : Former.neighbors())
    if (!m_Topology.isKnown(Host))
      m_Unlisted[Host] = {Former.addressOf(Host), Now};
  for (auto It = m_Unlisted.begin(); It != m_Unlisted.end();)
    It = m_Topology.isKnown(It->first) ||
                 Now - It->second.m_HeardAt >= UnlistedLifetime
             ? m_Unlisted.erase(It)
             : std::next(It);
  m_FormerDemand.erase(
      std::remove_if(m_FormerDemand.begin(), m_FormerDemand.end(),
                     [Now](const auto &Each) {
                       return Now - Each.first >= CustomerDemandLifetime;
                     }),
      m_FormerDemand.end());
  for (const auto &[Host, State] : m_PeerStates)
    if (!m_Topology.isKnown(Host) && Former.isNeighbor(Host) &&
        !State.m_Report.m_CustomerDemand.empty())
      m_FormerDemand.emplace_back(State.m_ReceivedAt,
                                  State.m_Report.m_CustomerDemand);
  for (auto It = m_PeerStates.begin(); It != m_PeerStates.end();) {
    if (m_Topology.isKnown(It->first)) {
      ++It;
      continue;
    }
    m_Transit.forget(It->first);
    It = m_PeerStates.erase(It);
  }
}

void LoadGossip::send(const char *Kind, const std::set<std::string> &Hosts,
                      const HostReport &Report) {
  if (Hosts.empty())
    return;
  const std::string Encoded = encodeHostReport(Report);
  if (Encoded.size() <= MaxReportBytes) {
    transmit(Kind, Hosts, Encoded);
    return;
  }
  HostReport Rest = Report;
  std::vector<HostReport> Parts;
  moveToParts(Rest, &HostReport::m_TopicRecords, Parts);
  moveToParts(Rest, &HostReport::m_OwnerUpdates, Parts);
  Parts.push_back(std::move(Rest));
  for (HostReport &Each : Parts) {
    Each.m_Sequence = ++m_Sequence;
    transmit(Kind, Hosts, encodeHostReport(Each));
  }
}

void LoadGossip::transmit(const char *Kind, const std::set<std::string> &Hosts,
                          const std::string &Encoded) {
  for (const std::string &Each : Hosts) {
    const std::string Message =
        encodeStamped(Encoded, m_Transit.stampFor(Each));
    if (!m_Channel.send(addressOf(Each), Message)) {
      ++m_DroppedMessages;
      continue;
    }
    m_SentBytes[Kind] += Message.size();
    m_SendableBytes -= static_cast<double>(Message.size());
  }
}

std::set<std::string> LoadGossip::listeners() const {
  std::set<std::string> Result = m_Topology.neighbors();
  for (const auto &[Host, Each] : m_Unlisted)
    Result.insert(Host);
  return Result;
}

const Endpoint &LoadGossip::addressOf(const std::string &Host) const {
  const auto Found = m_Unlisted.find(Host);
  return Found == m_Unlisted.end() ? m_Topology.addressOf(Host)
                                   : Found->second.m_Address;
}

std::set<std::string> LoadGossip::unansweredSenders() const {
  std::set<std::string> Result;
  const std::set<std::string> Answered = distantListeners();
  for (const auto &[Host, State] : m_PeerStates)
    if (!m_Topology.isNeighbor(Host) && Answered.count(Host) == 0 &&
        m_Clock.now() - State.m_TopicsAt < SummaryLifetime)
      Result.insert(Host);
  return Result;
}

GossipDelay LoadGossip::takeDelay() {
  GossipDelay Result = m_Delay;
  m_Delay.m_Longest = {};
  m_Delay.m_LongestFrom.clear();
  return Result;
}

void LoadGossip::noteDelay(const std::string &Peer,
                           std::optional<Duration> Transit) {
  m_Delay.m_HeardAt = m_Clock.now();
  if (!Transit)
    return;
  m_Delay.m_Last = *Transit;
  if (*Transit <= m_Delay.m_Longest)
    return;
  m_Delay.m_Longest = *Transit;
  m_Delay.m_LongestFrom = Peer;
}

bool LoadGossip::mayTransmit(TimePoint Now) {
  if (m_ByteRate <= 0)
    return true;
  const double Passed =
      std::chrono::duration<double>(Now - m_SendableAt).count();
  m_SendableBytes = std::min(m_ByteRate * BurstSeconds,
                             m_SendableBytes + m_ByteRate * Passed);
  m_SendableAt = Now;
  return m_SendableBytes > 0;
}

void LoadGossip::tick() {
  const TimePoint Now = m_Clock.now();
  const bool Brief = Now < m_NextReport;
  if (m_Topology.peerCount() == 0 ||
      (Brief && !m_IsBriefReportDue && !m_HasRelayed) || !mayTransmit(Now))
    return;
  m_IsBriefReportDue = false;
  if (!Brief)
    m_NextReport = Now + ReportInterval;
  HostReport Report = m_Source(Brief);
  Report.m_OmitsLoad = Brief;
  Report.m_Host = m_Host;
  Report.m_Sequence = ++m_Sequence;
  if (!m_Topology.isMesh() && (hasNews(Report) || (m_IsAnnouncing && !Brief)))
    send("news", distantListeners(), withoutLoad(Report));
  if (m_Topology.isRelay() && !Brief) {
    HostReport Answer = withoutLoad(Report);
    Answer.m_OwnerUpdates.clear();
    Answer.m_TopicRecords.clear();
    Answer.m_Members.reset();
    send("stamp", unansweredSenders(), Answer);
  }
  if (m_Topology.isRelay())
    addKeyCounts(m_DomainKeyCounts, Report);
  const bool IsSummaryDue =
      m_Topology.isRelay() && !Brief && Now >= m_NextSummary;
  if (IsSummaryDue)
    sendSummary(Report);
  if (m_Topology.isRelay())
    addRelayed(Report, IsSummaryDue);
  send(Brief ? "brief" : "report", listeners(), Report);
}

void LoadGossip::sendSummary(const HostReport &Own) {
  m_NextSummary = m_Clock.now() + SummaryInterval;
  HostReport Sum;
  Sum.m_Host = m_Host;
  Sum.m_Sequence = ++m_Sequence;
  Sum.m_InFlight = Own.m_InFlight;
  Sum.m_Waiting = Own.m_Waiting;
  Sum.m_CustomerDemand = Own.m_CustomerDemand;
  addFormerDemand(Sum.m_CustomerDemand);
  Sum.m_Topics = Own.m_Topics;
  Sum.m_ConfigVersion = Own.m_ConfigVersion;
  for (const std::string &Each : m_Topology.neighbors()) {
    const auto Found = m_PeerStates.find(Each);
    if (Found == m_PeerStates.end())
      continue;
    addCustomerDemand(Sum.m_CustomerDemand, Found->second);
    if (!isRecent(Found->second, ReportLifetime))
      continue;
    ++Sum.m_SummedHosts;
    addCounts(Sum.m_InFlight, Found->second.m_Report.m_InFlight);
    addCounts(Sum.m_Waiting, Found->second.m_Report.m_Waiting);
  }
  auto KeyCounts = std::exchange(m_DomainKeyCounts, {});
  // Only one of the relays reports these, since the receivers add them up.
  if (isActiveRelay())
    Sum.m_KeyCounts = std::move(KeyCounts);
  send("summary", distantListeners(), Sum);
}

void LoadGossip::addRelayed(HostReport &Report, bool WithLoad) {
  if (std::exchange(m_HasRelayed, false)) {
    addRelayedRecords(Report);
    HostReport &News = m_Relayed;
    std::move(News.m_OwnerUpdates.begin(), News.m_OwnerUpdates.end(),
              std::back_inserter(Report.m_OwnerUpdates));
    News.m_OwnerUpdates.clear();
    Report.m_LeavingTargets.merge(std::exchange(News.m_LeavingTargets, {}));
    if (!Report.m_Members)
      Report.m_Members = std::exchange(News.m_Members, {});
  }
  if (!isActiveRelay())
    return;
  if (WithLoad)
    Report.m_OtherDomains = reportedDomains();
  const TimePoint Now = m_Clock.now();
  for (const auto &[Host, State] : m_PeerStates) {
    if (m_Topology.isNeighbor(Host) ||
        Now - State.m_TopicsAt >= SummaryLifetime)
      continue;
    for (const auto &[Topic, Progress] : State.m_Topics) {
      TopicProgress Aged = Progress;
      Aged.m_Age += std::chrono::ceil<Milliseconds>(Now - State.m_TopicsAt);
      TopicProgress &Best =
          Report.m_RelayedTopics.emplace(Topic, Aged).first->second;
      if (Aged.m_LastChangeEnd > Best.m_LastChangeEnd ||
          (Aged.m_LastChangeEnd == Best.m_LastChangeEnd &&
           Aged.m_Age < Best.m_Age))
        Best = Aged;
    }
  }
}

void LoadGossip::addRelayedRecords(HostReport &Report) {
  std::vector<TopicRecords> &Waiting = m_Relayed.m_TopicRecords;
  size_t Bytes = 0;
  auto End = Waiting.begin();
  for (; End != Waiting.end(); ++End) {
    Bytes += newsBytes(*End);
    if (End != Waiting.begin() && Bytes > MaxRelayedBytes)
      break;
    Report.m_TopicRecords.push_back(std::move(*End));
  }
  Waiting.erase(Waiting.begin(), End);
  m_HasRelayed = !Waiting.empty();
}

void LoadGossip::receive(const std::string &Message) {
  auto Decoded = decodeHostReport(Message);
  if (!Decoded)
    return;
  const auto Unlisted = m_Unlisted.find(Decoded.value().m_Host);
  if (Unlisted != m_Unlisted.end())
    Unlisted->second.m_HeardAt = m_Clock.now();
  if (!m_Topology.isKnown(Decoded.value().m_Host))
    return;
  HostReport &Report = Decoded.value();
  PeerState &Last = m_PeerStates[Report.m_Host];
  std::optional<Duration> Transit;
  if (Report.m_Stamp)
    Transit = m_Transit.noteReceived(Report.m_Host, *Report.m_Stamp);
  noteDelay(Report.m_Host, Transit);
  // Delayed and duplicate reports are not newer than the last one.
  if (Report.m_Sequence <= Last.m_Sequence)
    return;
  Last.m_Sequence = Report.m_Sequence;
  addTransit(Report.m_Topics, Transit);
  addTransit(Report.m_RelayedTopics, Transit);
  // Parts of a long report have none.
  if (!Report.m_Topics.empty()) {
    Last.m_Topics = Report.m_Topics;
    Last.m_TopicsAt = m_Clock.now();
  }
  const bool IsNeighbor = m_Topology.isNeighbor(Report.m_Host);
  if (m_Topology.isRelay()) {
    if (IsNeighbor)
      addKeyCounts(m_DomainKeyCounts, Report);
    else
      relay(Report);
  }
  m_Sink(Report);
  if (!Report.m_OmitsLoad)
    storeLoad(Last, std::move(Report));
  if (m_HasRelayed)
    tick();
}

void LoadGossip::storeLoad(PeerState &Last, HostReport Report) {
  if (Report.m_OtherDomains.m_Hosts > 0) {
    Last.m_OtherDomains = std::move(Report.m_OtherDomains);
    Last.m_OtherDomainsAt = m_Clock.now();
  }
  Last.m_Report = std::move(Report);
  Last.m_ReceivedAt = m_Clock.now();
}

void LoadGossip::relay(const HostReport &Report) {
  if (Report.m_OwnerUpdates.empty() && Report.m_TopicRecords.empty() &&
      Report.m_LeavingTargets.empty() && !Report.m_Members)
    return;
  m_HasRelayed = true;
  m_Relayed.m_OwnerUpdates.insert(m_Relayed.m_OwnerUpdates.end(),
                                  Report.m_OwnerUpdates.begin(),
                                  Report.m_OwnerUpdates.end());
  if (newsBytes(m_Relayed.m_TopicRecords) + newsBytes(Report.m_TopicRecords) <=
      MaxWaitingBytes)
    m_Relayed.m_TopicRecords.insert(m_Relayed.m_TopicRecords.end(),
                                    Report.m_TopicRecords.begin(),
                                    Report.m_TopicRecords.end());
  else
    ++m_DroppedMessages;
  m_Relayed.m_LeavingTargets.insert(Report.m_LeavingTargets.begin(),
                                    Report.m_LeavingTargets.end());
  if (Report.m_Members)
    m_Relayed.m_Members = Report.m_Members;
}

bool LoadGossip::isRecent(const PeerState &State, Duration Lifetime) const {
  return m_Clock.now() - State.m_ReceivedAt < Lifetime;
}

bool LoadGossip::isActiveRelay() const {
  if (!m_Topology.isRelay())
    return false;
  const std::string &First = m_Topology.ownRelays().front();
  const auto Found = m_PeerStates.find(First);
  return First == m_Host || Found == m_PeerStates.end() ||
         !isRecent(Found->second, ReportLifetime);
}

std::set<std::string> LoadGossip::distantListeners() const {
  std::set<std::string> Result = m_Topology.otherRelays();
  for (const std::string &Each : m_LeaseHolders)
    if (m_Topology.isKnown(Each) && !m_Topology.isNeighbor(Each))
      Result.insert(Each);
  return Result;
}

LoadSummary LoadGossip::reportedDomains() const {
  std::map<std::string, const PeerState *> Newest;
  for (const auto &[Host, State] : m_PeerStates) {
    if (m_Topology.isNeighbor(Host) || !isRecent(State, CustomerDemandLifetime))
      continue;
    const PeerState *&Best = Newest[m_Topology.domainOf(Host)];
    if (!Best || State.m_ReceivedAt > Best->m_ReceivedAt)
      Best = &State;
  }
  LoadSummary Result;
  for (const auto &[Domain, State] : Newest) {
    addCustomerDemand(Result.m_CustomerDemand, *State);
    if (!isRecent(*State, SummaryLifetime))
      continue;
    Result.m_Hosts += State->m_Report.m_SummedHosts;
    addCounts(Result.m_InFlight, State->m_Report.m_InFlight);
    addCounts(Result.m_Waiting, State->m_Report.m_Waiting);
  }
  for (auto It = Result.m_InFlight.begin(); It != Result.m_InFlight.end();)
    It = It->second < MinReportedInFlight ? Result.m_InFlight.erase(It)
                                          : std::next(It);
  return Result;
}

LoadSummary LoadGossip::otherDomains() const {
  if (m_Topology.isMesh())
    return {};
  LoadSummary Best = reportedDomains();
  const TimePoint Now = m_Clock.now();
  for (const auto &[Host, State] : m_PeerStates)
    if (Now - State.m_OtherDomainsAt < SummaryLifetime &&
        State.m_OtherDomains.m_Hosts > Best.m_Hosts)
      Best = State.m_OtherDomains;
  if (Best.m_Hosts == 0 && Best.m_CustomerDemand.empty())
    Best.m_CustomerDemand = lastDistantDemand();
  return Best;
}

std::map<std::string, int> LoadGossip::lastDistantDemand() const {
  const PeerState *Newest = nullptr;
  for (const auto &[Host, State] : m_PeerStates)
    if (m_Clock.now() - State.m_OtherDomainsAt < CustomerDemandLifetime &&
        (!Newest || State.m_OtherDomainsAt > Newest->m_OtherDomainsAt))
      Newest = &State;
  return Newest ? Newest->m_OtherDomains.m_CustomerDemand
                : std::map<std::string, int>();
}

void LoadGossip::addFormerDemand(std::map<std::string, int> &Sum) const {
  for (const auto &[ReportedAt, Demand] : m_FormerDemand)
    if (m_Clock.now() - ReportedAt < CustomerDemandLifetime)
      addCounts(Sum, Demand);
}

void LoadGossip::addCustomerDemand(std::map<std::string, int> &Sum,
                                   const PeerState &State) const {
  if (isRecent(State, CustomerDemandLifetime))
    addCounts(Sum, State.m_Report.m_CustomerDemand);
}

size_t LoadGossip::reportingHosts() const {
  return 1 + reportingNeighbors() + otherDomains().m_Hosts;
}

size_t LoadGossip::reportingNeighbors() const {
  return static_cast<size_t>(std::count_if(
      m_PeerStates.begin(), m_PeerStates.end(), [this](const auto &Each) {
        return m_Topology.isNeighbor(Each.first) &&
               isRecent(Each.second, ReportLifetime);
      }));
}

PeerLoad LoadGossip::peerLoad() const {
  PeerLoad Result;
  addFormerDemand(Result.m_CustomerDemand);
  for (const auto &[Host, State] : m_PeerStates) {
    if (!m_Topology.isNeighbor(Host))
      continue;
    addCustomerDemand(Result.m_CustomerDemand, State);
    if (!isRecent(State, ReportLifetime))
      continue;
    addCounts(Result.m_InFlight, State.m_Report.m_InFlight);
    addCounts(Result.m_Waiting, State.m_Report.m_Waiting);
  }
  const LoadSummary Distant = otherDomains();
  addCounts(Result.m_InFlight, Distant.m_InFlight);
  addCounts(Result.m_Waiting, Distant.m_Waiting);
  addCounts(Result.m_CustomerDemand, Distant.m_CustomerDemand);
  if (m_Topology.peerCount() > 0)
    Result.m_Coverage = std::min(
        1.0, static_cast<double>(reportingNeighbors() + Distant.m_Hosts) /
                 static_cast<double>(m_Topology.peerCount()));
  return Result;
}

} // namespace monsoon
