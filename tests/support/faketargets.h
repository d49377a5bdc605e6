#ifndef MONSOON_TESTS_SUPPORT_FAKETARGETS_H
#define MONSOON_TESTS_SUPPORT_FAKETARGETS_H

#include "ports/targetservice.h"
#include "support/fakeclock.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// What a fake target does with one attempt.
enum class FakeTargetAction {
  Answer,
  Refuse,
  FailToConnect,
  LoseBeforeRun,
  LoseAfterRun,
  /// Executes the request; the answer belongs to another request.
  MismatchAnswer,
  TimeOutBeforeRun,
  TimeOutAfterRun,
  /// Executes the request; the answer breaks off before its end.
  CutShort,
  Count
};

/// Targets that execute, refuse, lose or mix up requests as a script decides.
/// They count the executions of each request id independently of the code
/// under test.
class FakeTargets : public TargetService {
public:
  explicit FakeTargets(FakeClock &Time) : m_Time(Time) {}

  /// Decides what happens to an attempt; the default answers each one.
  std::function<FakeTargetAction(const Attempt &)> m_Script =
      [](const Attempt &) { return FakeTargetAction::Answer; };
  /// Time that each attempt takes on the clock.
  Milliseconds m_Latency{2};

  AttemptResult send(const Attempt &Order, const std::function<bool()> &MaySend,
                     AnswerSink *Sink) override;
  void cancel(const Target & /*Destination*/,
              const std::string &CorrelationId) override {
    m_Cancelled.insert(CorrelationId);
  }

  int executions(const std::string &RequestId) const;

  /// Names of the targets of all attempts, in order.
  std::vector<std::string> m_AttemptedTargets;
  /// Correlation ids of the cancelled attempts.
  std::set<std::string> m_Cancelled;
  /// Executions per request id.
  std::map<std::string, int> m_Executions;

private:
  FakeClock &m_Time;
};

inline AttemptResult FakeTargets::send(const Attempt &Order,
                                       const std::function<bool()> &MaySend,
                                       AnswerSink *Sink) {
  if (!MaySend())
    return AttemptResult::failed(ErrorKind::ViewStale);
  m_AttemptedTargets.push_back(Order.m_Target.m_Name);
  m_Time.advance(m_Latency);
  const std::string &Id = Order.m_Request->m_RequestId;
  const FakeTargetAction Action = m_Script(Order);
  const bool Runs = Action == FakeTargetAction::Answer ||
                    Action == FakeTargetAction::MismatchAnswer ||
                    Action == FakeTargetAction::LoseAfterRun ||
                    Action == FakeTargetAction::TimeOutAfterRun ||
                    Action == FakeTargetAction::CutShort;
  if (Runs)
    ++m_Executions[Id];
  switch (Action) {
  case FakeTargetAction::Refuse:
    return AttemptResult::failed(ErrorKind::TargetRefused);
  case FakeTargetAction::FailToConnect:
    return AttemptResult::failed(ErrorKind::ConnectFailed);
  case FakeTargetAction::LoseBeforeRun:
  case FakeTargetAction::LoseAfterRun:
    return AttemptResult::failed(ErrorKind::AnswerLost);
  case FakeTargetAction::MismatchAnswer:
    return AttemptResult::failed(ErrorKind::AnswerMismatch);
  case FakeTargetAction::TimeOutBeforeRun:
  case FakeTargetAction::TimeOutAfterRun:
    m_Time.advance(Order.m_Deadline - m_Time.now());
    return AttemptResult::failed(ErrorKind::DeadlineExceeded);
  default:
    break;
  }
  TargetAnswer Answer;
  Answer.m_Status = 200;
  Answer.m_Instance = Order.m_Target.m_Name + "/1";
  Answer.m_Body = "answer to " + Id;
  if (Sink) {
    Sink->head(Answer);
    Sink->body(Answer.m_Body);
  }
  if (Action == FakeTargetAction::CutShort)
    return AttemptResult::failed(ErrorKind::AnswerCutShort);
  return AttemptResult::answered(Answer);
}

inline int FakeTargets::executions(const std::string &RequestId) const {
  const auto It = m_Executions.find(RequestId);
  return It == m_Executions.end() ? 0 : It->second;
}

} // namespace monsoon

#endif
