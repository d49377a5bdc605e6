#ifndef MONSOON_ENTRY_EXCHANGE_H
#define MONSOON_ENTRY_EXCHANGE_H

#include "core/routeindex.h"
#include "entry/targetnode.h"
#include "net/requesthandler.h"
#include "policy/poolqueue.h"
#include "ports/dialect.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace monsoon {

/// How one send of a request to a target ended.
struct AttemptOutcome {
  LinkResult m_Result = LinkResult::Lost;
  HttpAnswer m_Answer;
  AnswerFacts m_Facts;
  Duration m_Elapsed{};
};

/// One request of a caller on its way: what it asks, what was tried and whether
/// it may have run. It is answered exactly once.
class Exchange : public QueuedRequest,
                 public PendingRequest,
                 public std::enable_shared_from_this<Exchange> {
public:
  /// What the dispatcher does with a request. The exchange reports to it.
  class Owner {
  public:
    virtual ~Owner() = default;
    virtual void attemptDone(const std::shared_ptr<Exchange> &Request,
                             const TargetNodePtr &Target,
                             AttemptOutcome Outcome) = 0;
    /// The time to answer is over.
    virtual void timeOver(const std::shared_ptr<Exchange> &Request) = 0;
    /// An attempt lasts longer than is usual.
    virtual void attemptSlow(const std::shared_ptr<Exchange> &Request) = 0;
    virtual void callerGone(const std::shared_ptr<Exchange> &Request) = 0;
    virtual void finished(const Exchange &Request, int Status,
                          const char *Reason) = 0;
  };

  Exchange(boost::asio::io_context &Loop, const Clock &Time,
           const Dialect &Words, RouteIndexPtr Routes, const Route &Path,
           std::string Pool, HttpRequest Request, RequestFacts Facts,
           RequestHandler::Reply Reply);

  void setOwner(Owner *Value) { m_Owner = Value; }
  /// Starts the clock of the deadline.
  void startTimer();

  const Route &route() const { return m_Route; }
  const std::string &pool() const { return m_Pool; }
  const RequestFacts &facts() const { return m_Facts; }
  const HttpRequest &request() const { return m_Request; }
  size_t bodyBytes() const { return m_Body ? m_Body->size() : 0; }
  int64_t configVersion() const { return m_Routes->version(); }
  bool isIdempotent() const { return m_Route.isIdempotent(); }
  TimePoint arrived() const { return m_Arrived; }
  TimePoint sentAt() const { return m_SentAt; }
  Milliseconds timeLeft() const;
  bool isOver() const { return !m_Reply; }
  bool isInFlight() const { return m_Link != nullptr; }
  const TargetNodePtr &target() const { return m_Target; }

  /// Sends that a target may have received.
  int sends() const { return m_Sends; }
  int unreachable() const { return m_Unreachable; }
  /// True if some send may have been run.
  bool mayHaveRun() const { return m_MayHaveRun; }
  bool wasTriedAt(const std::string &TargetId) const;
  /// The answer of the target that failed last, if it gave one.
  const std::optional<HttpAnswer> &lastFailure() const { return m_LastFailure; }
  void keepFailure(HttpAnswer Answer) { m_LastFailure = std::move(Answer); }

  /// Not sent again before that moment.
  TimePoint notBefore() const { return m_NotBefore; }
  void setNotBefore(TimePoint Value) { m_NotBefore = Value; }

  /// Sends the request to a target. SlowAfter zero: never called slow.
  void send(const TargetNodePtr &Target, Milliseconds SlowAfter);
  /// Ends a running send at once; the target sees the connection close.
  void abandonSend();

  /// Gives the final answer. The reason goes to the log.
  void answer(HttpAnswer Answer, const char *Reason);

  // QueuedRequest
  int priority() const override { return m_Route.priority(); }
  TimePoint objective() const override {
    return m_Arrived + m_Route.latencyObjective();
  }
  TimePoint deadline() const override { return m_Deadline; }

  // PendingRequest
  void cancel() override;
  bool mayOverlap() const override { return isIdempotent(); }

private:
  void linkDone(const TargetNodePtr &Target, LinkResult Result,
                HttpAnswer Answer);
  void armTimer();
  void timerFired();

  boost::asio::steady_timer m_Timer;
  const Clock &m_Clock;
  const Dialect &m_Dialect;
  const RouteIndexPtr m_Routes;
  const Route &m_Route;
  const std::string m_Pool;
  HttpRequest m_Request;
  const RequestFacts m_Facts;
  RequestHandler::Reply m_Reply;
  Owner *m_Owner = nullptr;

  const TimePoint m_Arrived;
  const TimePoint m_Deadline;
  TimePoint m_SentAt{};
  TimePoint m_SlowAt{};
  TimePoint m_NotBefore{};
  std::shared_ptr<HttpLink> m_Link;
  TargetNodePtr m_Target;
  std::shared_ptr<const std::string> m_Body;
  std::vector<std::string> m_Tried;
  int m_Sends = 0;
  int m_Unreachable = 0;
  bool m_MayHaveRun = false;
  std::optional<HttpAnswer> m_LastFailure;
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace monsoon

#endif
