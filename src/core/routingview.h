#ifndef MONSOON_CORE_ROUTINGVIEW_H
#define MONSOON_CORE_ROUTINGVIEW_H

#include "core/errorkind.h"
#include "core/ownershipmessages.h"

#include "absl/synchronization/mutex.h"

#include <string>
#include <variant>
#include <vector>

namespace monsoon {

/// Permission to send one request to the owner of its range.
struct RoutingPermit {
  std::string m_Server;
  RangeId m_Range = 0;
  GroupVersion m_Fence = 0;
  /// Expiry: from then on this request no longer delays a new owner.
  TimePoint m_Until;
};

/// An entry host's view of range ownership in one pool: the owner of each range
/// and the time until which the host may route by it. Only heartbeats of the
/// decider change the owners and extend that time. Requests in flight are
/// counted per range, so that a handover waits for them instead of cutting them
/// off. Safe for concurrent use.
class RoutingView {
public:
  /// Number of ranges in the view; zero before the first heartbeat of a
  /// decider.
  uint32_t rangeCount() const;

  /// Permits a request for a range, which then counts as in flight until
  /// finish(). Fails with ViewStale when the view has expired or does not
  /// contain the range, with OwnerUnknown while the range has no owner or its
  /// handover is pending.
  std::variant<RoutingPermit, ErrorKind> begin(RangeId Range, TimePoint Now);

  /// Whether the permission is still valid. Called right before a request is
  /// sent.
  bool isStillValid(const RoutingPermit &Permit, TimePoint Now) const;

  /// Ends a request that begin() permitted. Settled is true when the request
  /// can't be running any more; otherwise it counts as in flight until its
  /// permission expires.
  void finish(const RoutingPermit &Permit, bool Settled);

  /// Applies a heartbeat of the decider. The stamp that it echoes is a
  /// reading of this host's clock.
  void apply(const Heartbeat &Message);

  /// Term of the view.
  Term term() const;
  /// Version of the view within its term; zero for any other term.
  uint64_t sequence(Term Number) const;

  /// Pending ranges with requests in flight or possibly still running.
  std::vector<RangeId> busyRanges(TimePoint Now) const;

  /// Time until which requests may be routed by the view.
  TimePoint validUntil() const;

  /// The owner of each range, for reports.
  std::vector<ViewEntry> entries() const;

private:
  struct RangeEntry {
    std::string m_Server;
    GroupVersion m_Fence = 0;
    bool m_Pending = true;
    int m_InFlight = 0;
    /// Latest expiry of a finished request that may still be running.
    TimePoint m_UnsettledExpiry;
  };

  mutable absl::Mutex m_Mutex;
  Term m_Term ABSL_GUARDED_BY(m_Mutex) = 0;
  uint64_t m_Seq ABSL_GUARDED_BY(m_Mutex) = 0;
  TimePoint m_RoutingExpiry ABSL_GUARDED_BY(m_Mutex);
  std::vector<RangeEntry> m_Ranges ABSL_GUARDED_BY(m_Mutex);
};

/// Converts between time points of this process's clock and stamps.
Stamp toStamp(TimePoint Moment);
TimePoint fromStamp(Stamp Value);

} // namespace monsoon

#endif
