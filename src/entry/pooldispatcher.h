#ifndef MONSOON_ENTRY_POOLDISPATCHER_H
#define MONSOON_ENTRY_POOLDISPATCHER_H

#include "core/errorkind.h"
#include "entry/exchange.h"
#include "entry/targetregistry.h"
#include "keyowner/rangekeeper.h"
#include "membership/hostmembership.h"
#include "policy/poolqueue.h"
#include "policy/retrywindow.h"
#include "policy/targetchooser.h"
#include "ports/metricssink.h"

#include <map>
#include <string>

namespace monsoon {

/// Limits that hold over all entry hosts together.
struct SharedLimits {
  RetryAllowance m_Retries;
  /// Part of a cold target's stated rate that is used.
  double m_ColdRatePart = 1.0;
};

/// The answer by which this host refuses or gives up a request. RetryAfter
/// zero leaves the field out.
HttpAnswer errorAnswer(ErrorKind Kind, const std::string &RequestId,
                       const std::string &Detail, Duration RetryAfter);

/// Takes the requests of one pool to its targets: places them, lets them wait,
/// refuses them, and judges what each failure proves.
class PoolDispatcher : public Exchange::Owner {
public:
  struct Parts {
    const Clock &m_Clock;
    TargetRegistry &m_Targets;
    HostMembership &m_Hosts;
    MetricsSink &m_Metrics;
    std::string m_HostName;
    std::string m_FailureDomain;
    SharedLimits m_Limits;
  };

  PoolDispatcher(std::string Name, const Parts &Shared);

  PoolDispatcher(const PoolDispatcher &) = delete;
  PoolDispatcher &operator=(const PoolDispatcher &) = delete;

  /// Null for a pool whose targets don't own keys.
  void setKeeper(RangeKeeper *Keeper) { m_Keeper = Keeper; }
  void setPool(const Pool &Value) { m_WarmRate = Value.policy().m_WarmRate; }

  void submit(const ExchangePtr &Request);
  /// Offers the waiting requests to targets that have room now, and refuses
  /// those that can't be served in time any more.
  void offerWaiting();
  bool hasWaiting() const;
  /// Adds the requests that wait for the owner of their key, by owner.
  void addWaiting(std::map<std::string, int> &ByTarget) const;
  /// Time that one request takes here, as lately measured.
  Duration usualTime() const { return m_Usual; }

  // Exchange::Owner
  void attemptDone(const ExchangePtr &Request, const TargetNodePtr &Target,
                   AttemptOutcome Outcome) override;
  void timeOver(const ExchangePtr &Request) override;
  void attemptSlow(const ExchangePtr &Request) override;
  void callerGone(const ExchangePtr &Request) override;
  void finished(const Exchange &Request, int Status,
                const char *Reason) override;

private:
  bool place(const ExchangePtr &Request);
  TargetNodePtr chooseTarget(const Exchange &Request) const;
  TargetNodePtr chooseOwner(const Exchange &Request) const;
  bool paceAllows(const TargetNode &Node, TimePoint Now) const;
  void placeOrWait(const ExchangePtr &Request);
  std::string laneOf(const Exchange &Request) const;
  /// A request that would be answered later than this is not made to wait.
  TimePoint waitLimit(const Exchange &Request) const;
  /// Moment at which a waiting request is told to come back.
  TimePoint giveUpAt(const Exchange &Request) const;
  /// What a request that waits in a lane has to reckon with.
  QueueOutlook outlookOf(const std::string &Lane) const;
  void sortLanes();
  void noteLoad(TargetNode &Target, const AttemptOutcome &Outcome, bool Failed);
  void judgeAnswer(const ExchangePtr &Request, AttemptOutcome Outcome);
  void retryNotRun(const ExchangePtr &Request, bool WrongOwner);
  bool mayRetry(const Exchange &Request);
  void giveUp(const ExchangePtr &Request, ErrorKind Lost, const char *Reason);
  void refuse(const ExchangePtr &Request, const char *Reason);
  Milliseconds slowAfter(const Exchange &Request,
                         const TargetNode &Target) const;

  const std::string m_Name;
  const Parts m_Parts;
  RangeKeeper *m_Keeper = nullptr;
  KeyTablePtr m_SortedBy;
  double m_WarmRate = 0;
  Duration m_Usual;
  RetryWindow m_Retries;
  /// Mean bytes of a request with its answer.
  double m_MeanBytes = 0;
  /// Waiting requests by owner; all under the empty name where keys don't
  /// matter.
  std::map<std::string, PoolQueue> m_Lanes;
};

} // namespace monsoon

#endif
