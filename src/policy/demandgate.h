#ifndef MONSOON_POLICY_DEMANDGATE_H
#define MONSOON_POLICY_DEMANDGATE_H

#include "core/timepoint.h"

#include <cstddef>
#include <cstdint>

namespace monsoon {

/// Limits how many requests for one owner this host admits while the demand of
/// all hosts is far beyond what the owner can serve.
///
/// Answers the load of a hot key: hundreds of requests a second for a target
/// that serves ten, spread over many hosts that learn of each other's requests
/// only after several service times. Whatever a host decides from such reports,
/// all others decide at the same moment, so that either far too many requests
/// are sent or none. Each host therefore admits the fraction of its own
/// arrivals that the owner can serve, and refuses the others at once. Replayed
/// by demandgatetest.
class DemandGate {
public:
  /// Counts a request for the owner that arrived at this host. To be called
  /// after admits() for that request.
  void noteArrival(TimePoint Now);
  /// Requests a second for the owner that arrive at this host.
  double arrivalRate(TimePoint Now) const;
  /// True if a request may wait for the owner or be sent to it. ServedRate is
  /// what the owner can serve in requests a second, TotalRatio the ratio of the
  /// demand at all hosts to that here. RequestHash decides which requests are
  /// admitted.
  bool admits(TimePoint Now, double ServedRate, double TotalRatio,
              uint64_t RequestHash) const;

private:
  double m_Rate = 0;
  TimePoint m_RateAt{};
};

} // namespace monsoon

#endif
