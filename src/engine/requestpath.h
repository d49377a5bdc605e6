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

/// What a caller is answered.
struct Answer {
  int m_Status = 0;
  HeaderFields m_Headers;
  std::string m_Body;
  /// Set when the answer is an error of ours instead of a target's answer.
  std::optional<ErrorKind> m_Error;
  /// A sentence that names the thing at fault.
  std::string m_Detail;
  /// True when the body has gone to the sink already.
  bool m_Streamed = false;
};

/// Serves requests: finds the route, admits, chooses a target, sends, and
/// decides what a failure means. Safe for concurrent use.
class RequestPath {
public:
  RequestPath(std::string HostName, Router &Routes, Admission &Gate,
              TargetService &Targets, WaitingClock &Time, MetricsSink &Metrics);

  /// Serves one request. Streamed routes write to the sink.
  Answer handle(const CallerRequest &Request, AnswerSink *Sink);

  /// The route of a request under the configuration in force.
  bool isStreamed(const std::string &Method, const std::string &Path) const;

  /// Refuses every request from now on.
  void refuseAll() { m_Refusing = true; }

  std::string nextCorrelationId();

private:
  Answer serve(const CallerRequest &Request, AnswerSink *Sink,
               RequestReport &Report);

  const std::string m_HostName;
  Router &m_Routes;
  Admission &m_Gate;
  TargetService &m_Targets;
  WaitingClock &m_Time;
  MetricsSink &m_Metrics;
  std::atomic<uint64_t> m_Counter{0};
  std::atomic<bool> m_Refusing{false};
};

/// The answer that reports an error of ours.
Answer errorAnswer(ErrorKind Kind, std::string Detail);

} // namespace monsoon

#endif
