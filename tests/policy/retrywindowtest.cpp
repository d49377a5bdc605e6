#include "policy/retrywindow.h"

#include <doctest.h>

#include <vector>

using namespace monsoon;
using std::chrono::seconds;

namespace {

const TimePoint Start{seconds(100)};
/// The start of a process whose first window is over at Start.
const TimePoint Before{seconds(50)};

/// Reserves and sends a retry.
bool spend(RetryWindow &Window, TimePoint Now, const RetryShare &Share) {
  if (!Window.reserve(Now, Share))
    return false;
  Window.noteSent(Now);
  return true;
}

} // namespace

TEST_CASE("five hosts together stay within the allowance of a window") {
  // 62 retries plus a fifth of the requests in any 10 s.
  const RetryAllowance Allowance{0.2, 62, seconds(10)};
  std::vector<RetryWindow> Hosts(5, RetryWindow(Allowance, Before));
  TimePoint Now = Start;
  int Requests = 0;
  int Retries = 0;
  for (int Step = 0; Step < 10'000; ++Step, Now += Milliseconds(1)) {
    RetryWindow &Host = Hosts[static_cast<size_t>(Step) % Hosts.size()];
    Host.noteRequest(Now);
    ++Requests;
    while (spend(Host, Now, {0.2}))
      ++Retries;
  }
  CHECK(Retries <= 0.2 * Requests + 62);
  CHECK(Retries > 0.1 * Requests);
}

TEST_CASE("requests older than the window allow no retries") {
  RetryWindow Window({0.5, 0, seconds(10)}, Before);
  for (int Count = 0; Count < 10; ++Count)
    Window.noteRequest(Start);
  CHECK(spend(Window, Start + seconds(1), {1}));
  CHECK(!spend(Window, Start + seconds(12), {1}));
  CHECK(Window.denied() == 1);
}

// Guards against retries that are allowed over 12 s and arrive within 10.
TEST_CASE("a reserved retry counts until it is sent, and from then on for the "
          "window") {
  RetryWindow Window({0, 2, seconds(10)}, Before);
  REQUIRE(Window.reserve(Start, {1}));
  CHECK(!Window.reserve(Start + seconds(11), {1}));
  Window.noteSent(Start + seconds(11));
  CHECK(!Window.reserve(Start + seconds(20), {1}));
  CHECK(Window.reserve(Start + seconds(22), {1}));
}

TEST_CASE("a retry that is given back or did not arrive can be used again") {
  RetryWindow Window({0, 2, seconds(10)}, Before);
  REQUIRE(Window.reserve(Start, {1}));
  Window.giveBack();
  REQUIRE(Window.reserve(Start, {1}));
  Window.noteSent(Start);
  Window.noteNotSent(Start);
  CHECK(Window.spent(Start) == 1);
  Window.noteSent(Start + seconds(9));
  CHECK(!Window.reserve(Start + seconds(18), {1}));
  CHECK(Window.reserve(Start + seconds(20), {1}));
}

TEST_CASE("a host without a part of the slack retries by its own requests "
          "alone") {
  RetryWindow Window({0.5, 1000, seconds(10)}, Before);
  CHECK(!Window.reserve(Start, {0}));
  for (int Count = 0; Count < 10; ++Count)
    Window.noteRequest(Start);
  CHECK(Window.reserve(Start, {0}));
}

// Guards against retries that are forgotten with the process that sent them.
TEST_CASE("what a process and its successor spend stays within the allowance") {
  const RetryAllowance Allowance{0.2, 60, seconds(10)};
  RetryWindow Former(Allowance, Before);
  for (int Count = 0; Count < 3000; ++Count)
    Former.noteRequest(Start);
  int Retries = 0;
  while (spend(Former, Start, {1}))
    ++Retries;
  RetryWindow Next(Allowance, Start);
  for (int Count = 0; Count < 3000; ++Count)
    Next.noteRequest(Start + seconds(1));
  while (spend(Next, Start + seconds(9), {1}))
    ++Retries;
  CHECK(Retries <= 660);
  CHECK(Retries >= 528);
  // A window later it uses its whole part.
  for (int Count = 0; Count < 3000; ++Count)
    Next.noteRequest(Start + seconds(11));
  int Later = 0;
  while (spend(Next, Start + seconds(20), {1}))
    ++Later;
  CHECK(Later >= 400);
}

TEST_CASE("a new process uses more of its part if most hosts are not new") {
  const RetryAllowance Allowance{0.2, 0, seconds(10)};
  int Former = 0;
  for (const double NewHosts : {1.0, 0.5, 0.25}) {
    CAPTURE(NewHosts);
    RetryWindow Window(Allowance, Start);
    for (int Count = 0; Count < 1000; ++Count)
      Window.noteRequest(Start + seconds(1));
    int Retries = 0;
    while (spend(Window, Start + seconds(2), {0, NewHosts}))
      ++Retries;
    CHECK(Retries > Former);
    // All new processes together use no more than what the former ones left.
    CHECK(Retries * NewHosts <= 0.2 * 0.2 * 1000);
    Former = Retries;
  }
}
