#include "policy/targetchooser.h"

#include <algorithm>
#include <limits>

namespace monsoon {

namespace {

/// Requests beyond the slots that a target may hold: one keeps it busy while
/// the next answer travels.
constexpr double QueuedAhead = 1;
/// Hosts that know the same would all choose the same target until they hear of
/// each other; so each of them counts some targets as slower, by up to this
/// part.
constexpr double LargestReserve = 1;
/// Penalty for a target that was tried before.
constexpr double RepeatFactor = 1000;

/// Factor for another failure domain without any bytes.
constexpr double ShortDistance = 1.2;
/// What each byte adds to it: 90 KB, a usual download, make it about 10.
constexpr double DistancePerByte = 1e-4;

} // namespace

double TargetChooser::distanceFactor(double Bytes) {
  return ShortDistance + DistancePerByte * Bytes;
}

bool TargetChooser::hasRoom(const TargetLoad &Load, TimePoint Now) {
  if (Load.isSuspended(Now))
    return false;
  if (Load.isOnTrial())
    return Load.inFlight() == 0;
  return Load.inFlight() + Load.othersInFlight(Now) <
         Load.slots() + QueuedAhead;
}

int TargetChooser::choose(const std::vector<Candidate> &Candidates,
                          TimePoint Now, Duration Usual, bool MayRepeat) const {
  int Best = -1;
  double BestTime = std::numeric_limits<double>::max();
  for (size_t Index = 0; Index < Candidates.size(); ++Index) {
    const Candidate &Each = Candidates[Index];
    if (!Each.m_PaceAllows || !hasRoom(*Each.m_Load, Now))
      continue;
    if (Each.m_TriedBefore && !MayRepeat)
      continue;
    double Time =
        static_cast<double>(Each.m_Load->expectedTime(Now, Usual).count());
    Time *= Each.m_SameDomain ? 1 : m_DistanceFactor;
    Time *= 1 + LargestReserve * Each.m_Reserve;
    Time *= Each.m_TriedBefore ? RepeatFactor : 1;
    if (Time < BestTime) {
      BestTime = Time;
      Best = static_cast<int>(Index);
    }
  }
  return Best;
}

} // namespace monsoon
