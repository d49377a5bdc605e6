#include "monsoonstand/gateway.h"

#include "core/keyspace.h"
#include "entry/dispatcher.h"
#include "entry/keeperset.h"
#include "membership/targetdirectory.h"
#include "membership/workexchange.h"
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

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <random>
#include <utility>

namespace monsoon {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr char PeerMark = '@';
/// Grain of everything that is due at some time.
constexpr Milliseconds TickInterval{50};
/// How long a read of the operators' topic waits. A connection that went silent
/// delays a config by this and the call's timeout at most.
constexpr Milliseconds ConfigWait{500};
/// Pause between reads of the membership, whose entries change at every
/// heartbeat.
constexpr Milliseconds MembershipPause{400};
/// A host that does not lead reads a topic when the others have not told for
/// this long how far it goes: more than the leading host's pause or wait and
/// the interval of its reports, and half of the time in which a config or a
/// leaving target must be known.
constexpr Milliseconds StandbyAge{1000};
/// How often the keepers of keys are told how fast targets are.
constexpr Milliseconds RatingInterval{500};
/// From the stop signal until connections are closed behind what was read and
/// new requests are refused: the balancer needs two failed readiness checks, a
/// second apart, to turn callers away. What is passed on before has the rest of
/// the time to end.
constexpr Milliseconds IdleCloseDelay{2800};
/// The process ends this long before the platform would kill it.
constexpr Milliseconds StopMargin{300};

/// The id of this process: a restarted host must not be taken for the former
/// one. It also tells the other hosts where it receives.
std::string newHostId(const GatewaySettings &Config) {
  std::random_device Source;
  return absl::StrCat(Config.m_Host, "#", absl::Hex(Source(), absl::kZeroPad8),
                      std::string(1, PeerMark), endpointText(Config.m_Peers));
}

/// Where the host of that id receives.
std::optional<Endpoint> peerAddress(const std::string &HostId) {
  const size_t Mark = HostId.rfind(PeerMark);
  if (Mark == std::string::npos)
    return std::nullopt;
  return parseEndpoint(HostId.substr(Mark + 1));
}

KeeperTimes keeperTimes(const GatewaySettings &Config) {
  KeeperTimes Times;
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

struct Gateway::Parts {
  explicit Parts(const GatewaySettings &Config)
      : m_Settings(Config), m_Metrics(m_Time),
        m_Store(m_Loop, m_Time, Config.m_Log), m_Grants(m_Loop, m_Time),
        m_Targets(
            m_Time,
            [this](const Endpoint &Address) { return makeLinks(Address); },
            m_Events),
        m_HostId(newHostId(Config)),
        m_Hosts(m_HostId, m_Store, m_Time, m_Events),
        m_Keepers(m_HostId, keeperTimes(Config),
                  {m_Time, m_Store, m_Grants, m_Hosts, m_Events}, m_Targets),
        m_Dispatcher(
            m_Loop, m_Dialect,
            {m_Time, m_Targets, m_Hosts, m_Metrics, Config.m_Host,
             Config.m_FailureDomain, sharedLimits(Config)},
            [this](const std::string &Pool) { return m_Keepers.find(Pool); }),
        m_PeerChannel(m_Loop),
        m_Work(
            m_HostId, m_PeerChannel, m_Time,
            [this](bool Brief) { return ownReport(Brief); },
            [this](const HostReport &Report) { noteReport(Report); }),
        m_Operators({OperatorTopic, ConfigWait, Milliseconds(0), StandbyAge,
                     Milliseconds(0)},
                    m_Store, m_Time,
                    [this](const KeyedPage &Page, bool Whole) {
                      noteOperators(Page, Whole);
                      return tellChange(!Page.m_Records.empty());
                    }),
        m_Members({TargetTopic, Milliseconds(0), MembershipPause, StandbyAge,
                   Milliseconds(0)},
                  m_Store, m_Time,
                  [this](const KeyedPage &Page, bool Whole) {
                    return tellChange(noteMembers(Page, Whole));
                  }),
        m_ReadyHandler([this]() {
          return StatusHandler::Status{isReady() ? 200 : 503, ""};
        }),
        m_MetricsHandler([this]() {
          return StatusHandler::Status{200, m_Metrics.render()};
        }),
        m_Callers(m_Loop, m_Time, m_Dispatcher),
        m_Readiness(m_Loop, m_Time, m_ReadyHandler),
        m_MetricsServer(m_Loop, m_Time, m_MetricsHandler), m_Tick(m_Loop),
        m_Signals(m_Loop, SIGTERM, SIGINT, SIGHUP) {
    m_Keepers.onChange([this]() {
      m_Dispatcher.offerWaiting();
      if (!m_Keepers.hasNews())
        return;
      m_Work.hurry();
      m_Work.tick();
    });
  }

  /// The others learn of what was read with the next report.
  bool tellChange(bool Changed) {
    if (Changed)
      m_Work.hurry();
    return Changed;
  }

  std::unique_ptr<LinkPool> makeLinks(const Endpoint &Address) {
    HttpLink::Options Options;
    Options.m_Address = Address;
    Options.m_EchoField = std::string(m_Dialect.requestIdField());
    return std::make_unique<LinkPool>(m_Loop, m_Time, Options);
  }

  bool isReady() const {
    return !m_Stopping && m_Dispatcher.routes() && m_Members.isSynced() &&
           m_Keepers.areOwnersKnown();
  }

  void noteOperators(const KeyedPage &Page, bool Whole) {
    if (Whole) {
      std::set<std::string> Out;
      for (const KeyedRecord &Each : Page.m_Records)
        if (const auto Domain = domainOutOfKey(Each.m_Key))
          Out.insert(*Domain);
      m_Targets.setDomainsOut(Out);
    }
    for (const KeyedRecord &Each : Page.m_Records) {
      if (Each.m_Key == ConfigKey && Each.m_Value)
        noteConfig(*Each.m_Value);
      else if (const auto Domain = domainOutOfKey(Each.m_Key))
        m_Targets.setDomainOut(*Domain, Each.m_Value.has_value());
    }
    if (Page.m_Records.empty())
      return;
    m_Keepers.targetsChanged(m_Directory.targets());
    m_Dispatcher.offerWaiting();
  }

  void noteConfig(const std::string &Text) {
    auto Routes = decodePublishedTables(Text);
    if (!Routes) {
      m_Events.event(Severity::Error, "config_invalid",
                     {{"detail", Routes.error().m_Message}});
      return;
    }
    const RouteIndexPtr &Current = m_Dispatcher.routes();
    if (Current && Routes.value()->version() <= Current->version())
      return;
    m_Events.event(
        Severity::Info, "config_adopted",
        {{"version", absl::StrCat(Routes.value()->version())},
         {"routes", absl::StrCat(Routes.value()->tables().routes().size())}});
    m_Keepers.setRoutes(*Routes.value());
    m_Dispatcher.setRoutes(Routes.value());
  }

  /// True when other hosts have to know as well.
  bool noteMembers(const KeyedPage &Page, bool Whole) {
    const TimePoint Now = m_Time.now();
    m_Directory.noteContact(Now);
    bool Changed = Whole;
    std::set<std::string> Present;
    for (const KeyedRecord &Each : Page.m_Records) {
      Present.insert(Each.m_Key);
      if (!Each.m_Value) {
        m_Directory.noteRemoved(Now, Each.m_Key);
        Changed = true;
        continue;
      }
      const auto Entry = decodeTargetEntry(Each.m_Key, *Each.m_Value);
      if (Entry)
        Changed = m_Directory.noteEntry(Now, Entry.value()) || Changed;
      else
        m_Events.event(Severity::Debug, "entry_unreadable",
                       {{"detail", Entry.error().m_Message}});
    }
    if (Whole) {
      const TargetMap Known = m_Directory.targets();
      for (const auto &[Id, Info] : Known)
        if (Present.count(Id) == 0)
          m_Directory.noteRemoved(Now, Id);
    }
    updateTargets(Now);
    return Changed;
  }

  void updateTargets(TimePoint Now) {
    if (!m_Directory.update(Now))
      return;
    m_Targets.setTargets(m_Directory.targets());
    m_Keepers.targetsChanged(m_Directory.targets());
    m_Dispatcher.offerWaiting();
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

  void tick() {
    const TimePoint Now = m_Time.now();
    if (m_Members.isSynced())
      m_Directory.noteContact(m_Members.coveredAt());
    updateTargets(Now);
    m_Operators.tick();
    m_Members.tick();
    noteOthers();
    if (m_Stopping) {
      continueStop(Now);
      return;
    }
    m_Hosts.tick();
    m_Work.tick();
    if (Now >= m_NextRating) {
      m_NextRating = Now + RatingInterval;
      rateTargets();
    }
    noteLogSeen();
    m_Keepers.tick();
    m_Dispatcher.tick();
  }

  /// What any host has read of any topic shows that the log is up.
  void noteLogSeen() {
    const auto Note = [this](const std::string & /*Topic*/,
                             const TopicFollower &Each) {
      m_Keepers.noteLogSeen(Each.coveredAt());
    };
    Note(OperatorTopic, m_Operators);
    Note(TargetTopic, m_Members);
    m_Keepers.forEachFollower(Note);
  }

  /// Place of this host in the order in which hosts read a topic.
  size_t rankFor(const std::string &Topic) const {
    const auto Order = [&Topic](const std::string &Host) {
      return stableHash(absl::StrCat(Topic, "/", Host));
    };
    size_t Rank = 0;
    for (const std::string &Name : m_Hosts.names())
      if (Order(Name) < Order(m_HostId))
        ++Rank;
    return Rank;
  }

  void rankReaders() {
    m_Operators.setRank(rankFor(OperatorTopic));
    // The next beat of each doubted target matters, so this host reads all.
    m_Members.setRank(m_Targets.isWarmthDoubted() ? 0 : rankFor(TargetTopic));
    m_Keepers.forEachFollower(
        [this](const std::string &Topic, TopicFollower &Each) {
          Each.setRank(rankFor(Topic));
        });
  }

  /// Passes on what requests have taught about the targets of keyed pools.
  void rateTargets() {
    std::map<std::string, Endpoint> Peers;
    for (const std::string &Name : m_Hosts.names())
      if (const auto Address = peerAddress(Name))
        Peers.emplace(Name, *Address);
    m_Work.setPeers(std::move(Peers));
    rankReaders();
    m_Keepers.setHosts(m_Hosts.hosts());
    if (!m_Dispatcher.routes())
      return;
    for (const Pool &Each : m_Dispatcher.routes()->tables().pools())
      if (const PoolDispatcher *Found = m_Dispatcher.findPool(Each.name()))
        m_Keepers.setUsualTime(
            Each.name(), Found->usualTime(),
            static_cast<double>(m_Hosts.hosts()) /
                static_cast<double>(m_Work.reportingHosts()));
  }

  HostReport ownReport(bool Brief) {
    HostReport Report;
    if (!Brief) {
      Report.m_InFlight = m_Targets.inFlight();
      Report.m_Waiting = m_Dispatcher.waiting();
      m_Keepers.fillCounts(Report);
    }
    m_Keepers.fillNews(Report);
    const auto Add = [&Report](const std::string &Topic,
                               const TopicFollower &Each) {
      if (Each.isSynced())
        Report.m_Topics.emplace(Topic, Each.progress());
    };
    Add(OperatorTopic, m_Operators);
    Add(TargetTopic, m_Members);
    m_Keepers.forEachFollower(Add);
    return Report;
  }

  void noteReport(const HostReport &Report) {
    m_Keepers.noteReport(Report);
    const auto Note = [&Report](const std::string &Topic, TopicFollower &Each) {
      const auto Found = Report.m_Topics.find(Topic);
      if (Found != Report.m_Topics.end())
        Each.notePeer(Found->second);
    };
    Note(OperatorTopic, m_Operators);
    Note(TargetTopic, m_Members);
    m_Keepers.forEachFollower(Note);
    m_OthersReported = m_OthersReported || !Report.m_Brief;
  }

  /// Many reports come between two ticks and are added up once.
  void noteOthers() {
    if (!std::exchange(m_OthersReported, false))
      return;
    const WorkElsewhere Others = m_Work.elsewhere();
    m_Targets.noteOthers(Others.m_InFlight, Others.m_Waiting,
                         Others.m_Coverage);
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

  void beginStop() {
    if (std::exchange(m_Stopping, true))
      return;
    m_StopBegan = m_Time.now();
    m_Events.event(Severity::Info, "stopping", {});
    m_Callers.sessions().drainAll(false);
    m_Hosts.leave();
  }

  void continueStop(TimePoint Now) {
    m_Dispatcher.tick();
    m_Keepers.tick();
    const Duration Passed = Now - m_StopBegan;
    if (Passed < IdleCloseDelay)
      return;
    m_Dispatcher.refuseNew();
    m_Callers.sessions().drainAll(true);
    const bool Done = m_Callers.sessions().busyCount() == 0;
    if (!Done && Passed < m_Settings.m_StopLimit - StopMargin)
      return;
    m_Cut = m_Callers.sessions().busyCount();
    m_Callers.close();
    m_Callers.sessions().abortAll();
    m_Loop.stop();
  }

  const GatewaySettings &m_Settings;
  asio::io_context m_Loop{1};
  BootTimeClock m_Time;
  EventLog m_Events;
  RequestMetrics m_Metrics;
  PlatformDialect m_Dialect;
  StoreClient m_Store;
  GrantClient m_Grants;
  TargetDirectory m_Directory;
  TargetRegistry m_Targets;
  const std::string m_HostId;
  HostMembership m_Hosts;
  KeeperSet m_Keepers;
  Dispatcher m_Dispatcher;
  DatagramChannel m_PeerChannel;
  WorkExchange m_Work;
  TopicFollower m_Operators;
  TopicFollower m_Members;
  StatusHandler m_ReadyHandler;
  StatusHandler m_MetricsHandler;
  Acceptor m_Callers;
  Acceptor m_Readiness;
  Acceptor m_MetricsServer;
  asio::steady_timer m_Tick;
  asio::signal_set m_Signals;
  bool m_Stopping = false;
  bool m_OthersReported = false;
  TimePoint m_StopBegan{};
  TimePoint m_NextRating{};
  size_t m_Cut = 0;
};

Gateway::Gateway(GatewaySettings Config) : m_Settings(std::move(Config)) {}

Gateway::~Gateway() = default;

int Gateway::run() {
  std::signal(SIGPIPE, SIG_IGN);
  m_Parts = std::make_unique<Parts>(m_Settings);
  for (const auto &[Server, Address] :
       {std::pair{&m_Parts->m_Readiness, m_Settings.m_Readiness},
        std::pair{&m_Parts->m_MetricsServer, m_Settings.m_Metrics},
        std::pair{&m_Parts->m_Callers, m_Settings.m_Callers}}) {
    const auto Listening = Server->listen(Address);
    if (Listening)
      continue;
    m_Parts->m_Events.event(Severity::Error, "bind_failed",
                            {{"detail", Listening.error().m_Message}});
    return ExitFailed;
  }
  const auto Receiving = m_Parts->m_PeerChannel.listen(m_Settings.m_Peers);
  if (!Receiving) {
    m_Parts->m_Events.event(Severity::Error, "bind_failed",
                            {{"detail", Receiving.error().m_Message}});
    return ExitFailed;
  }
  m_Parts->m_Events.event(Severity::Info, "started",
                          {{"domain", m_Settings.m_FailureDomain}});
  m_Parts->waitForSignal();
  m_Parts->tick();
  m_Parts->armTick();
  m_Parts->m_Loop.run();
  m_Parts->m_Events.event(
      m_Parts->m_Cut == 0 ? Severity::Info : Severity::Error, "stopped",
      {{"requests_cut", absl::StrCat(m_Parts->m_Cut)}});
  return m_Parts->m_Cut == 0 ? ExitOk : ExitCut;
}

} // namespace monsoon
