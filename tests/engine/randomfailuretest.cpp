#include "support/requestpathfixture.h"

#include <doctest.h>

#include <random>

using namespace monsoon;

namespace {

/// Counts of wrong reports in one run, found by comparing the answers with the
/// executions at the targets, and the count of answered requests.
struct Findings {
  int m_Repeated = 0;
  int m_ReportedNotRunButRan = 0;
  int m_AcknowledgedButNotRun = 0;
  int m_WrongAnswer = 0;
  int m_Answered = 0;
};

FakeTargetAction randomMove(std::mt19937_64 &Random) {
  // Half of the attempts succeed.
  if (Random() % 2 == 0)
    return FakeTargetAction::Answer;
  return static_cast<FakeTargetAction>(
      Random() % static_cast<uint64_t>(FakeTargetAction::Count));
}

void countFindings(const FakeTargets &Targets, const std::string &Id,
                   bool IsIdempotent, RunState Ran, bool Answered,
                   const std::string &Body, Findings &Found) {
  const int Runs = Targets.executions(Id);
  Found.m_Repeated += !IsIdempotent && Runs > 1 ? 1 : 0;
  Found.m_ReportedNotRunButRan += Ran == RunState::No && Runs > 0 ? 1 : 0;
  Found.m_AcknowledgedButNotRun += Answered && Runs == 0 ? 1 : 0;
  Found.m_WrongAnswer += Answered && Body != "answer to " + Id ? 1 : 0;
  Found.m_Answered += Answered ? 1 : 0;
}

/// Runs the request path against targets that fail at random.
Findings runRequestPath(uint64_t Seed) {
  RequestPathFixture Bench;
  std::mt19937_64 Random(Seed);
  Bench.m_Targets.m_Script = [&Random](const Attempt &) {
    return randomMove(Random);
  };
  Findings Found;
  for (int Number = 0; Number < 200; ++Number) {
    const std::string Id = std::to_string(Number);
    const bool IsIdempotent = Random() % 2 == 0;
    const Answer Result = IsIdempotent ? Bench.call("GET", "/orders/" + Id, Id)
                                       : Bench.call("POST", "/orders", Id);
    const RunState Ran =
        Result.m_Error ? errorRule(*Result.m_Error).m_Ran : RunState::Yes;
    countFindings(Bench.m_Targets, Id, IsIdempotent, Ran, !Result.m_Error,
                  Result.m_Body, Found);
    Bench.m_Time.advance(Milliseconds(300));
  }
  return Found;
}

/// A naive proxy for comparison: round robin, retries after every failure, and
/// reports every failure, even a broken connection, as not run.
Findings runNaiveProxy(uint64_t Seed) {
  FakeClock Time;
  FakeTargets Targets(Time);
  std::mt19937_64 Random(Seed);
  Targets.m_Script = [&Random](const Attempt &) { return randomMove(Random); };
  Findings Found;
  int Next = 0;
  for (int Number = 0; Number < 200; ++Number) {
    CallerRequest Request;
    Request.m_RequestId = std::to_string(Number);
    const bool IsIdempotent = Random() % 2 == 0;
    AttemptResult Result;
    for (int Try = 0; Try < 3 && !Result.isAnswered(); ++Try) {
      Attempt Order;
      Order.m_Request = &Request;
      Order.m_Target.m_Name = "t" + std::to_string(Next++ % 4);
      Order.m_Deadline = Time.now() + Milliseconds(100);
      Result = Targets.send(
          Order, [] { return true; }, nullptr);
    }
    const bool Answered = Result.isAnswered();
    countFindings(Targets, Request.m_RequestId, IsIdempotent,
                  Answered ? RunState::Yes : RunState::No, Answered,
                  Answered ? Result.m_Answer->m_Body : "", Found);
  }
  return Found;
}

} // namespace

TEST_CASE("run states are reported correctly under random failures" *
          doctest::test_suite("at-most-once")) {
  int Answered = 0;
  for (uint64_t Seed = 1; Seed <= 200; ++Seed) {
    const Findings Found = runRequestPath(Seed);
    CHECK_MESSAGE(Found.m_Repeated == 0, "seed ", Seed);
    CHECK_MESSAGE(Found.m_ReportedNotRunButRan == 0, "seed ", Seed);
    CHECK_MESSAGE(Found.m_AcknowledgedButNotRun == 0, "seed ", Seed);
    CHECK_MESSAGE(Found.m_WrongAnswer == 0, "seed ", Seed);
    Answered += Found.m_Answered;
  }
  CHECK(Answered > 0);
}

TEST_CASE("a naive proxy repeats requests and misreports them as not run" *
          doctest::test_suite("at-most-once")) {
  const Findings Found = runNaiveProxy(1);
  CHECK(Found.m_Repeated > 0);
  CHECK(Found.m_ReportedNotRunButRan > 0);
}
