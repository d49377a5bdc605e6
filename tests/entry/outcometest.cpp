#include "entry/entrybench.h"

#include <doctest.h>

#include <cstdlib>

using namespace monsoon;
using Action = ScriptedTarget::Action;

namespace {

uint64_t environmentNumber(const char *Name, uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

/// Sends reads and writes to targets that fail at random, and checks that each
/// answer agrees with whether and how often a target ran the request.
void runRound(uint64_t Seed) {
  INFO("seed " << Seed);
  std::mt19937_64 Random(Seed);
  EntryBench Bench;
  const auto Script = [&Random](const std::string & /*Id*/) {
    constexpr std::array<Action, 13> Faults = {Action::Hang,
                                               Action::RunAndReset,
                                               Action::Reset,
                                               Action::Refuse,
                                               Action::WrongTarget,
                                               Action::Fail,
                                               Action::Unsigned,
                                               Action::CutShort,
                                               Action::Twice,
                                               Action::RefuseLateCopy,
                                               Action::FailLateCopy,
                                               Action::WrongTargetLateCopy,
                                               Action::UnsignedLateCopy};
    return Random() % 2 == 0 ? Action::Answer
                             : Faults[Random() % Faults.size()];
  };
  for (const char *Id : {"t1", "t2", "t3"})
    Bench.addTarget(Id).m_Script = Script;
  Bench.publish([](Route::Builder &Each) { Each.deadline(Milliseconds(250)); });
  constexpr int Requests = 40;
  for (int Index = 0; Index < Requests; ++Index) {
    const std::string Id = std::to_string(Index);
    const bool IsWrite = Random() % 2 == 0;
    Bench.send(IsWrite ? "POST" : "GET", IsWrite ? "/write/1" : "/read/1",
               (IsWrite ? "w" : "r") + Id, Milliseconds(400));
    if (Random() % 3 == 0)
      Bench.runUntil([]() { return true; });
  }
  for (int Index = 0; Index < Requests; ++Index) {
    const std::string WriteId = "w" + std::to_string(Index);
    const std::string ReadId = "r" + std::to_string(Index);
    REQUIRE(Bench.runUntil([&]() {
      return Bench.isAnswered(WriteId) || Bench.isAnswered(ReadId);
    }));
    const std::string Id = Bench.isAnswered(WriteId) ? WriteId : ReadId;
    const HttpResponse &Answer = Bench.await(Id);
    INFO(Id << " was answered with " << Answer.m_Status);
    if (Answer.m_Status == 200)
      CHECK(Answer.m_Body.find(" ran " + Id) != std::string::npos);
    if (Id == WriteId) {
      CHECK(Bench.runsOf(Id) <= 1);
      if (Answer.m_Status == 503)
        CHECK(Bench.runsOf(Id) == 0);
    }
  }
}

} // namespace

TEST_SUITE("not-run") {
  TEST_CASE("answers to callers agree with what the targets ran") {
    const uint64_t First = environmentNumber("MONSOON_SEED", 1);
    const uint64_t Count = environmentNumber("MONSOON_ROUNDS", 20);
    for (uint64_t Seed = First; Seed < First + Count; ++Seed)
      runRound(Seed);
  }
}
