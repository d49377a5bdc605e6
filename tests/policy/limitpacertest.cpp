#include "policy/limitpacer.h"

#include <doctest.h>

#include <algorithm>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace monsoon;

namespace {

constexpr Milliseconds Window{4000};
constexpr std::chrono::minutes Length{3};

std::set<std::string> hostNames(int Count) {
  std::set<std::string> Names;
  for (int Number = 0; Number < Count; ++Number)
    Names.insert("host-" + std::to_string(Number));
  return Names;
}

/// Arrivals at a target from hosts that all have more requests than they may
/// send, from when they know its limit on.
std::vector<TimePoint> arrivals(double PerSecond, int Hosts,
                                std::mt19937 &Random) {
  const std::set<std::string> Names = hostNames(Hosts);
  std::uniform_int_distribution<int> LearntMs(0, 4000);
  std::uniform_int_distribution<int> TransitMs(1, 100);
  std::vector<TimePoint> Result;
  for (const std::string &Each : Names) {
    const HostShare Share(Each, Names, true);
    const Duration Interval = LimitPacer::interval(PerSecond, Share, "target");
    TimePoint Sent = TimePoint{} + Milliseconds(LearntMs(Random));
    while (Sent < TimePoint{} + Length) {
      Sent += Interval;
      Result.push_back(Sent + Milliseconds(TransitMs(Random)));
    }
  }
  std::sort(Result.begin(), Result.end());
  return Result;
}

} // namespace

TEST_CASE("all hosts together stay within a target's limit") {
  // Guards against a limit that each host applies for itself.
  std::mt19937 Random(7);
  for (const double PerSecond : {0.0, 0.5, 1.0, 2.0, 3.0, 10.0, 100.0})
    for (const int Hosts : {1, 5, 23, 118}) {
      const std::vector<TimePoint> All = arrivals(PerSecond, Hosts, Random);
      size_t Most = 0;
      size_t First = 0;
      for (size_t Last = 0; Last < All.size(); ++Last) {
        while (All[Last] - All[First] > Window)
          ++First;
        Most = std::max(Most, Last - First + 1);
      }
      CAPTURE(PerSecond);
      CAPTURE(Hosts);
      CHECK(static_cast<double>(Most) <= 1.5 * 4 * PerSecond + 5);
    }
}

TEST_CASE("hosts that send all they may use most of a target's limit") {
  std::mt19937 Random(8);
  for (const double PerSecond : {1.0, 2.0, 10.0, 100.0})
    for (const int Hosts : {1, 5, 23, 118}) {
      const auto Count =
          static_cast<double>(arrivals(PerSecond, Hosts, Random).size());
      CAPTURE(PerSecond);
      CAPTURE(Hosts);
      CHECK(Count >=
            0.8 * PerSecond * std::chrono::duration<double>(Length).count());
    }
}

TEST_CASE("a host that is cut off from the others hardly uses a limit") {
  const HostShare Alone("host-0", hostNames(5), false);
  CHECK(LimitPacer::interval(2, Alone, "target") >= std::chrono::seconds(4));
}
