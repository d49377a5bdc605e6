#include "telemetry/requestmetrics.h"

#include "telemetry/jsonlog.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include <functional>
#include <thread>

namespace monsoon {

namespace {

/// Limit of log lines about requests: an overloaded host has some hundred
/// failed requests a second.
constexpr double LinesPerSecond = 100;
constexpr double LineBurst = 500;
/// Logarithmic buckets between the two bounds.
constexpr unsigned BucketCount = 30;
constexpr double MinBucketMs = 0.1;
constexpr double MaxBucketMs = 100'000;

double toMilliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

std::string escapeLabel(const std::string &Label) {
  return absl::StrReplaceAll(Label,
                             {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
}

} // namespace

RequestMetrics::Histogram RequestMetrics::newHistogram() {
  return boost::histogram::make_histogram(
      Axis(BucketCount, MinBucketMs, MaxBucketMs));
}

RequestMetrics::RequestMetrics(const Clock &Time)
    : m_Clock(Time), m_Budget(LinesPerSecond, LineBurst) {}

void RequestMetrics::logRequest(const RequestReport &Report) {
  const bool IsRoutine =
      !Report.m_Error && Report.m_Status / 100 == 2 && Report.m_Attempts <= 1 &&
      Report.m_Config.m_Standing == ConfigStanding::Confirmed &&
      !Report.m_Leaving;
  const LogLevel Level = IsRoutine ? LogLevel::Debug : LogLevel::Info;
  if (!isLogged(Level))
    return;
  uint64_t Suppressed = 0;
  {
    const absl::MutexLock Lock(&m_BudgetMutex);
    if (!m_Budget.take(m_Clock.now()))
      return;
    Suppressed = m_Budget.takeSuppressed();
  }
  LogLine Line(Level, "request");
  if (Suppressed > 0)
    Line.field("left_out", int64_t(Suppressed));
  Line.field("request_id", Report.m_RequestId)
      .field("route", Report.m_Route)
      .field("pool", Report.m_Pool)
      .field("target", Report.m_Target)
      .field("status", int64_t(Report.m_Status))
      .field("attempts", int64_t(Report.m_Attempts))
      .field("reason", Report.m_Reason)
      .field("config_version", Report.m_ConfigVersion)
      .field("config_state", configStandingName(Report.m_Config.m_Standing))
      .field("config_known", Report.m_Config.m_KnownVersion)
      .field("config_age_ms", toMilliseconds(Report.m_Config.m_Age))
      .field("waited_ms", toMilliseconds(Report.m_Waited))
      .field("connect_ms", toMilliseconds(Report.m_Connecting))
      .field("elapsed_ms", toMilliseconds(Report.m_Elapsed));
  if (Report.m_Leaving)
    Line.field("leave_source", Report.m_Leaving->m_Source)
        .field("leave_known_ms", toMilliseconds(Report.m_Leaving->m_KnownFor))
        .field("membership_age_ms",
               toMilliseconds(Report.m_Leaving->m_MembershipAge));
  if (!Report.m_RetryReasons.empty())
    Line.field("sent_again", Report.m_RetryReasons);
  if (Report.m_WasRetryDenied)
    Line.field("retry_denied", std::string("yes"));
  if (Report.m_Error)
    Line.field("error_kind", std::string(errorName(*Report.m_Error)));
  Line.write();
}

void RequestMetrics::requestDone(const RequestReport &Report) {
  logRequest(Report);
  const size_t Index = std::hash<std::thread::id>()(std::this_thread::get_id());
  Shard &Chosen = m_Shards[Index % ShardCount];
  const std::string Outcome = Report.m_Error
                                  ? std::string(errorName(*Report.m_Error))
                                  : absl::StrCat(Report.m_Status / 100, "xx");
  const absl::MutexLock Lock(&Chosen.m_Mutex);
  std::string Tenant = Report.m_Tenant;
  if (Chosen.m_Tenants.size() < MaxTenants)
    Chosen.m_Tenants.emplace(Tenant, 0);
  else if (Chosen.m_Tenants.count(Tenant) == 0)
    Tenant = "other";
  const SeriesKey Label(Report.m_Route,
                        std::string(trafficClassName(Report.m_Class)), Tenant,
                        Outcome);
  auto It = Chosen.m_Series.find(Label);
  if (It == Chosen.m_Series.end())
    It = Chosen.m_Series.emplace(Label, Series{newHistogram(), 0}).first;
  const double Elapsed = toMilliseconds(Report.m_Elapsed);
  It->second.m_Histogram(Elapsed);
  It->second.m_SumSeconds += Elapsed / 1000;
}

std::map<RequestMetrics::SeriesKey, RequestMetrics::Series>
RequestMetrics::merged() const {
  std::map<SeriesKey, Series> Result;
  for (const Shard &Each : m_Shards) {
    const absl::MutexLock Lock(&Each.m_Mutex);
    for (const auto &[Label, Part] : Each.m_Series) {
      auto It = Result.find(Label);
      if (It == Result.end())
        It = Result.emplace(Label, Series{newHistogram(), 0}).first;
      It->second.m_Histogram += Part.m_Histogram;
      It->second.m_SumSeconds += Part.m_SumSeconds;
    }
  }
  return Result;
}

std::string RequestMetrics::render() const {
  std::string Text = "# HELP monsoon_request_seconds Time from the receipt of "
                     "a request to its answer.\n"
                     "# TYPE monsoon_request_seconds histogram\n";
  for (const auto &[Label, Each] : merged()) {
    const auto &[Route, Class, Tenant, Outcome] = Label;
    const std::string Labels = absl::StrCat(
        "route=\"", escapeLabel(Route), "\",class=\"", Class, "\",tenant=\"",
        escapeLabel(Tenant), "\",outcome=\"", Outcome, "\"");
    double Sum = Each.m_Histogram.at(-1);
    const auto &Edges = Each.m_Histogram.axis(0);
    for (int Index = 0; Index < Edges.size(); ++Index) {
      Sum += Each.m_Histogram.at(Index);
      absl::StrAppend(&Text, "monsoon_request_seconds_bucket{", Labels,
                      ",le=\"", Edges.bin(Index).upper() / 1000, "\"} ", Sum,
                      "\n");
    }
    Sum += Each.m_Histogram.at(Edges.size());
    absl::StrAppend(&Text, "monsoon_request_seconds_bucket{", Labels,
                    ",le=\"+Inf\"} ", Sum, "\n");
    absl::StrAppend(&Text, "monsoon_request_seconds_sum{", Labels, "} ",
                    Each.m_SumSeconds, "\n");
    absl::StrAppend(&Text, "monsoon_request_seconds_count{", Labels, "} ", Sum,
                    "\n");
  }
  return Text;
}

} // namespace monsoon
