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
constexpr Milliseconds DrainStep{10};

CallerLimits adminLimits() {
  CallerLimits Limits;
  Limits.m_Workers = AdminWorkers;
  Limits.m_Connections = AdminConnections;
  return Limits;
}

/// The id of this process: a restarted host must not be taken for the former
/// one.
HostId newHostId(const std::string &Name) {
  std::random_device Source;
  return absl::StrCat(Name, "#", absl::Hex(Source(), absl::kZeroPad8));
}

} // namespace

struct Service::Parts {
  explicit Parts(const Settings &Config)
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
  m_Parts = std::make_unique<Parts>(m_Settings);
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
  return Bind(m_Parts->m_AdminServer, "admin", m_Settings.m_Admin) &&
         Bind(m_Parts->m_PeerServer, "peer", m_Settings.m_Peer) &&
         Bind(m_Parts->m_Callers, "callers", m_Settings.m_Callers);
}

bool Service::drain(TimePoint GraceEnd, TimePoint Limit) {
  bool Accepting = true;
  while (true) {
    const TimePoint Now = std::chrono::steady_clock::now();
    if (Accepting && Now >= GraceEnd) {
      m_Parts->m_Callers.beginStop();
      Accepting = false;
    }
    const bool HandedOver = m_Parts->m_Host.handOver();
    if (!Accepting && HandedOver && m_Parts->m_Callers.activeRequests() == 0)
      return true;
    if (Now >= Limit || m_Signal.waitFor(DrainStep))
      return false;
  }
}

int Service::stop() {
  LogLine(LogLevel::Info, "stopping").write();
  const TimePoint Now = std::chrono::steady_clock::now();
  m_Parts->m_Host.beginStop();
  m_Parts->m_Callers.beginDrain();
  const bool Clean =
      drain(Now + m_Settings.m_StopGrace, Now + m_Settings.m_StopLimit);
  int Cut = 0;
  if (!Clean) {
    // What waits for a worker is told that it did not run.
    m_Parts->m_Host.requests().refuseAll();
    m_Parts->m_Callers.beginStop();
    Cut = m_Parts->m_Callers.cutRequests();
  }
  m_Parts->m_Callers.finishStop();
  LogLine(Cut == 0 ? LogLevel::Info : LogLevel::Error, "stopped")
      .field("requests_cut", int64_t(Cut))
      .write();
  return Cut == 0 ? ExitOk : ExitCut;
}

} // namespace monsoon
