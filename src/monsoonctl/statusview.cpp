#include "monsoonctl/statusview.h"

#include "http/jsoncall.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace monsoon {

namespace {

/// Timeout of one status query.
constexpr Milliseconds StatusTimeout{1000};

HostStatus fetchHostStatus(const PeerSettings &Host) {
  JsonCall Call(Host.m_Address, StatusTimeout);
  const auto Answer = Call.get("/status");
  if (!Answer)
    return {Host.m_Name, Answer.error()};
  return {Host.m_Name, Answer.value().m_Body};
}

/// Formats one line on a group: decider, term, pending ranges and problems.
std::string formatGroup(const Json::Value &Group) {
  std::string Line = absl::StrFormat(
      "  pool %-14s decider %s%s, term %u, %u ranges pending",
      Group["pool"].asString(), Group["decider"].asString(),
      Group["acting"].asBool() ? " (acting)" : "", Group["term"].asUInt64(),
      Group["pending_ranges"].asUInt64());
  if (Group["suspect_servers"].asUInt64() > 0)
    absl::StrAppend(&Line, ", ", Group["suspect_servers"].asUInt64(),
                    " servers unresponsive");
  if (Group["braked"].asBool())
    absl::StrAppend(&Line, ", MOVES HELD: too many servers unresponsive");
  if (Group["cold"].asBool())
    absl::StrAppend(&Line, ", COLD: waits for confirm-cold");
  return Line + "\n";
}

} // namespace

std::vector<HostStatus> fetchStatus(const ControlSettings &Settings) {
  std::vector<HostStatus> Result;
  for (const PeerSettings &Each : Settings.m_Hosts)
    Result.push_back(fetchHostStatus(Each));
  return Result;
}

std::string renderStatus(const std::vector<HostStatus> &Hosts) {
  std::string Text;
  for (const HostStatus &Each : Hosts) {
    if (!Each.m_Status) {
      absl::StrAppendFormat(&Text, "%-10s unreachable: %s\n", Each.m_Name,
                            Each.m_Status.error().m_Message);
      continue;
    }
    const Json::Value &Status = Each.m_Status.value();
    absl::StrAppendFormat(
        &Text, "%-10s version %u, log %s, view %d ms old, hears %u hosts\n",
        Each.m_Name, Status["config_version"].asUInt64(),
        Status["log_readable"].asBool() ? "readable" : "UNREADABLE",
        Status["log_age_ms"].asInt64(), Status["hosts_heard"].size());
    for (const Json::Value &Group : Status["groups"])
      if (Group["decides_here"].asBool())
        Text += formatGroup(Group);
  }
  return Text;
}

std::string renderTargets(const std::vector<HostStatus> &Hosts) {
  std::string Text = absl::StrFormat(
      "%-10s %-14s %-10s %-8s %-11s %9s %6s %9s %8s\n", "HOST", "POOL",
      "TARGET", "DOMAIN", "STATE", "IN-FLIGHT", "LIMIT", "ANSWERED", "MS");
  for (const HostStatus &Each : Hosts) {
    if (!Each.m_Status)
      continue;
    const Json::Value &Pools = Each.m_Status.value()["pools"];
    for (const std::string &Pool : Pools.getMemberNames())
      for (const Json::Value &Target : Pools[Pool])
        absl::StrAppendFormat(
            &Text, "%-10s %-14s %-10s %-8s %-11s %9d %6d %9u %8.1f\n",
            Each.m_Name, Pool, Target["name"].asString(),
            Target["failure_domain"].asString(), Target["state"].asString(),
            Target["in_flight"].asInt(), Target["limit"].asInt(),
            Target["answered"].asUInt64(), Target["latency_ms"].asDouble());
  }
  return Text;
}

} // namespace monsoon
