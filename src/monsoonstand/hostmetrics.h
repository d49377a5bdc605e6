#ifndef MONSOON_MONSOONSTAND_HOSTMETRICS_H
#define MONSOON_MONSOONSTAND_HOSTMETRICS_H

#include "core/configview.h"
#include "customer/allowancegate.h"
#include "entry/pooldispatcher.h"
#include "net/trafficcount.h"
#include "policy/hostload.h"

#include <map>
#include <string>
#include <vector>

namespace monsoon {

/// Figures of an entry host itself, apart from its requests.
struct HostFigures {
  HostLoadLevel m_Level = HostLoadLevel::Normal;
  double m_AdmittedFraction = 1;
  /// Lateness of the event loop now, and the longest since the last rendering.
  Duration m_LoopLate{};
  Duration m_LongestLoopLate{};
  ConfigView m_Config;
  /// Time since a newer version than the one in use was first heard of.
  Duration m_NewerKnownFor{};
  /// Time since the moment for which the targets' topic is known completely.
  Duration m_MembershipAge{};
  /// Time since the last message of any peer; negative if there was none.
  Duration m_GossipAge{};
  /// Bounds of the time that messages of peers were on their way: of the last
  /// one, and of the slowest since the last rendering.
  Duration m_GossipDelay{};
  Duration m_LongestGossipDelay{};
  /// Calls to the log so far.
  int64_t m_LogCalls = 0;
  /// By kind of traffic: callers, targets, log, gossip.
  std::map<std::string, TrafficCount> m_Traffic;
  /// Bytes of gossip sent, by kind of message; see LoadGossip.
  std::map<std::string, uint64_t> m_GossipSent;
  uint64_t m_GossipDropped = 0;
  std::vector<AllowanceUse> m_Allowances;
  /// Entry hosts that this host counts, itself included.
  size_t m_Hosts = 0;
  /// This host's part of the retry slack, 0 to 1.
  double m_RetrySlackShare = 0;
  std::vector<RetryUse> m_Retries;
};

/// Returns the figures in the Prometheus text format.
std::string renderHostFigures(const HostFigures &Figures);

} // namespace monsoon

#endif
