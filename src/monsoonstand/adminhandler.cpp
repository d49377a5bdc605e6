#include "monsoonstand/adminhandler.h"

#include "codec/jsontext.h"
#include "codec/reportcodec.h"

namespace monsoon {

namespace {

Json::Value encodeNames(const std::set<std::string> &Names) {
  Json::Value Result(Json::arrayValue);
  for (const std::string &Each : Names)
    Result.append(Each);
  return Result;
}

Json::Value encodeStatus(const EntryHostReport &Report) {
  Json::Value Result;
  Result["host"] = Report.m_Id;
  Result["failure_domain"] = Report.m_FailureDomain;
  Result["config_version"] = Json::UInt64(Report.m_ConfigVersion);
  Result["log_readable"] = Report.m_Follower.m_LogReadable;
  Result["log_complete"] = Report.m_Follower.m_Complete;
  Result["log_age_ms"] = Json::Int64(
      std::chrono::duration_cast<Milliseconds>(Report.m_Follower.m_Age)
          .count());
  Result["hosts_heard"] = encodeNames(Report.m_HostsHeard);
  Result["targets_leaving"] = encodeNames(Report.m_Leaving);
  Result["active_requests"] = Report.m_ActiveRequests;
  Result["groups"] = Json::Value(Json::arrayValue);
  for (const GroupReport &Each : Report.m_Groups)
    Result["groups"].append(encodeReport(Each));
  Result["pools"] = Json::Value(Json::objectValue);
  for (const auto &[Name, Targets] : Report.m_Pools) {
    Json::Value &Pool = Result["pools"][Name];
    Pool = Json::Value(Json::arrayValue);
    for (const TargetReport &Each : Targets)
      Pool.append(encodeReport(Each));
  }
  return Result;
}

} // namespace

void AdminHandler::handle(const httplib::Request &Request,
                          httplib::Response &Response) const {
  if (Request.path == "/healthz") {
    Response.set_content("ok\n", "text/plain");
    return;
  }
  if (Request.path == "/readyz") {
    const bool Ready = m_Host.isReady();
    Response.status = Ready ? 200 : 503;
    Response.set_content(Ready ? "ready\n" : "not ready\n", "text/plain");
    return;
  }
  if (Request.path == "/metrics") {
    Response.set_content(m_Metrics.render(), "text/plain; version=0.0.4");
    return;
  }
  if (Request.path == "/status") {
    Response.set_content(writeJson(encodeStatus(m_Host.report())) + "\n",
                         "application/json");
    return;
  }
  Response.status = 404;
  Response.set_content(
      "unknown path; use /healthz, /readyz, /metrics or /status\n",
      "text/plain");
}

} // namespace monsoon
