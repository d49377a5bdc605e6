#ifndef MONSOON_CORE_GATEWAYSETTINGS_H
#define MONSOON_CORE_GATEWAYSETTINGS_H

#include "core/settings.h"

namespace monsoon {

/// The settings of an entry host that runs on a platform: where it listens,
/// where the platform's log is, and the limits that all hosts share.
struct GatewaySettings {
  std::string m_Host;
  std::string m_FailureDomain;
  Endpoint m_Callers;
  Endpoint m_Readiness;
  Endpoint m_Metrics;
  /// Where reports of the other entry hosts are received.
  Endpoint m_Peers;
  Endpoint m_Log;
  /// Further sends per request that a pool may get, over all hosts.
  double m_RetryRatio = 0.1;
  /// Further sends that are allowed besides, in a window.
  double m_RetrySlack = 10;
  Milliseconds m_RetryWindow{10'000};
  /// Longest time for which a target takes a grant of keys.
  Milliseconds m_LongestHold{10'000};
  /// Time between a stop signal and the end of the process.
  Milliseconds m_StopLimit{6000};
  std::string m_LogLevel = "info";
};

} // namespace monsoon

#endif
