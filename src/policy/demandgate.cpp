#include "policy/demandgate.h"

#include <cmath>

namespace monsoon {

namespace {

/// Time constant of the moving average of the arrivals.
constexpr double AverageSeconds = 1.5;
/// Fewer recent arrivals than this say too little about the demand at all
/// hosts.
constexpr double MinRecentArrivals = 4;
/// Below this multiple of what the owner can serve, queue and reports of the
/// peers suffice.
constexpr double OverloadMultiple = 2;
/// Requests are admitted up to this multiple of what the owner can serve, so
/// that it stays busy although the rates are estimates.
constexpr double AdmittedMultiple = 1.5;
/// Resolution of the admitted fraction.
constexpr uint64_t HashSteps = 10'000;

double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

} // namespace

void DemandGate::noteArrival(TimePoint Now) {
  m_Rate = arrivalRate(Now) + 1 / AverageSeconds;
  m_RateAt = Now;
}

double DemandGate::arrivalRate(TimePoint Now) const {
  return m_Rate * std::exp(-secondsBetween(m_RateAt, Now) / AverageSeconds);
}

bool DemandGate::admits(TimePoint Now, double ServedRate, double TotalRatio,
                        uint64_t RequestHash) const {
  const double OwnRate = arrivalRate(Now);
  const double Demand = OwnRate * TotalRatio;
  if (OwnRate * AverageSeconds < MinRecentArrivals ||
      Demand <= OverloadMultiple * ServedRate)
    return true;
  const double Fraction = AdmittedMultiple * ServedRate / Demand;
  return static_cast<double>(RequestHash % HashSteps) <
         Fraction * static_cast<double>(HashSteps);
}

} // namespace monsoon
