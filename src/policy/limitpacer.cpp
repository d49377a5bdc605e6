#include "policy/limitpacer.h"

#include "core/keyspace.h"

#include <algorithm>
#include <cmath>

namespace monsoon {

namespace {

constexpr std::chrono::seconds Window{4};
/// Requests that were sent this much further apart can arrive within Window.
constexpr Milliseconds ArrivalJitter{250};
constexpr double FractionWithoutShare = 0.25;
/// Before it is spread.
constexpr std::chrono::minutes LongestInterval{10};
constexpr uint64_t SpreadSteps = 1024;

} // namespace

Duration LimitPacer::interval(double PerSecond, const HostShare &Share,
                              const std::string &TargetId) {
  const double InWindow =
      std::floor(PerSecond * std::chrono::duration<double>(Window).count());
  const int Own = Share.of(static_cast<int>(InWindow), TargetId);
  if (Own > 0)
    return Duration(Window + ArrivalJitter) / Own;
  // The hosts learn of the limit at about the same time; spread, so that they
  // do not ask together again.
  const double Spread =
      0.5 + static_cast<double>(
                mixHash(stableHash(TargetId), stableHash(Share.self())) %
                SpreadSteps) /
                SpreadSteps;
  const double Seconds = std::min(
      std::chrono::duration<double>(LongestInterval).count(),
      static_cast<double>(Share.hosts()) / (FractionWithoutShare * PerSecond));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Spread * Seconds));
}

} // namespace monsoon
