#include "policy/retrywindow.h"

#include <doctest.h>

#include <vector>

using namespace monsoon;
using std::chrono::seconds;

TEST_CASE("five hosts together stay within the allowance of a window") {
  // 62 retries plus a fifth of the requests in any 10 s.
  const RetryAllowance Allowance{0.2, 62, seconds(10)};
  std::vector<RetryWindow> Hosts(5, RetryWindow(Allowance));
  TimePoint Now{seconds(100)};
  int Requests = 0;
  int Retries = 0;
  for (int Step = 0; Step < 10'000; ++Step, Now += Milliseconds(1)) {
    RetryWindow &Host = Hosts[static_cast<size_t>(Step) % Hosts.size()];
    Host.noteRequest(Now);
    ++Requests;
    while (Host.spend(Now, Hosts.size()))
      ++Retries;
  }
  CHECK(Retries <= 0.2 * Requests + 62);
  CHECK(Retries > 0.1 * Requests);
}

TEST_CASE("requests older than the window allow no retries") {
  RetryWindow Window({0.5, 0, seconds(10)});
  const TimePoint Start{seconds(100)};
  for (int Count = 0; Count < 10; ++Count)
    Window.noteRequest(Start);
  CHECK(Window.spend(Start + seconds(1), 1));
  CHECK(!Window.spend(Start + seconds(12), 1));
}
