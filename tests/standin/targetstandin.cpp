#include "standin/targetstandin.h"

#include "codec/messagecodec.h"
#include "http/serverconnection.h"
#include "standin/standinhttp.h"

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <sys/socket.h>

#include <random>
#include <thread>

namespace monsoon {

namespace {

using Clock = std::chrono::steady_clock;

std::string newInstanceId() {
  std::random_device Source;
  return absl::StrCat(absl::Hex(Source(), absl::kZeroPad8));
}

uint64_t headerNumber(const httplib::Request &Request, const char *Name) {
  return std::strtoull(Request.get_header_value(Name).c_str(), nullptr, 10);
}

/// The earlier of the deadlines given by X-Deadline-Ms (remaining time) and
/// X-Not-After (reading of this server's clock); in one hour if there is none.
Clock::time_point deadlineOf(const httplib::Request &Request) {
  auto Result = Clock::now() + std::chrono::hours(1);
  if (Request.has_header("X-Deadline-Ms"))
    Result = Clock::now() +
             std::chrono::milliseconds(headerNumber(Request, "X-Deadline-Ms"));
  if (Request.has_header("X-Not-After"))
    Result = std::min(Result, Clock::time_point(std::chrono::milliseconds(
                                  headerNumber(Request, "X-Not-After"))));
  return Result;
}

std::string steadyClockMs() {
  return absl::StrCat(std::chrono::duration_cast<std::chrono::milliseconds>(
                          Clock::now().time_since_epoch())
                          .count());
}

} // namespace

TargetStandIn::TargetStandIn(Target Self, const TargetBehaviour &Behaviour)
    : m_Self(std::move(Self)), m_Behaviour(Behaviour),
      m_Instance(newInstanceId()),
      m_Grants(m_Instance, Behaviour.m_ChecksFences), m_Slots(m_Self.m_Slots),
      m_IsCold(Behaviour.m_WarmAfter > 0),
      m_ExecutionsUntilWarm(Behaviour.m_WarmAfter),
      m_ServiceMicros(Behaviour.m_ServiceMicros) {}

void TargetStandIn::handle(const httplib::Request &Request,
                           httplib::Response &Response) {
  if (Request.path == "/control") {
    control(Request, Response);
    return;
  }
  if (Request.path == "/stats") {
    stats(Request, Response);
    return;
  }
  waitWhileFrozen();
  Response.set_header("X-Clock", steadyClockMs());
  if (Request.path == "/health")
    health(Response);
  else if (Request.path == "/grants")
    grants(Request, Response);
  else if (Request.path == "/cancel")
    cancel(Request, Response);
  else
    serveRequest(Request, Response);
}

void TargetStandIn::waitWhileFrozen() const {
  while (Clock::now().time_since_epoch().count() < m_FrozenUntil)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void TargetStandIn::control(const httplib::Request &Request,
                            httplib::Response &Response) {
  const Json::Value Body = parseJsonBody(Request);
  const absl::MutexLock Lock(&m_Mutex);
  if (Body.isMember("freeze_ms"))
    m_FrozenUntil =
        (Clock::now() + std::chrono::milliseconds(Body["freeze_ms"].asInt64()))
            .time_since_epoch()
            .count();
  if (Body.isMember("cold")) {
    m_IsCold = Body["cold"].asBool();
    m_ExecutionsUntilWarm = std::max(1, m_Behaviour.m_WarmAfter);
  }
  m_ShedsLoad = Body.get("shed", m_ShedsLoad).asBool();
  m_IsDraining = Body.get("drain", m_IsDraining).asBool();
  m_DelayMs = Body.get("delay_ms", m_DelayMs).asInt();
  m_ServiceMicros = Body.get("service_us", m_ServiceMicros).asInt();
  m_AnswerMode = Body.get("answer", m_AnswerMode).asString();
  m_HealthLagMs = Body.get("lag_ms", m_HealthLagMs).asInt();
  setJsonBody(Response, Json::objectValue);
}

void TargetStandIn::health(httplib::Response &Response) {
  Json::Value Answer;
  const absl::MutexLock Lock(&m_Mutex);
  const auto Now = Clock::now();
  if (m_ReportedState.empty() ||
      Now - m_ReportedAt >= std::chrono::milliseconds(m_HealthLagMs)) {
    m_ReportedState = m_IsDraining ? "draining" : m_IsCold ? "cold" : "warm";
    m_ReportedAt = Now;
  }
  Answer["state"] = m_ReportedState;
  Answer["instance"] = m_Instance;
  Answer["load"] = m_Running;
  setJsonBody(Response, Answer);
}

void TargetStandIn::stats(const httplib::Request &Request,
                          httplib::Response &Response) {
  Json::Value Answer;
  const absl::MutexLock Lock(&m_Mutex);
  Answer["name"] = m_Self.m_Name;
  Answer["executed"] = Json::UInt64(m_Executed);
  Answer["refused"] = Json::UInt64(m_Refused);
  Answer["cold_overruns"] = Json::UInt64(m_ColdOverruns);
  Answer["ranges"] = Json::UInt64(m_Grants.ranges().size());
  if (Request.has_param("ids"))
    for (const auto &[Id, Count] : m_Executions)
      Answer["executions"][Id] = Count;
  setJsonBody(Response, Answer);
}

void TargetStandIn::grants(const httplib::Request &Request,
                           httplib::Response &Response) {
  const auto Order = decodeGrantOrder(parseJsonBody(Request));
  if (!Order) {
    Response.status = 400;
    return;
  }
  const absl::MutexLock Lock(&m_Mutex);
  setJsonBody(Response,
              encodeMessage(m_Grants.apply(Order.value(), Clock::now())));
}

void TargetStandIn::cancel(const httplib::Request &Request,
                           httplib::Response &Response) {
  const absl::MutexLock Lock(&m_Mutex);
  m_Cancelled.insert(Request.get_param_value("id"));
  setJsonBody(Response, Json::objectValue);
}

/// Reason why a request is refused without being executed; empty if accepted.
std::string TargetStandIn::refusalReason(const httplib::Request &Request,
                                         TimePoint Deadline) {
  const absl::MutexLock Lock(&m_Mutex);
  if (Clock::now() >= Deadline)
    return "late";
  if (m_IsDraining)
    return "draining";
  if (m_ShedsLoad)
    return "shed";
  if (m_IsCold && m_Running >= m_Behaviour.m_ColdCapacity) {
    ++m_ColdOverruns;
    return "cold";
  }
  const auto Range = static_cast<RangeId>(headerNumber(Request, "X-Range"));
  if (m_Behaviour.m_OwnsKeys &&
      !m_Grants.mayServe(Range, headerNumber(Request, "X-Fence"), Clock::now()))
    return "not-owner";
  return {};
}

bool TargetStandIn::acquireSlot(TimePoint Deadline) {
  const absl::MutexLock Lock(&m_Mutex);
  const bool Acquired = m_Mutex.AwaitWithDeadline(
      absl::Condition(
          +[](TargetStandIn *Self) {
            Self->m_Mutex.AssertHeld();
            return Self->m_Running < Self->m_Slots;
          },
          this),
      absl::Now() + absl::FromChrono(Deadline - Clock::now()));
  if (Acquired)
    ++m_Running;
  return Acquired;
}

bool TargetStandIn::tryCommit(const httplib::Request &Request,
                              TimePoint Deadline) {
  const absl::MutexLock Lock(&m_Mutex);
  --m_Running;
  const std::string Id = Request.get_header_value("X-Correlation-Id");
  const auto Range = static_cast<RangeId>(headerNumber(Request, "X-Range"));
  if (m_Behaviour.m_OwnsKeys &&
      !m_Grants.mayCommit(Range, headerNumber(Request, "X-Fence"),
                          Clock::now()))
    return false;
  if (m_Cancelled.count(Id) != 0 || Clock::now() >= Deadline)
    return false;
  ++m_Executed;
  ++m_Executions[Request.get_header_value("X-Request-Id")];
  if (m_IsCold && --m_ExecutionsUntilWarm <= 0)
    m_IsCold = false;
  return true;
}

/// Executes a request. Returns the reason why it did not take effect; empty if
/// it did.
std::string TargetStandIn::execute(const httplib::Request &Request,
                                   TimePoint Deadline) {
  if (!acquireSlot(Deadline))
    return "late";
  int DelayMs = 0;
  int ServiceMicros = 0;
  {
    const absl::MutexLock Lock(&m_Mutex);
    DelayMs = m_DelayMs;
    ServiceMicros = m_ServiceMicros;
  }
  if (ServiceMicros > 0 || DelayMs > 0)
    std::this_thread::sleep_for(std::chrono::microseconds(ServiceMicros) +
                                std::chrono::milliseconds(DelayMs));
  waitWhileFrozen();
  return tryCommit(Request, Deadline) ? std::string() : "not-committed";
}

void TargetStandIn::serveRequest(const httplib::Request &Request,
                                 httplib::Response &Response) {
  const auto Deadline = deadlineOf(Request);
  Response.set_header("X-Instance", m_Instance);
  Response.set_header("X-Correlation-Id",
                      Request.get_header_value("X-Correlation-Id"));
  std::string Reason = refusalReason(Request, Deadline);
  if (Reason.empty()) {
    const auto Range = static_cast<RangeId>(headerNumber(Request, "X-Range"));
    {
      const absl::MutexLock Lock(&m_Mutex);
      m_Grants.beginRequest(Range);
    }
    Reason = execute(Request, Deadline);
    const absl::MutexLock Lock(&m_Mutex);
    m_Grants.endRequest(Range);
  }
  if (Reason.empty()) {
    sendAnswer(Request, Response);
    return;
  }
  const absl::MutexLock Lock(&m_Mutex);
  ++m_Refused;
  Response.status = 503;
  Response.set_header("X-Not-Run", Reason);
}

void TargetStandIn::sendAnswer(const httplib::Request &Request,
                               httplib::Response &Response) {
  std::string Mode;
  {
    const absl::MutexLock Lock(&m_Mutex);
    Mode = m_AnswerMode;
  }
  if (Mode == "none") {
    ::shutdown(ServerConnection::current()->socket(), SHUT_RDWR);
    return;
  }
  if (Mode == "crossed") {
    Response.headers.erase("X-Correlation-Id");
    Response.set_header("X-Correlation-Id", "another-request");
  }
  const std::string Id = Request.get_header_value("X-Request-Id");
  const size_t Size =
      std::strtoull(Request.get_param_value("size").c_str(), nullptr, 10);
  if (Size == 0) {
    Json::Value Body;
    Body["served_by"] = m_Self.m_Name;
    Body["request_id"] = Id;
    setJsonBody(Response, Body);
    return;
  }
  const size_t BytesToSend = Mode == "cut" ? Size / 2 : Size;
  Response.set_content_provider(
      Size, "text/plain",
      [BytesToSend](size_t Offset, size_t Length, httplib::DataSink &Sink) {
        if (Offset >= BytesToSend)
          return false;
        const size_t ChunkSize =
            std::min<size_t>({Length, BytesToSend - Offset, size_t{65536}});
        return Sink.write(std::string(ChunkSize, 'x').data(), ChunkSize);
      });
}

} // namespace monsoon
