#ifndef MONSOON_PORTS_METRICSSINK_H
#define MONSOON_PORTS_METRICSSINK_H

#include "core/configview.h"
#include "core/errorkind.h"
#include "core/tables.h"

#include <optional>
#include <string>

namespace monsoon {

/// What a host knew of a target that turned out to be leaving, for a request
/// that it had sent there.
struct SentToLeaving {
  /// How the host learnt of the leave; see LeaveNotice.
  std::string m_Source;
  /// Time from learning of it to the first byte of the request; negative if the
  /// host learnt of it later.
  Duration m_KnownFor{};
  /// When the request was sent: time since the membership was last known
  /// completely.
  Duration m_MembershipAge{};
};

/// One finished request, for the metrics and the request log.
struct RequestReport {
  std::string m_RequestId;
  std::string m_Route;
  std::string m_Pool;
  std::string m_Target;
  std::string m_Tenant;
  TrafficClass m_Class = TrafficClass::Lookup;
  int m_Status = 0;
  /// Kind of the error; empty if a target's answer was forwarded.
  std::optional<ErrorKind> m_Error;
  /// Detail of the outcome; empty if the error kind is sufficient.
  std::string m_Reason;
  /// Version of the routing tables that were used.
  int64_t m_ConfigVersion = 0;
  /// What this host knew of its configuration when the request arrived.
  ConfigView m_Config;
  /// Number of times that it was sent to a target.
  int m_Attempts = 0;
  /// Why it was sent again, one reason for each retry, separated by commas.
  std::string m_RetryReasons;
  /// True if a retry was denied since the allowance was used up.
  bool m_WasRetryDenied = false;
  /// Time from the receipt of the request to the end of its answer.
  Duration m_Elapsed{};
  /// Time from the receipt until it was last sent to a target; m_Elapsed if it
  /// was never sent.
  Duration m_Waited{};
  /// Time from the choice of the last target to the first byte sent to it; zero
  /// if none was sent.
  Duration m_Connecting{};
  /// Set if it was sent to a target that the host knows to be leaving.
  std::optional<SentToLeaving> m_Leaving;
};

/// Receives a report of each finished request.
class MetricsSink {
public:
  virtual ~MetricsSink() = default;
  /// Called once for each request, after its end.
  virtual void requestDone(const RequestReport &Report) = 0;
};

} // namespace monsoon

#endif
