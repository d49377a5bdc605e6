#include "keyowner/rangeplanner.h"

#include <doctest.h>

using namespace monsoon;

namespace {

/// Four targets with a quarter of the keys each.
struct Quarters {
  Quarters() {
    KeyTable::Builder Builder;
    for (uint32_t Index = 0; Index < 4; ++Index) {
      const std::string Name(1, static_cast<char>('a' + Index));
      Builder.assign({Index * 16'384, Index * 16'384 + 16'383}, Name, 1);
      m_Input.m_Capacity[Name] = 4;
    }
    m_Table = Builder.build();
    m_Input.m_Table = &m_Table;
    m_Input.m_Load = &m_Load;
    m_Input.m_OverloadThreshold = 1.5;
  }

  KeyTable m_Table;
  KeyLoad m_Load;
  PlanInput m_Input;
};

} // namespace

TEST_CASE("the initial assignment covers all keys") {
  const auto Moves = RangePlanner::initial({{"a", 4}, {"b", 4}, {"c", 4}});
  REQUIRE(Moves.size() == 3);
  CHECK(Moves[0].m_Keys.m_First == 0);
  CHECK(Moves[1].m_Keys.m_First == Moves[0].m_Keys.m_Last + 1);
  CHECK(Moves[2].m_Keys.m_First == Moves[1].m_Keys.m_Last + 1);
  CHECK(Moves[2].m_Keys.m_Last == KeyCount - 1);
}

TEST_CASE("nothing moves while no target is overloaded") {
  Quarters Setup;
  for (uint32_t Key = 0; Key < KeyCount; Key += 2048)
    Setup.m_Load.addRequests(Key);
  CHECK(RangePlanner::plan(Setup.m_Input).empty());
}

TEST_CASE("orphaned keys are spread and don't go back to their former owner") {
  Quarters Setup;
  Setup.m_Input.m_Orphaned.insert(Setup.m_Table.find(0)->m_Fence);
  Setup.m_Input.m_Capacity.erase("a");
  const auto Moves = RangePlanner::plan(Setup.m_Input);
  REQUIRE(Moves.size() >= 2);
  uint32_t Next = 0;
  for (const PlannedMove &Each : Moves) {
    CHECK(Each.m_Keys.m_First == Next);
    CHECK(Each.m_From == "a");
    CHECK(Each.m_To != "a");
    Next = Each.m_Keys.m_Last + 1;
  }
  CHECK(Next == 16'384);
}

TEST_CASE("a target without keys gets some") {
  Quarters Setup;
  Setup.m_Input.m_Capacity["e"] = 4;
  const auto Moves = RangePlanner::plan(Setup.m_Input);
  REQUIRE(Moves.size() == 1);
  CHECK(Moves[0].m_To == "e");
}

TEST_CASE("an overloaded target gives away neighbours of its hot key, few keys "
          "at a time") {
  Quarters Setup;
  for (int Count = 0; Count < 60; ++Count)
    Setup.m_Load.addRequests(100);
  for (uint32_t Key = 101; Key < 141; ++Key)
    Setup.m_Load.addRequests(Key);
  const auto Moves = RangePlanner::plan(Setup.m_Input);
  REQUIRE(Moves.size() == 1);
  CHECK(Moves[0].m_From == "a");
  CHECK(!Moves[0].m_Keys.contains(100));
}

TEST_CASE("the owner of one hot key does not keep others from being relieved") {
  // One target owns a single hot key, which can't be split, while another is
  // overloaded by many keys.
  Quarters Setup;
  KeyTable::Builder Builder(Setup.m_Table);
  Setup.m_Table = Builder.assign({0, 0}, "hot", 1).build();
  Setup.m_Input.m_Capacity["hot"] = 4;
  Setup.m_Input.m_OverloadThreshold = 20;
  Setup.m_Load.addRequests(0, 400);
  for (uint32_t Key = 20'000; Key < 20'100; ++Key)
    Setup.m_Load.addRequests(Key);
  const auto Moves = RangePlanner::plan(Setup.m_Input);
  REQUIRE(!Moves.empty());
  for (const PlannedMove &Each : Moves)
    CHECK(Each.m_From == "b");
}

TEST_CASE("moves in progress don't prevent others from being planned") {
  Quarters Setup;
  Setup.m_Input.m_Moving[Setup.m_Table.find(50'000)->m_Fence] = "c";
  for (uint32_t Key = 100; Key < 200; ++Key)
    Setup.m_Load.addRequests(Key);
  const auto Moves = RangePlanner::plan(Setup.m_Input);
  REQUIRE(!Moves.empty());
  CHECK(Moves[0].m_From == "a");
}

TEST_CASE("one plan relieves many overloaded targets") {
  // Traffic starts on a large pool whose busy keys are close together, so that
  // many targets are overloaded at once.
  KeyTable::Builder Builder;
  PlanInput Input;
  constexpr uint32_t Targets = 64;
  for (uint32_t Index = 0; Index < Targets; ++Index) {
    const std::string Name = "t" + std::to_string(100 + Index);
    Builder.assign({Index * 1024, Index * 1024 + 1023}, Name, 1);
    Input.m_Capacity[Name] = 4;
  }
  const KeyTable Table = Builder.build();
  KeyLoad Load;
  for (uint32_t Key = 0; Key < 8 * 1024; Key += 8)
    Load.addRequests(Key);
  Input.m_Table = &Table;
  Input.m_Load = &Load;
  Input.m_OverloadThreshold = 12;
  CHECK(RangePlanner::plan(Input).size() >= 8);
}

TEST_CASE("rates of keys are right from the first second on") {
  KeyLoad Load;
  for (int Second = 0; Second < 12; ++Second) {
    if (Second > 0)
      Load.decay();
    Load.addRequests(7, 100);
    CHECK(Load.rateOf(7) == doctest::Approx(100).epsilon(0.01));
    CHECK(Load.totalRate() == doctest::Approx(100).epsilon(0.01));
  }
}
