#ifndef MONSOON_ENGINE_REQUESTRUN_H
#define MONSOON_ENGINE_REQUESTRUN_H

#include "engine/requestpath.h"

#include <set>
#include <string>
#include <variant>

namespace monsoon {

/// The course of one admitted request: which targets it is tried at, in which
/// order, and when to give up. A request that may not be repeated is tried
/// again only after a failure that proves that it did not run.
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
  /// A place at a target, and the right under which its owner is asked.
  struct Lead {
    Reservation m_Place;
    std::optional<OwnerRight> m_Right;
  };

  std::optional<std::string> key() const;
  Answer loop();
  std::variant<Lead, ErrorKind> choose();
  std::variant<Lead, ErrorKind> chooseOwner();
  TimePoint tryDeadline() const;
  AttemptResult attempt(const Lead &Chosen);
  bool mayTryAgain(const Lead &Chosen, const AttemptResult &Result);
  bool waitForPlace(ErrorKind Reason);
  Answer giveUp(ErrorKind Kind, std::string Detail) const;
  Answer conclude(AttemptResult Result) const;

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
  bool m_AnswerBegun = false;
  /// How the first try ended that did not prove that nothing ran.
  std::optional<ErrorKind> m_MayHaveRun;
};

} // namespace monsoon

#endif
