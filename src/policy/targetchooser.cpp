#include "policy/targetchooser.h"

#include <algorithm>
#include <limits>

namespace monsoon {

namespace {

/// Requests that a target may have beyond its slots; one keeps it busy while
/// the next answer is in transit.
constexpr double QueuedPerTarget = 1;
/// Hosts with the same knowledge would all choose the same target until they
/// get each other's load reports. Each host therefore counts some targets as
/// slower, by up to this fraction.
constexpr double MaxBias = 1;
/// Penalty factor for a target that the request was sent to before.
constexpr double RepeatFactor = 1000;

/// Factor for another failure domain at zero bytes.
constexpr double BaseCrossDomainFactor = 1.2;
/// Increase of the factor per byte: 90 KB, a usual download, make it about 10.
constexpr double CrossDomainFactorPerByte = 1e-4;

} // namespace

double TargetChooser::crossDomainFactor(double Bytes) {
  return BaseCrossDomainFactor + CrossDomainFactorPerByte * Bytes;
}

bool TargetChooser::hasCapacity(const TargetLoad &Load, TimePoint Now) {
  if (Load.isEjected(Now))
    return false;
  if (Load.isOnProbation())
    return Load.inFlight() == 0;
  return Load.inFlight() + Load.peersInFlight(Now) <
         Load.slots() + QueuedPerTarget;
}

int TargetChooser::choose(const std::vector<Candidate> &Candidates,
                          TimePoint Now, Duration Usual, bool MayRepeat) const {
  int Best = -1;
  double BestTime = std::numeric_limits<double>::max();
  for (size_t Index = 0; Index < Candidates.size(); ++Index) {
    const Candidate &Each = Candidates[Index];
    if (!Each.m_PaceAllows || !hasCapacity(*Each.m_Load, Now))
      continue;
    if (Each.m_WasTried && !MayRepeat)
      continue;
    double Time =
        static_cast<double>(Each.m_Load->expectedTime(Now, Usual).count());
    Time *= Each.m_IsSameDomain ? 1 : m_CrossDomainFactor;
    Time *= 1 + MaxBias * Each.m_Bias;
    Time *= Each.m_WasTried ? RepeatFactor : 1;
    if (Time < BestTime) {
      BestTime = Time;
      Best = static_cast<int>(Index);
    }
  }
  return Best;
}

} // namespace monsoon
