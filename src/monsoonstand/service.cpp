#include "monsoonstand/service.h"

#include "codec/logstreams.h"
#include "engine/entryhost.h"
#include "http/httpgrants.h"
#include "http/httphostlist.h"
#include "http/httplog.h"
#include "http/httpserver.h"
#include "http/targetclient.h"
#include "monsoonstand/adminhandler.h"
#include "monsoonstand/relayhandler.h"
#include "program/exitcode.h"
#include "program/steadyclock.h"
#include "rpc/peerclient.h"
#include "rpc/peerserver.h"
#include "telemetry/jsonlog.h"
#include "telemetry/requestmetrics.h"

#include "absl/strings/str_cat.h"

#include <random>

namespace monsoon {

namespace {

constexpr int AdminWorkers = 4;
constexpr int AdminConnections = 64;
/// Interval at which a drain checks whether it is complete.
constexpr Milliseconds DrainPollInterval{10};

CallerLimits adminLimits() {
  CallerLimits Limits;
  Limits.m_Workers = AdminWorkers;
  Limits.m_Connections = AdminConnections;
  return Limits;
}

/// A unique id of this process, so that a restarted host is not mistaken for
/// its predecessor.
HostId newHostId(const std::string &Name) {
  std::random_device Source;
  return absl::StrCat(Name, "#", absl::Hex(Source(), absl::kZeroPad8));
}

} // namespace

struct Service::Components {
  explicit Components(const Settings &Config)
      : m_Metrics(m_Time), m_Log(Config.m_Log), m_Config(m_Log),
        m_Ownership(m_Log), m_HostList(Config.m_HostList),
        m_Peers(Config.m_Peers),
        m_Host(Config, newHostId(Config.m_Host),
               {m_Config, m_Ownership, m_HostList, m_Grants, m_Targets, m_Peers,
                m_Metrics, m_Time}),
        m_Relay(Config.m_Host, m_Host.requests(), Config.m_Limits.m_Workers),
        m_Admin(m_Host, m_Metrics), m_PeerServer(Config.m_Peer, m_Host),
        m_Callers(
            Config.m_Callers, Config.m_Limits,
            [this](const httplib::Request &Request,
                   httplib::Response &Response) {
              m_Relay.handle(Request, Response);
            },
            [this](const httplib::Request &Request, httplib::Response &Response,
                   const SocketStream &Stream) {
              m_Relay.reject(Request, Response, Stream);
            }),
        m_AdminServer(
            Config.m_Admin, adminLimits(),
            [this](const httplib::Request &Request,
                   httplib::Response &Response) {
              m_Admin.handle(Request, Response);
            },
            [](const httplib::Request & /*Request*/,
               httplib::Response & /*Response*/,
               const SocketStream & /*Stream*/) {}) {}

  SteadyClock m_Time;
  RequestMetrics m_Metrics;
  HttpLog m_Log;
  LogConfigStream m_Config;
  LogOwnershipStreams m_Ownership;
  HttpHostList m_HostList;
  HttpGrants m_Grants;
  TargetClient m_Targets;
  PeerClient m_Peers;
  EntryHost m_Host;
  RelayHandler m_Relay;
  AdminHandler m_Admin;
  PeerServer m_PeerServer;
  HttpServer m_Callers;
  HttpServer m_AdminServer;
};

Service::Service(const Settings &Config, const StopSignal &Signal)
    : m_Settings(Config), m_Signal(Signal) {}

Service::~Service() = default;

int Service::run() {
  m_Components = std::make_unique<Components>(m_Settings);
  if (!start())
    return ExitFailed;
  LogLine(LogLevel::Info, "started")
      .field("failure_domain", m_Settings.m_FailureDomain)
      .field("port", int64_t(m_Settings.m_Callers.m_Port))
      .write();
  m_Signal.wait();
  return stop();
}

bool Service::start() {
  const auto Bind = [](auto &Server, const char *Field,
                       const Endpoint &Address) {
    if (Server.start())
      return true;
    LogLine(LogLevel::Error, "bind_failed")
        .field("field", Field)
        .field("address", absl::StrCat(Address.m_Host, ":", Address.m_Port))
        .write();
    return false;
  };
  return Bind(m_Components->m_AdminServer, "admin", m_Settings.m_Admin) &&
         Bind(m_Components->m_PeerServer, "peer", m_Settings.m_Peer) &&
         Bind(m_Components->m_Callers, "callers", m_Settings.m_Callers);
}

bool Service::drain(TimePoint GraceEnd, TimePoint Limit) {
  bool IsAccepting = true;
  while (true) {
    const TimePoint Now = std::chrono::steady_clock::now();
    if (IsAccepting && Now >= GraceEnd) {
      m_Components->m_Callers.beginStop();
      IsAccepting = false;
    }
    const bool IsHandedOver = m_Components->m_Host.handOver();
    if (!IsAccepting && IsHandedOver &&
        m_Components->m_Callers.activeRequests() == 0)
      return true;
    if (Now >= Limit || m_Signal.waitFor(DrainPollInterval))
      return false;
  }
}

int Service::stop() {
  LogLine(LogLevel::Info, "stopping").write();
  const TimePoint Now = std::chrono::steady_clock::now();
  m_Components->m_Host.beginStop();
  m_Components->m_Callers.beginDrain();
  const bool IsDrained =
      drain(Now + m_Settings.m_StopGrace, Now + m_Settings.m_StopLimit);
  int RequestsCut = 0;
  if (!IsDrained) {
    // Requests that wait for a worker are refused with a response which says
    // that they were not run.
    m_Components->m_Host.requests().refuseAll();
    m_Components->m_Callers.beginStop();
    RequestsCut = m_Components->m_Callers.cutRequests();
  }
  m_Components->m_Callers.finishStop();
  LogLine(RequestsCut == 0 ? LogLevel::Info : LogLevel::Error, "stopped")
      .field("requests_cut", int64_t(RequestsCut))
      .write();
  return RequestsCut == 0 ? ExitOk : ExitRequestsAborted;
}

} // namespace monsoon
