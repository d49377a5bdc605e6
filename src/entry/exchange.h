#ifndef MONSOON_ENTRY_EXCHANGE_H
#define MONSOON_ENTRY_EXCHANGE_H

#include "core/configview.h"
#include "core/routeindex.h"
#include "customer/customertable.h"
#include "entry/targetnode.h"
#include "net/requesthandler.h"
#include "policy/poolqueue.h"
#include "ports/dialect.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace monsoon {

/// Result of one send of a request to a target.
struct AttemptOutcome {
  LinkResult m_Result = LinkResult::Lost;
  HttpResponse m_Answer;
  AnswerMetadata m_Facts;
  Duration m_Elapsed{};
};

/// The customer on whose behalf a request is sent, by one version of the
/// customers.
struct RequestCustomer {
  /// Null if the version has no customers.
  CustomerTablePtr m_Table;
  /// Digest of the key that the request came with, if any.
  std::optional<KeyDigest> m_Key;
  /// The holder of the key; null if the request needs none and has none.
  const Customer *m_Customer = nullptr;
  /// True if the request was counted towards the customer's allowance.
  bool m_UsesAllowance = false;
};

/// One caller request from arrival to answer: its route and deadline, the
/// targets it was sent to, and whether one of them may have run it. It has at
/// most one send in flight, and is answered exactly once unless the caller
/// disconnects first.
class Exchange : public QueuedRequest,
                 public PendingRequest,
                 public std::enable_shared_from_this<Exchange> {
public:
  /// Receives the events of an exchange and decides what happens next.
  /// Implemented by the pool's dispatcher.
  class Listener {
  public:
    virtual ~Listener() = default;
    /// A send ended otherwise than by abandonSend().
    virtual void attemptDone(const std::shared_ptr<Exchange> &Request,
                             const TargetNodePtr &Target,
                             AttemptOutcome Outcome) = 0;
    /// The deadline has passed without an answer.
    virtual void deadlineExpired(const std::shared_ptr<Exchange> &Request) = 0;
    /// True if a request that was to be sent to the target may still be: it has
    /// waited for a connection since the target was chosen.
    virtual bool maySend(const Exchange &Request,
                         const TargetNodePtr &Target) const = 0;
    /// A send is still unanswered after its SlowAfter time.
    virtual void attemptSlow(const std::shared_ptr<Exchange> &Request) = 0;
    /// The caller disconnected before it was answered.
    virtual void
    callerDisconnected(const std::shared_ptr<Exchange> &Request) = 0;
    /// The request is about to be answered; Reason is for the log.
    virtual void requestFinished(const Exchange &Request, int Status,
                                 const char *Reason) = 0;
  };

  Exchange(boost::asio::io_context &Loop, const Clock &Time,
           const Dialect &Protocol, RouteIndexPtr Routes,
           const Route &MatchedRoute, std::string Pool, HttpRequest Request,
           RequestMetadata Facts, RequestHandler::Reply Reply);

  void setListener(Listener *Value) { m_Listener = Value; }
  /// Starts the timer of the deadline.
  void startTimer();

  const Route &route() const { return m_Route; }
  const std::string &pool() const { return m_Pool; }
  const RequestMetadata &facts() const { return m_Facts; }
  const HttpRequest &request() const { return m_Request; }
  size_t bodyBytes() const { return m_Body ? m_Body->size() : 0; }
  const RequestCustomer &customer() const { return m_Customer; }
  void setCustomer(RequestCustomer Value) { m_Customer = std::move(Value); }
  int64_t configVersion() const { return m_Routes->version(); }
  /// What this host knew of its configuration when the request arrived.
  const ConfigView &configView() const { return m_ConfigView; }
  void setConfigView(const ConfigView &Value) { m_ConfigView = Value; }
  bool isIdempotent() const { return m_Route.isIdempotent(); }
  /// Moment of arrival at this host.
  TimePoint arrivedAt() const { return m_Arrived; }
  /// Moment of the last send.
  TimePoint sentAt() const { return m_SentAt; }
  /// When the first byte was sent to the last target; empty if none was, or
  /// while the attempt goes on.
  const std::optional<TimePoint> &firstByteAt() const { return m_FirstByteAt; }
  /// When the last target was chosen: time since the membership was last known
  /// completely.
  Duration membershipAge() const { return m_MembershipAge; }
  void setMembershipAge(Duration Value) { m_MembershipAge = Value; }
  /// Time left until the deadline; negative once it has passed.
  Milliseconds timeLeft() const;
  /// True once it was answered or the caller disconnected.
  bool isFinished() const { return !m_Reply; }
  /// True if the caller has disconnected, also if cancel() was not called yet.
  bool hasCallerDisconnected() const { return m_Reply.hasCallerDisconnected(); }
  bool isInFlight() const { return m_Link != nullptr; }
  /// Target of the last send, or null.
  const TargetNodePtr &target() const { return m_Target; }

  /// Notes that a retry has been reserved for the request, and why it is sent
  /// again.
  void reserveRetry(const char *Reason) {
    m_HoldsRetry = true;
    m_RetryReasons.push_back(Reason);
  }
  /// The retry that was sent last has not reached its target.
  void restoreRetry() { m_HoldsRetry = true; }
  /// True if a retry is reserved that was not sent yet.
  bool holdsRetry() const { return m_HoldsRetry; }
  /// Why the request was sent again, one reason for each retry.
  const std::vector<const char *> &retryReasons() const {
    return m_RetryReasons;
  }
  /// Notes that a retry was denied since the allowance was used up.
  void noteRetryDenied() { m_WasRetryDenied = true; }
  bool wasRetryDenied() const { return m_WasRetryDenied; }

  /// Sends that a target may have received.
  int sendCount() const { return m_SendCount; }
  /// Sends that certainly did not reach a target.
  int unreachableCount() const { return m_UnreachableCount; }
  /// True if some target may have run the request.
  bool mayHaveRun() const { return m_MayHaveRun; }
  bool wasTriedAt(const std::string &TargetId) const;
  /// The last failure that a target answered and that was not passed on.
  const std::optional<HttpResponse> &lastFailure() const {
    return m_LastFailure;
  }
  void setLastFailure(HttpResponse Answer) {
    m_LastFailure = std::move(Answer);
  }

  /// The request is not sent again before this moment.
  TimePoint notBefore() const { return m_NotBefore; }
  void setNotBefore(TimePoint Value) { m_NotBefore = Value; }

  /// Sends the request to a target, and with it a reserved retry. attemptSlow()
  /// is called after SlowAfter; with zero it is not called.
  void send(const TargetNodePtr &Target, Milliseconds SlowAfter);
  /// Ends the send in flight by closing its connection, without attemptDone().
  void abandonSend();

  /// Gives the caller the final answer; ignored once isFinished(). The reason
  /// goes to the log.
  void answer(HttpResponse Answer, const char *Reason);

  // QueuedRequest
  int priority() const override;
  TimePoint objective() const override {
    return m_Arrived + m_Route.latencyObjective();
  }
  TimePoint deadline() const override { return m_Deadline; }

  // PendingRequest
  void cancel() override;
  bool mayOverlap() const override { return isIdempotent(); }

private:
  void sendFinished(const TargetNodePtr &Target, LinkResult Result,
                    HttpResponse Answer);
  void noteFirstByte();
  void armTimer();
  void timerFired();

  boost::asio::steady_timer m_Timer;
  const Clock &m_Clock;
  const Dialect &m_Dialect;
  const RouteIndexPtr m_Routes;
  const Route &m_Route;
  const std::string m_Pool;
  HttpRequest m_Request;
  const RequestMetadata m_Facts;
  RequestCustomer m_Customer;
  ConfigView m_ConfigView;
  RequestHandler::Reply m_Reply;
  Listener *m_Listener = nullptr;

  const TimePoint m_Arrived;
  const TimePoint m_Deadline;
  TimePoint m_SentAt{};
  TimePoint m_SlowAt{};
  std::optional<TimePoint> m_FirstByteAt;
  Duration m_MembershipAge{};
  TimePoint m_NotBefore{};
  std::shared_ptr<HttpLink> m_Link;
  TargetNodePtr m_Target;
  std::shared_ptr<const std::string> m_Body;
  std::vector<std::string> m_TriedTargets;
  LinkPool::UsedLinks m_UsedLinks;
  int m_SendCount = 0;
  int m_UnreachableCount = 0;
  bool m_MayHaveRun = false;
  bool m_HoldsRetry = false;
  bool m_WasRetryDenied = false;
  std::vector<const char *> m_RetryReasons;
  std::optional<HttpResponse> m_LastFailure;
};

using ExchangePtr = std::shared_ptr<Exchange>;

} // namespace monsoon

#endif
