#ifndef MONSOON_CORE_GATEWAYSETTINGS_H
#define MONSOON_CORE_GATEWAYSETTINGS_H

#include "core/settings.h"

namespace monsoon {

/// Settings of an entry host that runs on a platform: its listening addresses,
/// the address of the platform's log, and the limits that all hosts share.
struct GatewaySettings {
  std::string m_Host;
  std::string m_FailureDomain;
  Endpoint m_Callers;
  Endpoint m_Readiness;
  Endpoint m_Metrics;
  /// Address on which gossip of the other entry hosts is received.
  Endpoint m_Peers;
  Endpoint m_Log;
  /// Partitions that the log gives each topic.
  uint32_t m_LogPartitions = 12;
  /// Retries per request that all entry hosts together may send to a pool.
  double m_RetryRatio = 0.1;
  /// Retries allowed per retry window in addition to the ratio.
  double m_RetrySlack = 10;
  /// Capacity of this host's network link in Mbit/s; 0 if unknown.
  double m_LinkMbps = 0;
  Duration m_RetryWindow = Milliseconds(10'000);
  /// Longest hold time of a grant of keys that a target accepts.
  Duration m_LongestHold = Milliseconds(10'000);
  /// Time after its acknowledgement by the log in which a version of the
  /// configuration has to be in force on all hosts.
  Duration m_ConfigApplyLimit = Milliseconds(2000);
  /// Time from a stop signal to the exit of the process.
  Duration m_StopLimit = Milliseconds(6000);
  /// True if requests that need a customer's key are refused once the
  /// configuration has not been confirmed for m_RevocationTimeout, since the
  /// key may have been revoked.
  bool m_StrictRevocation = false;
  Duration m_RevocationTimeout = Milliseconds(5000);
  std::string m_LogLevel = "info";
};

} // namespace monsoon

#endif
