#include "monsoonstand/hostmetrics.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include <algorithm>

namespace monsoon {

namespace {

/// Customers whose allowances are shown.
constexpr size_t MaxCustomers = 200;

template <typename Value>
void addGauge(std::string &Text, const char *Name, Value Current) {
  absl::StrAppend(&Text, "# TYPE ", Name, " gauge\n", Name, " ", Current, "\n");
}

double seconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

void addTraffic(std::string &Text,
                const std::map<std::string, TrafficCount> &Traffic) {
  absl::StrAppend(&Text, "# TYPE monsoon_link_bytes_total counter\n");
  for (const auto &[Kind, Each] : Traffic)
    for (const auto &[Direction, Bytes] :
         {std::pair{"sent", Each.m_Sent},
          std::pair{"received", Each.m_Received}})
      absl::StrAppend(&Text, "monsoon_link_bytes_total{kind=\"", Kind,
                      "\",direction=\"", Direction, "\"} ", Bytes, "\n");
}

void addGossip(std::string &Text, const HostFigures &Figures) {
  absl::StrAppend(&Text, "# TYPE monsoon_gossip_sent_bytes_total counter\n");
  for (const auto &[Kind, Bytes] : Figures.m_GossipSent)
    absl::StrAppend(&Text, "monsoon_gossip_sent_bytes_total{kind=\"", Kind,
                    "\"} ", Bytes, "\n");
  absl::StrAppend(&Text,
                  "# TYPE monsoon_gossip_dropped_total counter\n"
                  "monsoon_gossip_dropped_total ",
                  Figures.m_GossipDropped, "\n");
}

std::string escapeLabel(const std::string &Value) {
  return absl::StrReplaceAll(Value, {{"\\", "\\\\"}, {"\"", "\\\""}});
}

void addRetries(std::string &Text, const HostFigures &Figures) {
  addGauge(Text, "monsoon_hosts_counted", Figures.m_Hosts);
  addGauge(Text, "monsoon_retry_slack_share", Figures.m_RetrySlackShare);
  for (const RetryUse &Each : Figures.m_Retries) {
    const std::string Pool =
        absl::StrCat("{pool=\"", escapeLabel(Each.m_Pool), "\"");
    absl::StrAppend(&Text, "monsoon_retries_allowed", Pool, "} ",
                    Each.m_Allowed, "\nmonsoon_retries_spent", Pool, "} ",
                    Each.m_Spent, "\nmonsoon_retries_denied_total", Pool, "} ",
                    Each.m_Denied, "\n");
    for (const auto &[Reason, Count] : Each.m_SentByReason)
      absl::StrAppend(&Text, "monsoon_retries_sent_total", Pool, ",reason=\"",
                      Reason, "\"} ", Count, "\n");
  }
}

void addAllowances(std::string &Text, const std::vector<AllowanceUse> &Used) {
  for (size_t Index = 0; Index < std::min(Used.size(), MaxCustomers); ++Index) {
    const AllowanceUse &Each = Used[Index];
    const std::string Label =
        absl::StrCat("{customer=\"", escapeLabel(Each.m_Customer), "\"} ");
    absl::StrAppend(&Text, "monsoon_allowance_admitted_total", Label,
                    Each.m_Admitted, "\nmonsoon_allowance_refused_total", Label,
                    Each.m_Refused, "\nmonsoon_allowance_share_per_second",
                    Label, Each.m_SharePerSecond, "\n");
  }
}

} // namespace

std::string renderHostFigures(const HostFigures &Figures) {
  std::string Text;
  addGauge(Text, "monsoon_host_load_level", static_cast<int>(Figures.m_Level));
  addGauge(Text, "monsoon_host_admitted_fraction", Figures.m_AdmittedFraction);
  addGauge(Text, "monsoon_loop_late_seconds", seconds(Figures.m_LoopLate));
  addGauge(Text, "monsoon_loop_late_max_seconds",
           seconds(Figures.m_LongestLoopLate));
  addGauge(Text, "monsoon_config_version", Figures.m_Config.m_Version);
  addGauge(Text, "monsoon_config_known_version",
           Figures.m_Config.m_KnownVersion);
  addGauge(Text, "monsoon_config_state",
           static_cast<int>(Figures.m_Config.m_Standing));
  addGauge(Text, "monsoon_config_age_seconds", seconds(Figures.m_Config.m_Age));
  addGauge(Text, "monsoon_config_newer_known_seconds",
           seconds(Figures.m_NewerKnownFor));
  addGauge(Text, "monsoon_membership_age_seconds",
           seconds(Figures.m_MembershipAge));
  addGauge(Text, "monsoon_gossip_age_seconds", seconds(Figures.m_GossipAge));
  addGauge(Text, "monsoon_gossip_delay_seconds",
           seconds(Figures.m_GossipDelay));
  addGauge(Text, "monsoon_gossip_delay_max_seconds",
           seconds(Figures.m_LongestGossipDelay));
  absl::StrAppend(&Text,
                  "# TYPE monsoon_log_calls_total counter\n"
                  "monsoon_log_calls_total ",
                  Figures.m_LogCalls, "\n");
  addTraffic(Text, Figures.m_Traffic);
  addGossip(Text, Figures);
  addAllowances(Text, Figures.m_Allowances);
  addRetries(Text, Figures);
  return Text;
}

} // namespace monsoon
