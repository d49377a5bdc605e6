#ifndef MONSOON_ENGINE_REQUESTRUN_H
#define MONSOON_ENGINE_REQUESTRUN_H

#include "engine/requestpath.h"

#include <set>
#include <string>
#include <variant>

namespace monsoon {

/// Handles one admitted request: chooses targets, retries, waits for capacity
/// or an owner, and fails at the deadline. A request that is not idempotent is
/// retried only after a failure that proves that it did not run.
class RequestRun {
public:
  RequestRun(RequestPath &Path, TargetService &Targets, WaitingClock &Time,
             const RoutingTable &Table, const Route &Matched,
             const CallerRequest &Request, TimePoint Deadline,
             AnswerSink *Sink);

  Answer run();

  const std::string &lastTarget() const { return m_LastTarget; }
  int attempts() const { return m_Attempts; }

private:
  /// A reserved slot at a target and, for a pool that is owned by key, the
  /// right under which the request is routed to the owner.
  struct Placement {
    Reservation m_Reservation;
    std::optional<RoutingPermit> m_Right;
  };

  std::optional<std::string> key() const;
  Answer tryTargets();
  std::variant<Placement, ErrorKind> chooseTarget();
  std::variant<Placement, ErrorKind> chooseOwner();
  TimePoint attemptDeadline() const;
  AttemptResult attempt(const Placement &Chosen);
  /// Decides whether to retry after Result. If so, and if the request was sent,
  /// spends from the retry budget and excludes the failed target or, for an
  /// owner, waits before it returns.
  bool prepareRetry(const Placement &Chosen, const AttemptResult &Result);
  /// Waits one poll interval. Returns false, without waiting, if the maximum
  /// wait for Reason or the deadline is reached.
  bool waitForCapacity(ErrorKind Reason);
  Answer failWith(ErrorKind Kind, std::string Detail) const;
  Answer makeAnswer(AttemptResult Result) const;

  RequestPath &m_Path;
  TargetService &m_Targets;
  WaitingClock &m_Time;
  const Route &m_Route;
  const Pool &m_Pool;
  const CallerRequest &m_Request;
  const TimePoint m_Deadline;
  AnswerSink *const m_Sink;
  const std::shared_ptr<PoolRuntime> m_Runtime;
  TimePoint m_StartedAt;
  std::optional<std::string> m_Key;
  std::set<std::string> m_Excluded;
  std::string m_LastTarget;
  int m_Attempts = 0;
  bool m_AnswerStarted = false;
  /// Error of the first attempt that did not prove that the request did not
  /// run.
  std::optional<ErrorKind> m_FirstUncertainError;
};

} // namespace monsoon

#endif
