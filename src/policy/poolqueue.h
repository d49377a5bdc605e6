#ifndef MONSOON_POLICY_POOLQUEUE_H
#define MONSOON_POLICY_POOLQUEUE_H

#include "core/timepoint.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace monsoon {

/// A request that waits for a target, as the queue sees it.
class QueuedRequest {
public:
  virtual ~QueuedRequest() = default;
  /// Rank under overload; 0 goes first.
  virtual int priority() const = 0;
  /// Moment until which an answer is fully useful.
  virtual TimePoint objective() const = 0;
  /// Moment from which an answer is of no use.
  virtual TimePoint deadline() const = 0;
};

/// What a request that waits has to reckon with.
struct QueueOutlook {
  /// Time that the work of one request takes.
  Duration m_Service{};
  /// Requests that are served side by side.
  double m_Room = 1;
  /// Requests that wait at other hosts for the same room.
  double m_Elsewhere = 0;
  /// Hosts that compete for it, this one included.
  size_t m_Hosts = 1;
};

/// The requests of one pool that wait for a target: by rank, then in order of
/// arrival; those that can't be answered by their objective any more come last,
/// so that late work does not make further work late. Answers bursts: what
/// can't be served in time is refused when it arrives, not when its time is
/// over.
class PoolQueue {
public:
  using Item = std::shared_ptr<QueuedRequest>;

  /// True when a request of that rank, if it waited now, would be answered
  /// by a moment. While the others' counts are on their way, a host admits no
  /// more than a few times its own part.
  bool wouldServeBy(TimePoint Moment, TimePoint Now, int Priority,
                    const QueueOutlook &Outlook) const;
  /// Time after which a place is expected for a request of that rank.
  Duration expectedWait(TimePoint Now, int Priority,
                        const QueueOutlook &Outlook) const;
  void add(Item Request);
  /// Removes a request; false if it does not wait.
  bool remove(const QueuedRequest *Request);

  /// Removes and returns the requests that are over.
  std::vector<Item>
  takeIf(const std::function<bool(const QueuedRequest &)> &IsOver);
  /// Offers the waiting requests in order; each that is taken leaves the
  /// queue. Offering ends when Stop is returned. Service is the time that one
  /// takes.
  enum class Verdict { Taken, Waits, Stop };
  void offer(TimePoint Now, Duration Service,
             const std::function<Verdict(const Item &)> &Take);

  size_t size() const { return m_Items.size(); }
  bool isEmpty() const { return m_Items.empty(); }

private:
  /// Waiting requests that go before one of that rank.
  size_t ahead(TimePoint Now, int Priority, Duration Service) const;

  std::list<Item> m_Items;
};

} // namespace monsoon

#endif
