#ifndef MONSOON_TESTS_STANDIN_TARGETSTANDIN_H
#define MONSOON_TESTS_STANDIN_TARGETSTANDIN_H

#include "core/tables.h"
#include "standin/grantholder.h"

#include "absl/synchronization/mutex.h"

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <map>
#include <set>
#include <string>

namespace monsoon {

/// Initial behaviour of a target stand-in. `POST /control` can change parts of
/// it later.
struct TargetBehaviour {
  bool m_OwnsKeys = false;
  bool m_ChecksFences = true;
  int m_ServiceMicros = 1000;
  /// Maximum number of concurrent requests while the target is cold.
  int m_ColdCapacity = 1;
  /// Executions after which a cold target is warm; 0 makes it start warm.
  int m_WarmAfter = 0;
};

/// Stands in for a user's server: slots, cold start, load shedding, draining,
/// cancellation, deadlines, grants, and a health endpoint that may report an
/// outdated state. Counts the executions of each request id, so that tests can
/// compare what ran with what callers were answered.
///
/// `POST /control` takes `freeze_ms`, `cold`, `shed`, `drain`, `delay_ms`,
/// `service_us`, `answer` (`whole`, `cut`, `crossed`, `none`), `lag_ms`. `cut`
/// stops a sized body half way, `crossed` answers with the correlation id of
/// another request, `none` closes the connection without an answer; `lag_ms` is
/// how long the health endpoint repeats a state before it reads it again.
class TargetStandIn {
public:
  TargetStandIn(Target Self, const TargetBehaviour &Behaviour);

  void handle(const httplib::Request &Request, httplib::Response &Response);

private:
  using TimePoint = std::chrono::steady_clock::time_point;

  void control(const httplib::Request &Request, httplib::Response &Response);
  void health(httplib::Response &Response);
  void stats(const httplib::Request &Request, httplib::Response &Response);
  void grants(const httplib::Request &Request, httplib::Response &Response);
  void cancel(const httplib::Request &Request, httplib::Response &Response);
  void serveRequest(const httplib::Request &Request,
                    httplib::Response &Response);
  void waitWhileFrozen() const;
  std::string refusalReason(const httplib::Request &Request,
                            TimePoint Deadline);
  std::string execute(const httplib::Request &Request, TimePoint Deadline);
  bool acquireSlot(TimePoint Deadline);
  /// Ends an execution: frees the slot and, if the request may take effect,
  /// counts it. Returns false if it lost its fence, was cancelled or is late.
  bool tryCommit(const httplib::Request &Request, TimePoint Deadline);
  void sendAnswer(const httplib::Request &Request, httplib::Response &Response);

  const Target m_Self;
  const TargetBehaviour m_Behaviour;
  const std::string m_Instance;
  /// Steady clock reading until which the target does nothing (`freeze_ms`).
  std::atomic<int64_t> m_FrozenUntil{0};
  absl::Mutex m_Mutex;
  GrantHolder m_Grants ABSL_GUARDED_BY(m_Mutex);
  int m_Running ABSL_GUARDED_BY(m_Mutex) = 0;
  int m_Slots ABSL_GUARDED_BY(m_Mutex);
  bool m_IsCold ABSL_GUARDED_BY(m_Mutex);
  int m_ExecutionsUntilWarm ABSL_GUARDED_BY(m_Mutex);
  bool m_ShedsLoad ABSL_GUARDED_BY(m_Mutex) = false;
  bool m_IsDraining ABSL_GUARDED_BY(m_Mutex) = false;
  int m_DelayMs ABSL_GUARDED_BY(m_Mutex) = 0;
  int m_ServiceMicros ABSL_GUARDED_BY(m_Mutex);
  std::string m_AnswerMode ABSL_GUARDED_BY(m_Mutex) = "whole";
  int m_HealthLagMs ABSL_GUARDED_BY(m_Mutex) = 0;
  std::string m_ReportedState ABSL_GUARDED_BY(m_Mutex);
  TimePoint m_ReportedAt ABSL_GUARDED_BY(m_Mutex);
  std::set<std::string> m_Cancelled ABSL_GUARDED_BY(m_Mutex);
  std::map<std::string, int> m_Executions ABSL_GUARDED_BY(m_Mutex);
  uint64_t m_Executed ABSL_GUARDED_BY(m_Mutex) = 0;
  uint64_t m_Refused ABSL_GUARDED_BY(m_Mutex) = 0;
  uint64_t m_ColdOverruns ABSL_GUARDED_BY(m_Mutex) = 0;
};

} // namespace monsoon

#endif
