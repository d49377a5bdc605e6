#include "policy/targetchooser.h"

#include <doctest.h>

using namespace monsoon;
using std::chrono::seconds;

namespace {

constexpr Milliseconds Usual{100};
const TimePoint Start{seconds(100)};

void answer(TargetLoad &Load, TimePoint Now, Milliseconds Elapsed) {
  Load.noteSent(Now);
  Load.noteAnswered(Now, Elapsed, Usual, false);
}

} // namespace

TEST_CASE(
    "a slow target is expected to take longer until the measurement is old") {
  TargetLoad Slow(4);
  for (int Count = 0; Count < 20; ++Count)
    answer(Slow, Start, Milliseconds(400));
  CHECK(Slow.expectedTime(Start, Usual) > 3 * Usual);
  CHECK(Slow.expectedTime(Start + seconds(40), Usual) < 2 * Usual);
}

TEST_CASE(
    "requests of peers are known from the load report and decay with time") {
  TargetLoad Load(4);
  Load.noteReport(Start, {4, 2, 4, 1});
  CHECK(Load.peersInFlight(Start) >= 6);
  CHECK(!TargetChooser::hasCapacity(Load, Start));
  CHECK(TargetChooser::hasCapacity(Load, Start + seconds(1)));
}

TEST_CASE("a load report of a straggler moves work to another target") {
  TargetLoad A(4);
  TargetLoad B(4);
  A.noteReport(Start, {0, 0, 4, 3.0});
  B.noteReport(Start, {0, 0, 4, 1.0});
  const TargetChooser Chooser(1.25);
  CHECK(Chooser.choose({{&A}, {&B}}, Start, Usual, false) == 1);
}

TEST_CASE(
    "two sends without an answer eject a target; then it gets one request") {
  TargetLoad Load(4);
  for (int Count = 0; Count < 2; ++Count) {
    Load.noteSent(Start);
    Load.noteLost(Start, true);
  }
  CHECK(!TargetChooser::hasCapacity(Load, Start));
  const TimePoint Later = Load.ejectedUntil() + Milliseconds(1);
  CHECK(TargetChooser::hasCapacity(Load, Later));
  Load.noteSent(Later);
  CHECK(!TargetChooser::hasCapacity(Load, Later));
  Load.noteAnswered(Later, Usual, Usual, false);
  CHECK(TargetChooser::hasCapacity(Load, Later));
}

TEST_CASE(
    "a caller that disconnects does not count as a failure of the target") {
  TargetLoad Load(4);
  for (int Count = 0; Count < 5; ++Count) {
    Load.noteSent(Start);
    Load.noteLost(Start, false);
  }
  CHECK(TargetChooser::hasCapacity(Load, Start));
  CHECK(Load.failureRate(Start) == doctest::Approx(0));
}

TEST_CASE(
    "a healthy target is preferred to one that fails part of its requests") {
  TargetLoad PartlyFailing(4);
  TargetLoad Healthy(4);
  for (int Count = 0; Count < 10; ++Count) {
    PartlyFailing.noteSent(Start);
    PartlyFailing.noteAnswered(Start, Milliseconds(10), Milliseconds(10),
                               Count % 2 == 0);
  }
  answer(Healthy, Start, Milliseconds(15));
  const TargetChooser Chooser(1.25);
  CHECK(Chooser.choose({{&PartlyFailing}, {&Healthy}}, Start, Milliseconds(15),
                       false) == 1);
}

TEST_CASE("a target in the same failure domain is preferred unless it is much "
          "busier") {
  TargetLoad Near(4);
  TargetLoad Far(4);
  const TargetChooser Chooser(1.25);
  CHECK(Chooser.choose({{&Far, false}, {&Near, true}}, Start, Usual, false) ==
        1);
  Near.noteReport(Start, {4, 0, 4, 1});
  CHECK(Chooser.choose({{&Far, false}, {&Near, true}}, Start, Usual, false) ==
        0);
}

TEST_CASE(
    "a target that was tried is chosen again only if repeats are allowed") {
  TargetLoad Only(4);
  const TargetChooser Chooser(1.25);
  CHECK(Chooser.choose({{&Only, true, true, true}}, Start, Usual, false) == -1);
  CHECK(Chooser.choose({{&Only, true, true, true}}, Start, Usual, true) == 0);
}

TEST_CASE("a slow machine is recognized from its first report") {
  TargetLoad Slow(4);
  TargetLoad Fast(4);
  Slow.noteReport(Start, {0, 0, 4, 1.6});
  Fast.noteReport(Start, {0, 0, 4, 0.7});
  CHECK(Slow.baselineSlowdown(Start) == doctest::Approx(1.6));
  CHECK(Fast.serviceTime(Start, Usual) < Slow.serviceTime(Start, Usual) / 2);
  // Passing load of its neighbours does not change its baseline.
  Fast.noteReport(Start, {0, 0, 4, 2.1});
  CHECK(Fast.baselineSlowdown(Start) < 0.8);
  CHECK(Fast.currentSlowdown(Start) == doctest::Approx(2.1));
  CHECK(Fast.currentSlowdown(Start + seconds(2)) < 0.8);
}

TEST_CASE("a target that is slower than it reports is detected") {
  TargetLoad Load(4);
  for (int Count = 0; Count < 20; ++Count) {
    Load.noteReport(Start, {0, 0, 4, 1.0});
    answer(Load, Start, Milliseconds(500));
  }
  CHECK(Load.baselineSlowdown(Start) > 4);
}

TEST_CASE("a target is unresponsive if it has requests and answers none") {
  const TimePoint Start{std::chrono::seconds(100)};
  const Milliseconds Usual{200};
  TargetLoad Load(4);
  CHECK(!Load.isUnresponsive(Start + std::chrono::seconds(9), Usual));
  Load.noteSent(Start);
  Load.noteSent(Start);
  CHECK(!Load.isUnresponsive(Start + Milliseconds(500), Usual));
  CHECK(Load.isUnresponsive(Start + Milliseconds(700), Usual));
  Load.noteAnswered(Start + Milliseconds(700), Milliseconds(700), Usual, false);
  CHECK(!Load.isUnresponsive(Start + Milliseconds(900), Usual));
}

TEST_CASE("hosts with the same knowledge choose different targets") {
  // The pool is idle, and a burst reaches all hosts between two load reports.
  const TimePoint Start{std::chrono::seconds(100)};
  const TargetLoad Idle(4);
  const TargetChooser Chooser(1.2);
  std::vector<Candidate> Candidates(2);
  Candidates[0].m_Load = Candidates[1].m_Load = &Idle;
  Candidates[0].m_Bias = 0.9;
  CHECK(Chooser.choose(Candidates, Start, Milliseconds(200), false) == 1);
  std::swap(Candidates[0].m_Bias, Candidates[1].m_Bias);
  CHECK(Chooser.choose(Candidates, Start, Milliseconds(200), false) == 0);
}
