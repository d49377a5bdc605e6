#include "entry/entrybench.h"

#include <doctest.h>

#include <cstdlib>

using namespace monsoon;
using Deed = ScriptedTarget::Deed;

namespace {

uint64_t environmentNumber(const char *Name, uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

/// Orders at targets that fail at random; what callers were told is compared
/// with what the targets did.
void playRound(uint64_t Seed) {
  INFO("seed " << Seed);
  std::mt19937_64 Random(Seed);
  EntryBench Bench;
  const auto Script = [&Random](const std::string & /*Id*/) {
    constexpr std::array<Deed, 9> Faults = {
        Deed::Hang,     Deed::RunAndReset, Deed::Reset,
        Deed::Refuse,   Deed::WrongTarget, Deed::Fail,
        Deed::Unsigned, Deed::CutShort,    Deed::Twice};
    return Random() % 2 == 0 ? Deed::Answer : Faults[Random() % Faults.size()];
  };
  for (const char *Id : {"t1", "t2", "t3"})
    Bench.addTarget(Id).m_Script = Script;
  Bench.publish([](Route::Builder &Each) { Each.deadline(Milliseconds(250)); });
  constexpr int Requests = 40;
  for (int Index = 0; Index < Requests; ++Index) {
    const std::string Id = std::to_string(Index);
    const bool Order = Random() % 2 == 0;
    Bench.send(Order ? "POST" : "GET", Order ? "/write/1" : "/read/1",
               (Order ? "w" : "r") + Id, Milliseconds(400));
    if (Random() % 3 == 0)
      Bench.runUntil([]() { return true; });
  }
  for (int Index = 0; Index < Requests; ++Index) {
    const std::string Order = "w" + std::to_string(Index);
    const std::string Lookup = "r" + std::to_string(Index);
    REQUIRE(Bench.runUntil(
        [&]() { return Bench.isAnswered(Order) || Bench.isAnswered(Lookup); }));
    const std::string Id = Bench.isAnswered(Order) ? Order : Lookup;
    const HttpAnswer &Answer = Bench.await(Id);
    INFO(Id << " was answered with " << Answer.m_Status);
    if (Answer.m_Status == 200)
      CHECK(Answer.m_Body.find(" ran " + Id) != std::string::npos);
    if (Id == Order) {
      CHECK(Bench.runsOf(Id) <= 1);
      if (Answer.m_Status == 503)
        CHECK(Bench.runsOf(Id) == 0);
    }
  }
}

} // namespace

TEST_SUITE("not-run") {
  TEST_CASE("what callers are told agrees with what targets did") {
    const uint64_t First = environmentNumber("MONSOON_SEED", 1);
    const uint64_t Count = environmentNumber("MONSOON_ROUNDS", 20);
    for (uint64_t Seed = First; Seed < First + Count; ++Seed)
      playRound(Seed);
  }
}
