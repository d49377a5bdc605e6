#include "monsoonstand/gateway.h"

#include "core/keyspace.h"
#include "entry/dispatcher.h"
#include "entry/ownershipmanager.h"
#include "membership/configcurrency.h"
#include "membership/configrevision.h"
#include "membership/evacuateddomains.h"
#include "membership/hostidentity.h"
#include "membership/loadgossip.h"
#include "membership/targetfollower.h"
#include "monsoonstand/hostmetrics.h"
#include "monsoonstand/statushandler.h"
#include "net/acceptor.h"
#include "net/address.h"
#include "net/datagramchannel.h"
#include "platform/grantclient.h"
#include "platform/platformdialect.h"
#include "platform/publishedtables.h"
#include "platform/storeclient.h"
#include "platform/targetentry.h"
#include "program/boottimeclock.h"
#include "program/exitcode.h"
#include "telemetry/eventlog.h"
#include "telemetry/requestmetrics.h"

#include "absl/strings/str_cat.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <random>
#include <utility>

namespace monsoon {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Gossip uses at most this fraction of the host's link, so that reads of the
/// log and requests have the rest.
constexpr double GossipLinkFraction = 0.25;
constexpr double BytesPerMegabit = 1e6 / 8;
/// One host in this number may leave the balancer's rotation while it is full.
constexpr size_t LeavingHostsDivisor = 3;
/// Interval of the tick that runs all periodic work; resolution of its timing.
constexpr Milliseconds TickInterval{50};
/// Lateness of a tick from which on it is logged.
constexpr Milliseconds LoggedLateness{250};
/// Interval at which the delay of messages of peers is checked, and the delay
/// from which on it is logged.
constexpr Milliseconds DelayCheckInterval{1000};
constexpr Milliseconds LoggedGossipDelay{1000};
/// The same when reports reach most hosts through relays, which adds up to two
/// report intervals.
constexpr Milliseconds RelayedStandbyReadDelay{1300};
/// How long a change that a peer has read is awaited by gossip before it is
/// read from the log.
constexpr Milliseconds RecordGossipWait{250};
/// Bytes of unfinished long responses of targets that are held at a time. The
/// smallest hosts have 260 MB.
constexpr size_t MaxUnfinishedResponseBytes = 96 << 20;
/// Time between two updates of the targets' load from the reports of peers.
constexpr Milliseconds PeerLoadInterval{100};
/// How long a read of the operators' topic waits for new records. When a
/// connection stops responding, a config is delayed by at most this and the
/// call's timeout.
constexpr Milliseconds ConfigReadWait{500};
/// Pause between reads of the membership topic, which are not waiting reads
/// since its entries change at every heartbeat.
constexpr Milliseconds MembershipReadPause{400};
/// The same for hosts other than the designated reader, when there are so many
/// that reading what gossip did not deliver is costly. With the other delays it
/// stays below the time within which a leaving target must be known.
constexpr Milliseconds RelayedMembershipReadPause{1000};
/// A host that is not the designated reader of a topic reads it itself when
/// peers have not reported their progress on it for this long. This is longer
/// than the designated reader's pause or wait plus the interval of its reports,
/// and half of the time within which a config or a leaving target must be
/// known.
constexpr Milliseconds StandbyReadDelay{1000};
/// Interval at which the peers and reader ranks are refreshed and the service
/// times of keyed pools are passed to the assigners of keys.
constexpr Milliseconds RefreshInterval{500};
/// Time from the stop signal until new requests are refused and connections are
/// closed after the requests that were read. The balancer needs two failed
/// readiness checks, one second apart, to direct callers elsewhere. Requests
/// forwarded before have the rest of the stop limit to finish.
constexpr Milliseconds RefuseDelay{2800};
/// The process exits this long before the stop limit, at which the platform
/// kills it.
constexpr Milliseconds StopMargin{300};
/// No connections are accepted this long before that. Callers who go on
/// connecting would otherwise keep the host from ever being without a
/// connection, and the last ones would be cut at the limit.
constexpr Milliseconds LastConnectionsTime{1000};

/// A new id for this process.
std::string newHostId(const GatewaySettings &Config) {
  std::random_device Source;
  return encodeHostIdentity(
      {processName(Config.m_Host,
                   std::chrono::duration_cast<std::chrono::seconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count(),
                   Source()),
       Config.m_LinkMbps, Config.m_FailureDomain,
       endpointText(Config.m_Peers)});
}

/// The link, failure domain and address in a host's id.
std::optional<GossipPeer> parsePeer(const std::string &Text) {
  const auto Id = decodeHostIdentity(Text);
  if (!Id)
    return std::nullopt;
  const auto Address = parseEndpoint(Id->m_PeerAddress);
  if (!Address)
    return std::nullopt;
  return GossipPeer{*Address, Id->m_FailureDomain, Id->m_LinkMbps};
}

std::string millisecondsText(Duration Value) {
  return absl::StrCat(std::chrono::duration_cast<Milliseconds>(Value).count());
}

AssignerTimes assignerTimes(const GatewaySettings &Config) {
  AssignerTimes Times;
  Times.m_LongestHold = Config.m_LongestHold;
  return Times;
}

SharedLimits sharedLimits(const GatewaySettings &Config) {
  SharedLimits Limits;
  Limits.m_Retries.m_Ratio = Config.m_RetryRatio;
  Limits.m_Retries.m_Slack = Config.m_RetrySlack;
  Limits.m_Retries.m_Window = Config.m_RetryWindow;
  return Limits;
}

} // namespace

struct Gateway::Components : public TargetFollower::Listener {
  explicit Components(const GatewaySettings &Config)
      : m_Settings(Config), m_Metrics(m_Time),
        m_Store(m_Loop, m_Time, Config.m_Log, Config.m_LogPartitions),
        m_Grants(m_Loop, m_Time),
        m_Targets(
            m_Time,
            [this](const Endpoint &Address) { return makeLinks(Address); },
            m_Events),
        m_Currency(Config.m_ConfigApplyLimit), m_HostId(newHostId(Config)),
        m_Hosts(m_HostId, m_Store, m_Time, m_Events),
        m_Ownership(m_HostId, assignerTimes(Config),
                    {m_Time, m_Store, m_Grants, m_Hosts, m_Events}, m_Targets),
        m_Dispatcher(
            m_Loop, m_Dialect,
            {m_Time, m_Targets, m_Hosts, m_Hosts, m_Metrics, Config.m_Host,
             Config.m_FailureDomain, sharedLimits(Config), &m_Allowances,
             &m_HostLoad, &m_Currency},
            [this](const std::string &Pool) { return m_Ownership.find(Pool); }),
        m_PeerChannel(m_Loop, m_Time),
        m_LoadGossip(
            m_HostId, m_PeerChannel, m_Time,
            [this](bool OmitLoad) { return makeReport(OmitLoad); },
            [this](const HostReport &Report) { applyPeerReport(Report); }),
        m_OperatorTopic({OperatorTopic, ConfigReadWait, Milliseconds(0),
                         StandbyReadDelay, RecordGossipWait},
                        m_Store, m_Time, m_Events,
                        [this](const KeyedPage &Page, bool IsComplete) {
                          applyOperatorRecords(Page, IsComplete);
                          return reportChange(m_OperatorTopic,
                                              !Page.m_Records.empty());
                        }),
        m_Membership({TargetTopic, Milliseconds(0), MembershipReadPause,
                      StandbyReadDelay, RecordGossipWait},
                     m_Store, m_Time, m_Events, decodeTargetEntry, *this),
        m_MembershipTopic(m_Membership.topic()), m_ReadinessHandler([this]() {
          return StatusHandler::Status{isReady() ? 200 : 503, ""};
        }),
        m_MetricsHandler([this]() {
          return StatusHandler::Status{
              200,
              absl::StrCat(m_Metrics.render(), renderHostFigures(figures()))};
        }),
        m_Callers(m_Loop, m_Time, m_Dispatcher),
        m_ReadinessServer(m_Loop, m_Time, m_ReadinessHandler),
        m_MetricsServer(m_Loop, m_Time, m_MetricsHandler), m_Tick(m_Loop),
        m_Signals(m_Loop, SIGTERM, SIGINT, SIGHUP) {
    m_Store.onNewEpoch([this](uint64_t Epoch) {
      m_Events.event(Severity::Warning, "store_epoch",
                     {{"epoch", absl::StrCat(Epoch)}});
      m_Ownership.setHostNames(m_Hosts.names());
      m_Ownership.noteLogEpoch(Epoch);
      m_OperatorTopic.requestFullRead();
      m_MembershipTopic.requestFullRead();
    });
    m_LoadGossip.setByteRate(Config.m_LinkMbps * BytesPerMegabit *
                             GossipLinkFraction);
    m_Grants.onAnswer([this](const TargetInfo &From, const HttpResponse &Answer,
                             TimePoint SentAt) {
      m_Targets.noteAnswer(From, m_Dialect.readAnswer(Answer), SentAt);
    });
    m_Targets.onLeaving([this]() {
      m_Ownership.refreshTargets(m_Membership.targets());
      m_LoadGossip.requestBriefReport();
    });
    m_Ownership.onChange([this]() {
      m_Dispatcher.dispatchWaiting();
      if (!m_Ownership.hasUnreportedChanges())
        return;
      m_LoadGossip.requestBriefReport();
      m_LoadGossip.tick();
    });
  }

  /// Requests an early report to the peers if an own read brought changes.
  /// Returns Changed.
  bool reportChange(const TopicFollower &Follower, bool Changed) {
    if (Changed && Follower.isPublishing())
      m_LoadGossip.requestBriefReport();
    return Changed;
  }

  std::unique_ptr<LinkPool> makeLinks(const Endpoint &Address) {
    HttpLink::Options Options;
    Options.m_Address = Address;
    Options.m_RequestIdField = std::string(m_Dialect.requestIdField());
    Options.m_Budget = m_ResponseBudget;
    Options.m_Traffic = m_TargetTraffic;
    return std::make_unique<LinkPool>(m_Loop, m_Time, Options);
  }

  bool isReady() const {
    return !m_IsStopping && m_Dispatcher.routes() &&
           m_Currency.view(m_Time.now()).m_Standing !=
               ConfigStanding::Outdated &&
           m_MembershipTopic.isSynced() && m_Ownership.areOwnersKnown() &&
           !(m_HostLoad.level() == HostLoadLevel::Full && m_MayLeaveRotation);
  }

  /// True if this host is one of the third of its failure domain's hosts that
  /// may ask for no new connections while they are full. With all of them gone
  /// the balancer would send the callers to every host again.
  bool mayLeaveRotation(const std::map<std::string, GossipPeer> &Hosts) const {
    const uint64_t OwnHash = stableHash(m_HostId);
    size_t InDomain = 0;
    size_t Before = 0;
    for (const auto &[Name, Each] : Hosts) {
      if (Each.m_Domain != m_Settings.m_FailureDomain)
        continue;
      ++InDomain;
      Before += stableHash(Name) < OwnHash ? 1 : 0;
    }
    return Before < InDomain / LeavingHostsDivisor;
  }

  /// Figures of this host for the metrics. Starts new maxima.
  HostFigures figures() {
    const TimePoint Now = m_Time.now();
    const GossipDelay Delay = m_LoadGossip.takeDelay();
    HostFigures Result;
    Result.m_Level = m_HostLoad.level();
    Result.m_AdmittedFraction = m_HostLoad.admittedFraction();
    Result.m_LoopLate = m_HostLoad.lateness(Now);
    Result.m_LongestLoopLate = std::max(
        std::exchange(m_LongestLateness, Duration{}), Result.m_LoopLate);
    Result.m_Config = m_Currency.view(Now);
    Result.m_NewerKnownFor = m_Currency.newerKnownFor(Now);
    Result.m_MembershipAge = Now - m_MembershipTopic.upToDateAt();
    Result.m_GossipAge =
        Delay.m_HeardAt == TimePoint{} ? Duration(-1) : Now - Delay.m_HeardAt;
    Result.m_GossipDelay = Delay.m_Last;
    Result.m_LongestGossipDelay = std::max(
        std::exchange(m_LongestGossipDelay, Duration{}), Delay.m_Longest);
    Result.m_LogCalls = m_Store.calls();
    Result.m_Traffic = {{"callers", m_Callers.sessions().traffic()},
                        {"targets", *m_TargetTraffic},
                        {"log", m_Store.traffic()},
                        {"gossip", m_PeerChannel.traffic()}};
    Result.m_GossipSent = m_LoadGossip.sentBytes();
    Result.m_GossipDropped = m_LoadGossip.droppedMessages();
    Result.m_Allowances = m_Allowances.use(Now);
    Result.m_Hosts = m_Hosts.hosts();
    Result.m_RetrySlackShare = m_Hosts.windowShare(m_Settings.m_RetryWindow);
    Result.m_Retries = m_Dispatcher.retryUse();
    return Result;
  }

  /// Applies records of the operators' topic: the config and the evacuated
  /// failure domains. IsComplete means that the page holds the whole
  /// state of the topic.
  void applyOperatorRecords(const KeyedPage &Page, bool IsComplete) {
    if (IsComplete) {
      std::set<std::string> OutDomains;
      for (const KeyedRecord &Each : Page.m_Records)
        if (const auto Domain = evacuatedDomain(Each.m_Key))
          OutDomains.insert(*Domain);
      const TimePoint Now = m_Time.now();
      if (m_OperatorTopic.isDeliveringRestored())
        m_EvacuatedDomains.noteRestored(Now);
      m_EvacuatedDomains.replaceAll(Now, std::move(OutDomains));
      m_Targets.setDomainsOut(m_EvacuatedDomains.domains());
    }
    for (const KeyedRecord &Each : Page.m_Records) {
      // Most of what a full read holds is known to peers.
      if (!IsComplete)
        m_OperatorTopic.publish(Each);
      const auto Domain = evacuatedDomain(Each.m_Key);
      if (Each.m_Key == ConfigKey && Each.m_Value)
        applyConfig(*Each.m_Value, logEpoch(Each.m_Offset));
      if (!Domain || IsComplete)
        continue;
      m_EvacuatedDomains.set(m_Time.now(), *Domain, Each.m_Value.has_value());
      m_Targets.setDomainOut(*Domain, Each.m_Value.has_value());
    }
    if (Page.m_Records.empty())
      return;
    m_Ownership.refreshTargets(m_Membership.targets());
    m_Dispatcher.dispatchWaiting();
  }

  /// Installs published tables if they are valid and newer than the current
  /// ones.
  void applyConfig(const std::string &Text, uint64_t Epoch) {
    const auto Decoded = decodePublishedTables(Text);
    if (!Decoded) {
      m_Events.event(Severity::Error, "config_invalid",
                     {{"detail", Decoded.error().m_Message}});
      return;
    }
    const RouteIndexPtr &Routes = Decoded.value().m_Routes;
    const CustomerTablePtr &Customers = Decoded.value().m_Customers;
    ConfigRevision Revision(Routes->version(), Text, Epoch);
    if (m_Dispatcher.routes() && !m_ConfigRevision.isReplacedBy(Revision))
      return;
    m_ConfigRevision = std::move(Revision);
    m_Events.event(
        Severity::Info, "config_adopted",
        {{"version", absl::StrCat(Routes->version())},
         {"former", absl::StrCat(m_Currency.view(m_Time.now()).m_Version)},
         {"known_ms", millisecondsText(m_Currency.newerKnownFor(m_Time.now()))},
         {"read_here", m_OperatorTopic.isPublishing() ? "yes" : "no"},
         {"bytes", absl::StrCat(Text.size())},
         {"routes", absl::StrCat(Routes->tables().routes().size())},
         {"customers",
          absl::StrCat(Customers ? Customers->customers().size() : 0)}});
    m_Currency.noteApplied(Routes->version());
    m_Ownership.setRoutes(*Routes);
    m_Hosts.setLeases(m_Ownership.pools());
    m_Dispatcher.setRoutes(Routes, Customers);
  }

  // TargetFollower::Listener
  void targetsChanged(const TargetMap &Targets, const char *Source) override {
    m_Targets.setTargets(
        Targets, {Source, m_Time.now() - m_MembershipTopic.upToDateAt()});
    m_Ownership.refreshTargets(Targets);
    m_Dispatcher.dispatchWaiting();
  }
  void newsRead() override { m_LoadGossip.requestBriefReport(); }
  bool isKnownToLeave(const TargetInfo &Info) const override {
    const TargetNodePtr Known = m_Targets.find(Info.m_Id);
    return Known && Known->info().isSameIncarnation(Info) &&
           Known->leavingSince();
  }
  bool isHeartbeatAwaited(const std::string &Id) const override {
    const TargetNodePtr Known = m_Targets.find(Id);
    return Known && Known->isWarmupUnknown();
  }

  void armTick() {
    m_Tick.expires_after(TickInterval);
    m_Tick.async_wait([this](const error_code &Error) {
      if (Error)
        return;
      tick();
      armTick();
    });
  }

  /// Logs a tick that comes much later than it was due: everything else that
  /// this loop does is late as well.
  void noteTick(TimePoint Now) {
    const Duration Late = Now - m_LastTick - TickInterval;
    if (m_LastTick != TimePoint{} && Late > LoggedLateness)
      m_Events.event(Severity::Warning, "loop_late",
                     {{"late_ms", millisecondsText(Late)}});
    if (m_LastTick != TimePoint{})
      m_LongestLateness = std::max(m_LongestLateness, Late);
    m_LastTick = Now;
    m_HostLoad.noteTick(Now, TickInterval);
    logHostLoad(Now);
  }

  /// Logs each change between a confirmed and another state of the
  /// configuration, and messages of peers that came late.
  void logCurrency(TimePoint Now) {
    if (m_OperatorTopic.isSynced())
      m_Currency.noteComplete(m_OperatorTopic.upToDateAt());
    const ConfigView View = m_Currency.view(Now);
    if (std::exchange(m_LoggedStanding, View.m_Standing) != View.m_Standing)
      m_Events.event(View.m_Standing == ConfigStanding::Confirmed
                         ? Severity::Info
                         : Severity::Warning,
                     "config_state",
                     {{"state", configStandingName(View.m_Standing)},
                      {"version", absl::StrCat(View.m_Version)},
                      {"known", absl::StrCat(View.m_KnownVersion)},
                      {"age_ms", millisecondsText(View.m_Age)},
                      {"topic", m_OperatorTopic.activity()}});
    if (Now < m_NextDelayCheck)
      return;
    m_NextDelayCheck = Now + DelayCheckInterval;
    const GossipDelay Delay = m_LoadGossip.takeDelay();
    m_LongestGossipDelay = std::max(m_LongestGossipDelay, Delay.m_Longest);
    if (Delay.m_Longest >= LoggedGossipDelay)
      m_Events.event(Severity::Warning, "gossip_late",
                     {{"delay_ms", millisecondsText(Delay.m_Longest)},
                      {"from", Delay.m_LongestFrom}});
  }

  void logHostLoad(TimePoint Now) {
    const HostLoadLevel Level = m_HostLoad.level();
    if (std::exchange(m_LoggedLoadLevel, Level) == Level)
      return;
    m_Events.event(Severity::Warning, "host_load",
                   {{"level", hostLoadLevelName(Level)},
                    {"late_ms", millisecondsText(m_HostLoad.lateness(Now))},
                    {"admitted", absl::StrCat(m_HostLoad.admittedFraction())},
                    {"ready", isReady() ? "yes" : "no"}});
  }

  void tick() {
    const TimePoint Now = m_Time.now();
    noteTick(Now);
    logCurrency(Now);
    m_Targets.setMembershipAge(Now - m_MembershipTopic.upToDateAt());
    m_Membership.update();
    // After update(), which applies the entries read so far.
    if (m_MembershipTopic.isSynced())
      m_Targets.confirmWarmup(m_MembershipTopic.upToDateAt());
    if (m_EvacuatedDomains.takeRereadDue(Now))
      m_OperatorTopic.requestFullRead();
    m_OperatorTopic.tick();
    m_MembershipTopic.tick();
    applyPeerLoad(Now);
    if (m_Settings.m_StrictRevocation)
      m_Dispatcher.setConfirmedUntil(m_OperatorTopic.upToDateAt() +
                                     m_Settings.m_RevocationTimeout);
    if (m_IsStopping) {
      continueStop(Now);
      return;
    }
    m_Hosts.tick();
    m_LoadGossip.tick();
    if (Now >= m_NextRefresh) {
      m_NextRefresh = Now + RefreshInterval;
      refreshPeersAndServiceTimes();
    }
    updateLogReachable();
    m_Ownership.tick();
    m_Dispatcher.tick();
  }

  /// Reports to the assigners when the log was last seen working: any topic
  /// that any host has read shows this.
  void updateLogReachable() {
    const auto Note = [this](const std::string & /*Topic*/,
                             const TopicFollower &Each) {
      m_Ownership.noteLogSeen(Each.upToDateAt());
    };
    Note(OperatorTopic, m_OperatorTopic);
    Note(TargetTopic, m_MembershipTopic);
    m_Ownership.forEachFollower(Note);
  }

  /// Reader rank of this host for a topic; rank 0 is the designated reader.
  /// Hashing topic and host spreads the topics over the hosts.
  size_t readerRank(const std::string &Topic) const {
    const auto Hash = [&Topic](const std::string &Host) {
      return stableHash(absl::StrCat(Topic, "/", Host));
    };
    size_t Rank = 0;
    for (const std::string &Name : m_Hosts.names())
      if (Hash(Name) < Hash(m_HostId))
        ++Rank;
    return Rank;
  }

  void assignReaderRanks() {
    const Milliseconds Standby =
        m_LoadGossip.isMesh() ? StandbyReadDelay : RelayedStandbyReadDelay;
    bool IsDesignatedReader = false;
    const auto Assign = [&](const std::string &Topic, TopicFollower &Each) {
      const size_t Rank = readerRank(Topic);
      IsDesignatedReader = IsDesignatedReader || Rank == 0;
      Each.setReaderRank(Rank);
      Each.setStandbyStaleness(Standby);
    };
    Assign(OperatorTopic, m_OperatorTopic);
    Assign(TargetTopic, m_MembershipTopic);
    m_Ownership.forEachFollower(Assign);
    // While it is uncertain which targets of a domain are warm, their next
    // heartbeats matter, so this host reads the topic itself.
    if (m_Targets.expectsHeartbeats())
      m_MembershipTopic.setReaderRank(0);
    m_MembershipTopic.setPause(m_LoadGossip.isMesh() ||
                                       m_MembershipTopic.readerRank() == 0
                                   ? MembershipReadPause
                                   : RelayedMembershipReadPause);
    m_LoadGossip.setAnnouncing(IsDesignatedReader ||
                               m_Ownership.leaseHolders().count(m_HostId) > 0);
  }

  /// Refreshes the peers, the reader ranks and the number of hosts, and passes
  /// the service times measured by requests to the assigners of keyed pools.
  void refreshPeersAndServiceTimes() {
    std::map<std::string, GossipPeer> Peers;
    for (const std::string &Name : m_Hosts.names())
      if (const auto Peer = parsePeer(Name))
        Peers.emplace(Name, *Peer);
    m_MayLeaveRotation = mayLeaveRotation(Peers);
    m_LoadGossip.setPeers(std::move(Peers));
    m_LoadGossip.setLeaseHolders(m_Ownership.leaseHolders());
    assignReaderRanks();
    m_Ownership.setHosts(m_Hosts.hosts());
    m_Ownership.setHostNames(m_Hosts.names());
    if (!m_Dispatcher.routes())
      return;
    for (const Pool &Each : m_Dispatcher.routes()->tables().pools())
      if (const PoolDispatcher *Found = m_Dispatcher.findPool(Each.name()))
        m_Ownership.updateServiceTime(
            Each.name(), Found->typicalServiceTime(),
            static_cast<double>(m_Hosts.hosts()) /
                static_cast<double>(m_LoadGossip.reportingHosts()));
  }

  /// Builds the report for peers. OmitLoad leaves out this host's load.
  HostReport makeReport(bool OmitLoad) {
    HostReport Report;
    if (!OmitLoad) {
      Report.m_InFlight = m_Targets.inFlight();
      Report.m_Waiting = m_Dispatcher.waitingByOwner();
      Report.m_CustomerDemand = m_Allowances.demandToReport(m_Time.now());
      m_Ownership.addKeyCounts(Report);
    }
    m_Ownership.addOwnerChanges(Report);
    Report.m_Members = m_Hosts.takeMembers();
    Report.m_ConfigVersion = m_Currency.knownVersion();
    Report.m_LeavingTargets = m_Targets.leavingToReport();
    Report.m_LeavingTargets.merge(m_Membership.takeLeaves());
    for (TopicFollower *Each : {&m_OperatorTopic, &m_MembershipTopic})
      for (TopicRecords &Records : Each->takePublished())
        Report.m_TopicRecords.push_back(std::move(Records));
    if (m_Membership.hasUntoldLeaves())
      m_LoadGossip.requestBriefReport();
    const auto Add = [&Report](const std::string &Topic,
                               const TopicFollower &Each) {
      if (Each.isSynced())
        Report.m_Topics.emplace(Topic, Each.progress());
    };
    Add(OperatorTopic, m_OperatorTopic);
    Add(TargetTopic, m_MembershipTopic);
    m_Ownership.forEachFollower(Add);
    return Report;
  }

  /// Applies a report of a peer.
  void applyPeerReport(const HostReport &Report) {
    m_Ownership.applyReport(Report);
    if (Report.m_Members)
      m_Hosts.applyPeerMembers(*Report.m_Members);
    bool HasLeaves = false;
    for (const auto &[Id, Incarnation] : Report.m_LeavingTargets)
      HasLeaves =
          m_Targets.noteLeaving(Id, Incarnation, Report.m_Host) || HasLeaves;
    if (HasLeaves)
      m_Ownership.refreshTargets(m_Membership.targets());
    // Before the progress, by which the changes would count as missing.
    for (const TopicRecords &Each : Report.m_TopicRecords) {
      if (Each.m_Topic == OperatorTopic)
        m_OperatorTopic.applyPublished(Each);
      else if (Each.m_Topic == TargetTopic)
        m_MembershipTopic.applyPublished(Each);
    }
    m_Currency.noteHeard(m_Time.now(), Report.m_ConfigVersion);
    const auto Note = [&Report](const std::string &Topic, TopicFollower &Each) {
      for (const auto *Progress : {&Report.m_Topics, &Report.m_RelayedTopics}) {
        const auto Found = Progress->find(Topic);
        if (Found != Progress->end())
          Each.applyPeerProgress(Found->second);
      }
    };
    Note(OperatorTopic, m_OperatorTopic);
    Note(TargetTopic, m_MembershipTopic);
    m_Ownership.forEachFollower(Note);
    m_HasNewPeerLoad = m_HasNewPeerLoad || !Report.m_OmitsLoad;
  }

  /// The fraction of the peers that report, without processes that have ended.
  double livingCoverage(double Coverage) const {
    const size_t Living = m_Hosts.livingShare().hosts();
    if (Living <= 1)
      return Coverage;
    return std::min(1.0, Coverage * static_cast<double>(m_Hosts.hosts() - 1) /
                             static_cast<double>(Living - 1));
  }

  /// Passes the load of the peers to the targets. Done at intervals, since many
  /// reports arrive between two ticks.
  void applyPeerLoad(TimePoint Now) {
    // Shares of allowances also end when no report arrives any more.
    const bool HasNews = m_HasNewPeerLoad || m_Allowances.isInUse();
    if (!HasNews || Now < m_NextPeerLoad)
      return;
    m_NextPeerLoad = Now + PeerLoadInterval;
    const PeerLoad Load = m_LoadGossip.peerLoad();
    if (m_Hosts.knowsMembers())
      m_Allowances.setHosts(Now, m_Hosts.livingShare());
    m_Allowances.setPeerDemand(Now, Load.m_CustomerDemand,
                               livingCoverage(Load.m_Coverage));
    if (!std::exchange(m_HasNewPeerLoad, false))
      return;
    m_Targets.updatePeerLoad(Load.m_InFlight, Load.m_Waiting, Load.m_Coverage);
  }

  void waitForSignal() {
    m_Signals.async_wait([this](const error_code &Error, int Signal) {
      if (Error)
        return;
      if (Signal == SIGHUP)
        m_Events.event(Severity::Info, "reload_asked", {});
      else
        beginStop();
      waitForSignal();
    });
  }

  /// Starts the stop at the first signal; later ones have no effect. Sessions
  /// close once their requests are answered, and the host gives back its
  /// duties.
  void beginStop() {
    if (std::exchange(m_IsStopping, true))
      return;
    m_StopStart = m_LastStopTick = m_Time.now();
    m_Events.event(Severity::Info, "stopping", {});
    m_Callers.sessions().drainAll(false);
    m_Hosts.leave();
  }

  /// Refuses new requests after RefuseDelay, new connections shortly before the
  /// time limit, and ends the loop when no connection is left or the limit is
  /// reached.
  void continueStop(TimePoint Now) {
    m_Dispatcher.tick();
    m_Ownership.tick();
    const Duration Elapsed = Now - m_StopStart;
    m_LongestStopTick = std::max(m_LongestStopTick, Now - m_LastStopTick);
    m_LastStopTick = Now;
    if (Elapsed < RefuseDelay)
      return;
    m_Dispatcher.refuseNewRequests();
    const Duration Limit = m_Settings.m_StopLimit - StopMargin;
    if (Elapsed >= Limit - LastConnectionsTime)
      m_Callers.close();
    const bool IsAtLimit = Elapsed >= Limit;
    if (!m_Callers.closeWhenIdle() && !IsAtLimit)
      return;
    m_SessionsCut = m_Callers.sessions().busyCount();
    m_Callers.sessions().abortAll();
    // Handlers that are queued run before the loop ends, so that reads which
    // had completed are counted.
    asio::post(m_Loop, [this]() { m_Loop.stop(); });
  }

  const GatewaySettings &m_Settings;
  const std::shared_ptr<ByteBudget> m_ResponseBudget =
      std::make_shared<ByteBudget>(MaxUnfinishedResponseBytes);
  const std::shared_ptr<TrafficCount> m_TargetTraffic =
      std::make_shared<TrafficCount>();
  asio::io_context m_Loop{1};
  BootTimeClock m_Time;
  EventLog m_Events;
  RequestMetrics m_Metrics;
  PlatformDialect m_Dialect;
  StoreClient m_Store;
  GrantClient m_Grants;
  EvacuatedDomains m_EvacuatedDomains;
  ConfigRevision m_ConfigRevision;
  TargetRegistry m_Targets;
  ConfigCurrency m_Currency;
  const std::string m_HostId;
  HostMembership m_Hosts;
  OwnershipManager m_Ownership;
  AllowanceGate m_Allowances;
  HostLoad m_HostLoad;
  HostLoadLevel m_LoggedLoadLevel = HostLoadLevel::Normal;
  bool m_MayLeaveRotation = false;
  Dispatcher m_Dispatcher;
  DatagramChannel m_PeerChannel;
  LoadGossip m_LoadGossip;
  TopicFollower m_OperatorTopic;
  TargetFollower m_Membership;
  TopicFollower &m_MembershipTopic;
  StatusHandler m_ReadinessHandler;
  StatusHandler m_MetricsHandler;
  Acceptor m_Callers;
  Acceptor m_ReadinessServer;
  Acceptor m_MetricsServer;
  asio::steady_timer m_Tick;
  asio::signal_set m_Signals;
  bool m_IsStopping = false;
  bool m_HasNewPeerLoad = false;
  ConfigStanding m_LoggedStanding = ConfigStanding::Missing;
  Duration m_LongestLateness{};
  Duration m_LongestGossipDelay{};
  TimePoint m_NextDelayCheck{};
  TimePoint m_LastTick{};
  TimePoint m_StopStart{};
  TimePoint m_LastStopTick{};
  Duration m_LongestStopTick{};
  TimePoint m_NextRefresh{};
  TimePoint m_NextPeerLoad{};
  size_t m_SessionsCut = 0;
};

Gateway::Gateway(GatewaySettings Config) : m_Settings(std::move(Config)) {}

Gateway::~Gateway() = default;

int Gateway::run() {
  std::signal(SIGPIPE, SIG_IGN);
  m_Components = std::make_unique<Components>(m_Settings);
  for (const auto &[Server, Address] :
       {std::pair{&m_Components->m_ReadinessServer, m_Settings.m_Readiness},
        std::pair{&m_Components->m_MetricsServer, m_Settings.m_Metrics},
        std::pair{&m_Components->m_Callers, m_Settings.m_Callers}}) {
    const auto Listening = Server->listen(Address);
    if (Listening)
      continue;
    m_Components->m_Events.event(Severity::Error, "bind_failed",
                                 {{"detail", Listening.error().m_Message}});
    return ExitFailed;
  }
  const auto Receiving = m_Components->m_PeerChannel.listen(m_Settings.m_Peers);
  if (!Receiving) {
    m_Components->m_Events.event(Severity::Error, "bind_failed",
                                 {{"detail", Receiving.error().m_Message}});
    return ExitFailed;
  }
  m_Components->m_Events.event(Severity::Info, "started",
                               {{"domain", m_Settings.m_FailureDomain}});
  m_Components->waitForSignal();
  m_Components->tick();
  m_Components->armTick();
  m_Components->m_Loop.run();
  m_Components->m_Events.event(
      m_Components->m_SessionsCut == 0 ? Severity::Info : Severity::Error,
      "stopped",
      {{"requests_cut", absl::StrCat(m_Components->m_SessionsCut)},
       {"reads_discarded",
        absl::StrCat(m_Components->m_Callers.sessions().discardedReads())},
       {"longest_tick_ms", millisecondsText(m_Components->m_LongestStopTick)}});
  return m_Components->m_SessionsCut == 0 ? ExitOk : ExitRequestsAborted;
}

} // namespace monsoon
