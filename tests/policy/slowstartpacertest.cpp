#include "policy/slowstartpacer.h"

#include "absl/strings/str_cat.h"

#include <doctest.h>

#include <deque>
#include <vector>

using namespace monsoon;

namespace {

/// Returns the highest number of requests that reach one cold target within any
/// second when every host sends as fast as its pace allows.
size_t maxPerSecond(unsigned Hosts, double PerSecond) {
  std::set<std::string> Names;
  for (unsigned Index = 0; Index < Hosts; ++Index)
    Names.insert(absl::StrCat("host", Index));
  std::vector<SlowStartPacer> Paces(Hosts);
  std::deque<TimePoint> Sent;
  size_t Max = 0;
  TimePoint Now{std::chrono::seconds(100)};
  for (int Step = 0; Step < 6000; ++Step, Now += Milliseconds(1)) {
    unsigned Index = 0;
    for (const std::string &Name : Names) {
      SlowStartPacer &Pace = Paces[Index++];
      const HostShare Share(Name, Names, true);
      if (!Pace.maySend(Now, PerSecond, Share, "target"))
        continue;
      Pace.noteSent(Now);
      Sent.push_back(Now);
    }
    while (!Sent.empty() && Sent.front() <= Now - std::chrono::seconds(1))
      Sent.pop_front();
    Max = std::max(Max, Sent.size());
  }
  return Max;
}

} // namespace

TEST_SUITE("cold-start") {
  TEST_CASE("all hosts together stay within the capacity of a cold target") {
    // The users' targets take 5.3 and 9.6 requests per second when cold.
    for (const double PerSecond : {5.3, 9.6})
      for (const unsigned Hosts : {1U, 2U, 5U, 7U, 23U, 60U}) {
        INFO(Hosts << " hosts, " << PerSecond << " per second");
        CHECK(maxPerSecond(Hosts, PerSecond) <=
              static_cast<size_t>(PerSecond * 1.5 + 5));
        CHECK(maxPerSecond(Hosts, PerSecond) >= 1);
      }
  }

  TEST_CASE("an isolated host sends no requests to a cold target") {
    const HostShare Share("a", {"a", "b"}, false);
    CHECK(!SlowStartPacer().maySend(TimePoint{std::chrono::seconds(1)}, 100,
                                    Share, "target"));
  }
}
