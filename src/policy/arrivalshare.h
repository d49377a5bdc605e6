#ifndef MONSOON_POLICY_ARRIVALSHARE_H
#define MONSOON_POLICY_ARRIVALSHARE_H

#include "core/timepoint.h"

#include <cstddef>

namespace monsoon {

/// Measures which part of a pool's requests reaches this host.
///
/// Answers the load of callers that keep their connections: after hosts were
/// stopped and started again, most connections may stay at one of them. That
/// host must not take its own arrivals times the number of hosts for the demand
/// of all, or it refuses requests that the targets have capacity for.
class ArrivalShare {
public:
  /// Counts a request that arrived at this host.
  void noteArrival(TimePoint Now);

  /// The ratio of the requests at all hosts to those at this host. AllPerSecond
  /// is the rate at all hosts, by an average over some seconds; Hosts is their
  /// number, which is the result while too few requests have arrived here.
  double totalRatio(TimePoint Now, double AllPerSecond, size_t Hosts) const;

private:
  double rateAt(TimePoint Now) const;

  double m_PerSecond = 0;
  TimePoint m_RateAt{};
};

} // namespace monsoon

#endif
