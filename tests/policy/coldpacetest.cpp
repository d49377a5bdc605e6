#include "policy/coldpace.h"

#include "absl/strings/str_cat.h"

#include <doctest.h>

#include <deque>
#include <vector>

using namespace monsoon;

namespace {

/// The most requests that reach one cold target within any second when every
/// host sends as fast as its pace allows.
size_t worstSecond(unsigned Hosts, double PerSecond) {
  std::set<std::string> Names;
  for (unsigned Index = 0; Index < Hosts; ++Index)
    Names.insert(absl::StrCat("host", Index));
  std::vector<ColdPace> Paces(Hosts);
  std::deque<TimePoint> Sent;
  size_t Worst = 0;
  TimePoint Now{std::chrono::seconds(100)};
  for (int Step = 0; Step < 6000; ++Step, Now += Milliseconds(1)) {
    unsigned Index = 0;
    for (const std::string &Name : Names) {
      ColdPace &Pace = Paces[Index++];
      const HostShare Share(Name, Names, true);
      if (!Pace.maySend(Now, PerSecond, Share, "target"))
        continue;
      Pace.noteSent(Now);
      Sent.push_back(Now);
    }
    while (!Sent.empty() && Sent.front() <= Now - std::chrono::seconds(1))
      Sent.pop_front();
    Worst = std::max(Worst, Sent.size());
  }
  return Worst;
}

} // namespace

TEST_SUITE("cold-start") {
  TEST_CASE("all hosts together keep to what a cold target bears") {
    // 5.3 and 9.6 a second are what the users' targets bear.
    for (const double PerSecond : {5.3, 9.6})
      for (const unsigned Hosts : {1U, 2U, 5U, 7U, 23U, 60U}) {
        INFO(Hosts << " hosts, " << PerSecond << " a second");
        CHECK(worstSecond(Hosts, PerSecond) <=
              static_cast<size_t>(PerSecond * 1.5 + 5));
        CHECK(worstSecond(Hosts, PerSecond) >= 1);
      }
  }

  TEST_CASE("a host out of touch sends a cold target nothing") {
    const HostShare Share("a", {"a", "b"}, false);
    CHECK(!ColdPace().maySend(TimePoint{std::chrono::seconds(1)}, 100, Share,
                              "target"));
  }
}
