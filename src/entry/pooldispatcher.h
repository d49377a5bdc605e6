#ifndef MONSOON_ENTRY_POOLDISPATCHER_H
#define MONSOON_ENTRY_POOLDISPATCHER_H

#include "core/errorkind.h"
#include "customer/allowancegate.h"
#include "entry/exchange.h"
#include "entry/targetregistry.h"
#include "keyowner/rangeassigner.h"
#include "membership/configcurrency.h"
#include "membership/hostmembership.h"
#include "policy/arrivalshare.h"
#include "policy/demandgate.h"
#include "policy/hostload.h"
#include "policy/poolqueue.h"
#include "policy/retrywindow.h"
#include "policy/targetchooser.h"
#include "ports/limitshare.h"
#include "ports/metricssink.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace monsoon {

/// Use of a pool's retry allowance by this host; see RetryWindow.
struct RetryUse {
  std::string m_Pool;
  /// In the window that ends now.
  double m_Allowed = 0;
  int64_t m_Spent = 0;
  /// Since the start of the process.
  int64_t m_Denied = 0;
  std::map<std::string, int64_t> m_SentByReason;
};

/// Limits that apply to the total over all entry hosts.
struct SharedLimits {
  RetryAllowance m_Retries;
  /// Fraction of a pool's configured warm-up rate that a cold target is sent,
  /// by all entry hosts together.
  double m_ColdRateFraction = 1.0;
};

/// Builds the error answer that this host itself gives to a request: status,
/// X-Error-Kind and a JSON body follow from Kind. With RetryAfter zero the
/// Retry-After field is left out.
HttpResponse errorAnswer(ErrorKind Kind, const std::string &RequestId,
                         const std::string &Detail, Duration RetryAfter);

/// Dispatches the requests of one pool: sends each to a target, queues it or
/// refuses it, and decides after a failure whether it is sent again. Every
/// entry host has one per pool; all calls are made on the event loop's thread.
///
/// Target: in a pool with key ownership only the owner of the request's key may
/// get it; otherwise the target that is expected to answer first.
///
/// Waiting: a request is queued while no suitable target has a free slot, while
/// a cold target may not be sent more, or while the key has no usable owner. It
/// is queued only if an answer is expected by its latency objective and
/// deadline, and refused once it is too late for that; see waitDeadline(). The
/// queues are checked again whenever an attempt ends, when targets, owners or
/// routes change, and periodically by Dispatcher.
///
/// Retries: a request that certainly has not run may be sent again; one that
/// may have run only if it is idempotent. A retry needs an attempt left on the
/// route, enough time left, and a retry from the allowance that all hosts
/// share, which is reserved before the request is queued and counts as spent
/// when it is sent. After a failure to reach a target it needs none of these;
/// such failures have a limit of their own.
///
/// A request that has waited for a new connection is sent only if its target
/// may still get it; otherwise it is dispatched again.
///
/// Outcome: a request is refused as not run (TargetsBusy) only if no target may
/// have run it; else the caller gets the last target's failure or an error kind
/// that leaves open whether it ran.
class PoolDispatcher : public Exchange::Listener {
public:
  struct Parts {
    const Clock &m_Clock;
    TargetRegistry &m_Targets;
    HostMembership &m_Hosts;
    /// This host's part of the retry slack.
    const LimitShare &m_RetryShare;
    MetricsSink &m_Metrics;
    std::string m_HostName;
    std::string m_FailureDomain;
    SharedLimits m_Limits;
    /// Null if customers are not limited.
    AllowanceGate *m_Allowances = nullptr;
    /// Null if this host never counts as late.
    HostLoad *m_HostLoad = nullptr;
    /// Null if the configuration always counts as the one in force.
    const ConfigCurrency *m_Currency = nullptr;
  };

  PoolDispatcher(std::string Name, const Parts &Shared);

  PoolDispatcher(const PoolDispatcher &) = delete;
  PoolDispatcher &operator=(const PoolDispatcher &) = delete;

  /// Sets the key ownership of the pool; null if its targets don't own keys.
  void setOwnership(std::shared_ptr<RangeAssigner> Ownership) {
    m_Ownership = std::move(Ownership);
  }
  void setPool(const Pool &Value) {
    m_WarmupRate = Value.policy().m_WarmupRate;
  }

  /// Sets the customers of the configuration in force; null if it has none.
  /// Requests that are not in flight are judged by them from now on.
  void setCustomers(CustomerTablePtr Value) { m_Customers = std::move(Value); }

  /// Takes a new request: answers it, sends it or queues it.
  void submit(const ExchangePtr &Request);
  /// Sends queued requests to targets that have free slots, and refuses those
  /// past their waitDeadline().
  void dispatchWaiting();
  bool hasWaiting() const;
  /// True while a request that was submitted here is not finished.
  bool hasRequests() const { return m_Unfinished > 0; }
  /// Adds the number of requests queued here for each owner, by its target id.
  void addWaiting(std::map<std::string, int> &ByTarget) const;
  /// Moving average of the time from send to answer, converted to a machine of
  /// ordinary speed without queueing.
  Duration typicalServiceTime() const { return m_TypicalServiceTime; }

  RetryUse retryUse();

  // Exchange::Listener
  void attemptDone(const ExchangePtr &Request, const TargetNodePtr &Target,
                   AttemptOutcome Outcome) override;
  bool maySend(const Exchange &Request,
               const TargetNodePtr &Target) const override;
  void deadlineExpired(const ExchangePtr &Request) override;
  void attemptSlow(const ExchangePtr &Request) override;
  void callerDisconnected(const ExchangePtr &Request) override;
  void requestFinished(const Exchange &Request, int Status,
                       const char *Reason) override;

private:
  /// Sends a request if a target can take it now; false if none can. One whose
  /// caller has disconnected is put into m_Disconnected instead of sent.
  bool tryDispatch(const ExchangePtr &Request);
  /// True if the caller may have disconnected without this host having read it,
  /// and has.
  bool hasDisconnected(const Exchange &Request) const;
  void cancelDisconnected();
  /// The target with a free slot that is expected to answer first, or null.
  TargetNodePtr chooseTarget(const Exchange &Request) const;
  /// The owner of the request's key, or null if it can't take it now.
  TargetNodePtr chooseOwner(const Exchange &Request) const;
  /// False while a target that is cold or has named a limit may not be sent
  /// another request by this host.
  bool paceAllows(const TargetNode &Node, TimePoint Now) const;
  /// Least time between two requests of this host to the target, by the limit
  /// that it has named; zero if it has named none.
  Duration limitInterval(const TargetNode &Node) const;
  /// Sends a request, or queues it if an answer in time is expected, or ends
  /// it.
  void dispatchOrQueue(const ExchangePtr &Request);
  /// True if the request has no key but the pool's targets own keys: the pool
  /// had none when the request arrived. No target can serve it.
  bool lacksKey(const Exchange &Request) const {
    return m_Ownership && !Request.facts().m_Key;
  }
  /// True if the request may no longer be sent, since its key is not valid or
  /// has another holder in the configuration in force.
  bool lostAccess(Exchange &Request) const;
  /// Ends a request that lostAccess().
  void refuseWithoutAccess(const ExchangePtr &Request);
  /// Target id of the key's owner; empty if keys don't matter or it is unknown.
  std::string ownerQueueId(const Exchange &Request) const;
  /// Counts a new request for its owner. False if it is refused because the
  /// demand of all hosts is far beyond what the owner can serve.
  bool admitsDemand(const std::string &OwnerId, const Exchange &Request);
  /// The ratio of the pool's requests at all hosts to those at this host.
  double totalDemandRatio() const;
  /// A request that would be answered later than this is not queued.
  TimePoint admissionLimit(const Exchange &Request) const;
  /// Moment at which a queued request is refused with a Retry-After.
  TimePoint waitDeadline(const Exchange &Request) const;
  /// Capacity and competition that determine the wait in an owner queue.
  QueueOutlook queueOutlook(const std::string &OwnerId) const;
  /// Moves queued requests to the queues of their new owners after the key
  /// table has changed.
  void requeueByOwner();
  /// Updates the target's load and the mean service time from an answer.
  void recordLoad(TargetNode &Target, const AttemptOutcome &Outcome,
                  bool Failed);
  /// Passes on the answer of a target that ran the request, or retries.
  void processAnswer(const ExchangePtr &Request, AttemptOutcome Outcome);
  /// Retries or refuses a request that the target stated it did not run.
  void retryUnexecuted(const ExchangePtr &Request, bool WrongOwner);
  /// Reserves one retry of the allowance for the request; false if it may not
  /// be sent again. Reason says why it would be.
  bool tryReserveRetry(Exchange &Request, const char *Reason);
  /// Gives the request its retry back, if it was one, since no target got it.
  void restoreRetry(Exchange &Request);
  RetryShare retryShare() const;
  /// Sends the request, and counts a retry that is reserved for it as sent.
  void send(const ExchangePtr &Request, const TargetNodePtr &Target,
            Milliseconds SlowAfter);
  /// Ends a request without success: refuses it if it has not run, else passes
  /// on the last failure of a target or answers with KindIfSent.
  void failRequest(const ExchangePtr &Request, ErrorKind KindIfSent,
                   const char *Reason);
  /// Answers TargetsBusy, which states that the request has not run. The
  /// Retry-After is the expected wait, but at least MinDelay.
  void refuse(const ExchangePtr &Request, const char *Reason,
              Duration MinDelay = Duration::zero());
  /// Time after which a send counts as slow; zero for never.
  Milliseconds slowAfter(const Exchange &Request,
                         const TargetNode &Target) const;

  const std::string m_Name;
  const Parts m_Parts;
  std::shared_ptr<RangeAssigner> m_Ownership;
  CustomerTablePtr m_Customers;
  /// Key table by which the requests are queued.
  KeyTablePtr m_QueuedByTable;
  /// Requests per second to a cold target, from all hosts; 0: no limit.
  double m_WarmupRate = 0;
  Duration m_TypicalServiceTime;
  size_t m_Unfinished = 0;
  /// Requests to be cancelled, since their callers have disconnected.
  std::vector<ExchangePtr> m_Disconnected;
  RetryWindow m_Retries;
  std::map<std::string, int64_t> m_RetriesSent;
  /// Moving average of the body bytes of a request and its answer.
  double m_MeanBytes = 0;
  /// Queued requests by target id of the owner; the empty id holds those
  /// without a known owner and all of a pool without key ownership.
  std::map<std::string, PoolQueue> m_OwnerQueues;
  ArrivalShare m_ArrivalShare;
  /// Demand for each owner, by its target id.
  std::map<std::string, DemandGate> m_Demand;
};

} // namespace monsoon

#endif
