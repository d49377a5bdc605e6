#include "codec/reportcodec.h"

namespace monsoon {

Json::Value encodeError(ErrorKind Kind, const std::string &Detail,
                        const std::string &RequestId) {
  const ErrorRule &Rule = errorRule(Kind);
  Json::Value Result;
  Result["error"] = std::string(Rule.m_Name);
  Result["ran"] = std::string(runStateName(Rule.m_Ran));
  Result["may_resend"] = Rule.m_MayResend;
  Result["detail"] = Detail;
  Result["request_id"] = RequestId;
  return Result;
}

Json::Value encodeReport(const GroupReport &Report) {
  Json::Value Result;
  Result["pool"] = Report.m_Pool;
  Result["term"] = Json::UInt64(Report.m_Term);
  Result["version"] = Json::UInt64(Report.m_Version);
  Result["decider"] = Report.m_Holder;
  Result["decides_here"] = Report.m_IsDecider;
  Result["acting"] = Report.m_IsActing;
  Result["cold"] = Report.m_IsCold;
  Result["braked"] = Report.m_AreMovesPaused;
  Result["pending_ranges"] = Json::UInt64(Report.m_PendingRanges);
  Result["suspect_servers"] = Json::UInt64(Report.m_SuspectServers);
  Result["electors"] = Json::Value(Json::arrayValue);
  for (const HostId &Each : Report.m_Electors)
    Result["electors"].append(Each);
  return Result;
}

Json::Value encodeReport(const TargetReport &Report) {
  Json::Value Result;
  Result["name"] = Report.m_Name;
  Result["failure_domain"] = Report.m_FailureDomain;
  Result["state"] = std::string(targetStateName(Report.m_State));
  Result["in_flight"] = Report.m_InFlight;
  Result["limit"] = Report.m_Limit;
  Result["answered"] = Json::UInt64(Report.m_Answered);
  Result["latency_ms"] = Report.m_LatencyMs;
  return Result;
}

} // namespace monsoon
