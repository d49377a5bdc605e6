#include "policy/arrivalshare.h"

#include <algorithm>
#include <cmath>

namespace monsoon {

namespace {

/// Time constant of the moving average, that of the rate of all hosts, so that
/// both follow a change alike.
constexpr double AverageSeconds = 3.5;
/// Fewer recent arrivals than this say too little.
constexpr double MinRecentArrivals = 20;
/// A host with less than its equal part counts for at most this many.
constexpr double MaxHostMultiple = 2;

} // namespace

void ArrivalShare::noteArrival(TimePoint Now) {
  m_PerSecond = rateAt(Now) + 1 / AverageSeconds;
  m_RateAt = Now;
}

double ArrivalShare::rateAt(TimePoint Now) const {
  return m_PerSecond *
         std::exp(-std::chrono::duration<double>(Now - m_RateAt).count() /
                  AverageSeconds);
}

double ArrivalShare::totalRatio(TimePoint Now, double AllPerSecond,
                                size_t Hosts) const {
  const double Count = static_cast<double>(std::max<size_t>(Hosts, 1));
  const double Own = rateAt(Now);
  if (Own * AverageSeconds < MinRecentArrivals)
    return Count;
  return std::clamp(AllPerSecond / Own, 1.0, MaxHostMultiple * Count);
}

} // namespace monsoon
