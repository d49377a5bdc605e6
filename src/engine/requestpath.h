#ifndef MONSOON_ENGINE_REQUESTPATH_H
#define MONSOON_ENGINE_REQUESTPATH_H

#include "core/admission.h"
#include "engine/router.h"
#include "ports/clock.h"
#include "ports/metricssink.h"
#include "ports/targetservice.h"

#include <atomic>
#include <optional>
#include <string>

namespace monsoon {

/// The response to a caller.
struct Answer {
  int m_Status = 0;
  HeaderFields m_Headers;
  std::string m_Body;
  /// Set when this host reports an error instead of a target's answer.
  std::optional<ErrorKind> m_Error;
  /// Error text that names the route, pool, target or limit at fault.
  std::string m_Detail;
  /// True once the answer has begun to be written to the sink.
  bool m_Streamed = false;
};

/// Serves requests: matches the route, applies the admission limits, chooses a
/// target, sends, and maps failures to errors. Safe for concurrent use.
class RequestPath {
public:
  RequestPath(std::string HostName, Router &Routes, Admission &AdmissionControl,
              TargetService &Targets, WaitingClock &Time, MetricsSink &Metrics);

  /// Serves one request and reports it to the metrics. The answer is streamed
  /// to Sink unless it is null.
  Answer handle(const CallerRequest &Request, AnswerSink *Sink);

  /// True if the current configuration has a route for the request and that
  /// route streams its answers.
  bool isStreamed(const std::string &Method, const std::string &Path) const;

  /// Rejects every later request with ErrorKind::Stopping.
  void refuseAll() { m_Refusing = true; }

  std::string nextCorrelationId();

private:
  Answer serve(const CallerRequest &Request, AnswerSink *Sink,
               RequestReport &Report);

  const std::string m_HostName;
  Router &m_Routes;
  Admission &m_Admission;
  TargetService &m_Targets;
  WaitingClock &m_Time;
  MetricsSink &m_Metrics;
  std::atomic<uint64_t> m_Counter{0};
  std::atomic<bool> m_Refusing{false};
};

/// Builds the answer for an error that this host reports.
Answer errorAnswer(ErrorKind Kind, std::string Detail);

} // namespace monsoon

#endif
