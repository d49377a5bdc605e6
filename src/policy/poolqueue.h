#ifndef MONSOON_POLICY_POOLQUEUE_H
#define MONSOON_POLICY_POOLQUEUE_H

#include "core/timepoint.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace monsoon {

/// A request that waits for a target, as PoolQueue needs it.
class QueuedRequest {
public:
  virtual ~QueuedRequest() = default;
  /// Priority under overload; 0 is served first.
  virtual int priority() const = 0;
  /// Time until which an answer is fully useful.
  virtual TimePoint objective() const = 0;
  /// Time from which an answer is useless.
  virtual TimePoint deadline() const = 0;
};

/// The capacity that a queue waits for and the competition for it; input of
/// the wait estimates.
struct QueueOutlook {
  /// Time to serve one request.
  Duration m_ServiceTime{};
  /// Number of requests that are served concurrently.
  double m_Concurrency = 1;
  /// Number of requests that wait at peers for the same capacity.
  double m_PeersWaiting = 0;
  /// Number of entry hosts that compete for it, including this one.
  size_t m_Hosts = 1;
  /// Least time between two requests that this host may send, and the time
  /// until the next one; zero if only the capacity matters.
  Duration m_SendInterval{};
  Duration m_UntilNextSend{};
};

/// The requests of one pool that wait for a target, ordered by priority, then
/// by arrival. Requests that can no longer meet their objective are offered
/// last, so that they don't delay requests that still can. During bursts,
/// wouldServeBy() lets the caller refuse a request on arrival instead of
/// letting it time out in the queue.
class PoolQueue {
public:
  using Item = std::shared_ptr<QueuedRequest>;

  /// True if a request of this priority that joins the queue now is expected
  /// to be answered by Moment, and the queue has not reached this host's
  /// admission limit. The limit is a few times the host's even share of what
  /// can be served by then; it bounds the total of all hosts while their counts
  /// of waiting requests have not arrived yet.
  bool wouldServeBy(TimePoint Moment, TimePoint Now, int Priority,
                    const QueueOutlook &Outlook) const;
  /// Expected time in the queue of a request of this priority that joins now.
  Duration expectedWait(TimePoint Now, int Priority,
                        const QueueOutlook &Outlook) const;
  void add(Item Request);
  /// Removes a request; returns false if it is not in the queue.
  bool remove(const QueuedRequest *Request);

  /// Removes and returns the requests for which the predicate is true.
  std::vector<Item> takeIf(const std::function<bool(QueuedRequest &)> &Matches);
  /// What offer() does with a request: Taken removes it from the queue, Waits
  /// keeps it, Stop keeps it and ends the iteration.
  enum class Verdict { Taken, Waits, Stop };
  /// Calls Take for the queued requests in order: first those that can meet
  /// their objective, then the others. Service is the time to serve one
  /// request.
  void offer(TimePoint Now, Duration Service,
             const std::function<Verdict(const Item &)> &Take);

  size_t size() const { return m_Items.size(); }
  bool isEmpty() const { return m_Items.empty(); }

private:
  /// Number of queued requests that are served before a new one of this
  /// priority.
  size_t countAhead(TimePoint Now, int Priority, Duration Service) const;

  std::list<Item> m_Items;
};

} // namespace monsoon

#endif
