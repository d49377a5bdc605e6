#include "engine/requestpath.h"

#include "core/measure.h"
#include "engine/requestrun.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace monsoon {

namespace {

constexpr size_t MaxTenantLength = 64; // characters

std::string tenantOf(const Route &Matched, const CallerRequest &Request) {
  if (Matched.tenantHeader().empty())
    return {};
  const std::string *Value =
      findHeader(Request.m_Headers, Matched.tenantHeader());
  return Value ? Value->substr(0, MaxTenantLength) : std::string();
}

/// The shorter of the caller's limit (X-Deadline-Ms) and that of the route.
Duration deadlineOf(const Route &Matched, const CallerRequest &Request) {
  const std::string *Value = findHeader(Request.m_Headers, "X-Deadline-Ms");
  if (!Value)
    return Matched.deadline();
  const auto Wanted = parseDuration(*Value, Milliseconds(1));
  return std::min(Matched.deadline(), Wanted.value_or(Matched.deadline()));
}

/// Counts a request against the admission limits while it is in flight.
class AdmissionSlot {
public:
  AdmissionSlot(Admission &AdmissionControl, TrafficClass Class,
                std::string Tenant)
      : m_Admission(AdmissionControl), m_Tenant(std::move(Tenant)),
        m_IsAdmitted(m_Admission.enter(Class, m_Tenant)) {}
  ~AdmissionSlot() {
    if (m_IsAdmitted)
      m_Admission.leave(m_Tenant);
  }
  AdmissionSlot(const AdmissionSlot &) = delete;
  AdmissionSlot &operator=(const AdmissionSlot &) = delete;

  bool isAdmitted() const { return m_IsAdmitted; }

private:
  Admission &m_Admission;
  const std::string m_Tenant;
  const bool m_IsAdmitted;
};

} // namespace

Answer errorAnswer(ErrorKind Kind, std::string Detail) {
  Answer Result;
  Result.m_Status = errorRule(Kind).m_Status;
  Result.m_Error = Kind;
  Result.m_Detail = std::move(Detail);
  return Result;
}

RequestPath::RequestPath(std::string HostName, Router &Routes,
                         Admission &AdmissionControl, TargetService &Targets,
                         WaitingClock &Time, MetricsSink &Metrics)
    : m_HostName(std::move(HostName)), m_Routes(Routes),
      m_Admission(AdmissionControl), m_Targets(Targets), m_Time(Time),
      m_Metrics(Metrics) {}

std::string RequestPath::nextCorrelationId() {
  return absl::StrCat(m_HostName, "-", ++m_Counter);
}

bool RequestPath::isStreamed(const std::string &Method,
                             const std::string &Path) const {
  const auto Table = m_Routes.current();
  if (!Table->m_Tables)
    return false;
  const Route *Matched = Table->m_Tables->match(Method, Path);
  return Matched && Matched->isStreamed();
}

Answer RequestPath::handle(const CallerRequest &Request, AnswerSink *Sink) {
  RequestReport Report;
  Report.m_RequestId = Request.m_RequestId;
  Answer Result = serve(Request, Sink, Report);
  Report.m_Status = Result.m_Status;
  Report.m_Error = Result.m_Error;
  Report.m_Elapsed = m_Time.now() - Request.m_ReceivedAt;
  m_Metrics.requestDone(Report);
  return Result;
}

Answer RequestPath::serve(const CallerRequest &Request, AnswerSink *Sink,
                          RequestReport &Report) {
  if (m_Refusing)
    return errorAnswer(ErrorKind::Stopping, "the entry host is stopping");
  const auto Table = m_Routes.current();
  if (!Table->m_Tables)
    return errorAnswer(ErrorKind::NoConfiguration,
                       "no configuration has been loaded yet");
  const Route *Matched =
      Table->m_Tables->match(Request.m_Method, Request.m_Path);
  if (!Matched)
    return errorAnswer(
        ErrorKind::RouteUnknown,
        absl::StrCat("no route for ", Request.m_Method, " ", Request.m_Path));
  Report.m_Route = Matched->name();
  Report.m_Pool = Matched->pool();
  Report.m_Class = Matched->trafficClass();
  Report.m_Tenant = tenantOf(*Matched, Request);
  const AdmissionSlot Slot(m_Admission, Report.m_Class, Report.m_Tenant);
  if (!Slot.isAdmitted())
    return errorAnswer(
        ErrorKind::Overloaded,
        absl::StrCat("class \"", std::string(trafficClassName(Report.m_Class)),
                     "\" is at its limit on this entry host"));
  const TimePoint Deadline =
      Request.m_ReceivedAt + deadlineOf(*Matched, Request);
  RequestRun Run(*this, m_Targets, m_Time, *Table, *Matched, Request, Deadline,
                 Sink);
  Answer Result = Run.run();
  Report.m_Target = Run.lastTarget();
  Report.m_Attempts = Run.attempts();
  return Result;
}

} // namespace monsoon
