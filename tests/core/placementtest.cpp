#include "core/placement.h"

#include <doctest.h>

#include <algorithm>

using namespace monsoon;

namespace {

std::vector<RangeOwner> ownedBy(const std::vector<std::string> &Names) {
  std::vector<RangeOwner> Result;
  for (const std::string &Each : Names)
    Result.push_back({Each, 1, ""});
  return Result;
}

std::vector<PlacementServer> servers(int Count) {
  std::vector<PlacementServer> Result;
  for (int Index = 0; Index < Count; ++Index)
    Result.push_back({"s" + std::to_string(Index), true, false});
  return Result;
}

size_t countMoves(const PlacementMoves &Moves) {
  size_t Result = 0;
  for (const auto &[Server, Ranges] : Moves)
    Result += Ranges.size();
  return Result;
}

} // namespace

TEST_CASE("ranges without an owner are spread evenly") {
  const auto Moves = planMoves(std::vector<RangeOwner>(120), {}, servers(20),
                               PlacementLimits());
  CHECK(Moves.size() == 20);
  for (const auto &[Server, Ranges] : Moves)
    CHECK(Ranges.size() == 6);
}

TEST_CASE("a balanced group gets no moves") {
  CHECK(planMoves(ownedBy({"s0", "s1", "s2", "s0", "s1", "s2"}), {}, servers(3),
                  PlacementLimits())
            .empty());
}

TEST_CASE("the loss of a server moves its ranges and no others") {
  auto All = servers(4);
  All[1].m_Eligible = false;
  All[1].m_Lost = true;
  const auto Moves =
      planMoves(ownedBy({"s0", "s1", "s2", "s3", "s0", "s1", "s2", "s3"}), {},
                All, PlacementLimits());
  CHECK(countMoves(Moves) == 2);
  CHECK(Moves.count("s1") == 0);
}

TEST_CASE("lost servers keep their ranges while m_MayMoveLost is false") {
  auto All = servers(2);
  All[1] = {"s1", false, true};
  PlacementLimits Limits;
  Limits.m_MayMoveLost = false;
  CHECK(planMoves(ownedBy({"s0", "s1"}), {}, All, Limits).empty());
}

TEST_CASE("planned moves stay within their limit") {
  auto All = servers(3);
  All[2].m_Eligible = false;
  PlacementLimits Limits;
  Limits.m_PlannedMoves = 2;
  CHECK(countMoves(planMoves(ownedBy({"s2", "s2", "s2", "s2", "s0", "s1"}), {},
                             All, Limits)) == 2);
}

TEST_CASE("a hot range stays and the other ranges of its owner move") {
  std::vector<double> Weights = {10, 1, 1, 1, 1, 1};
  const auto Moves = planMoves(ownedBy({"s0", "s0", "s0", "s1", "s1", "s1"}),
                               Weights, servers(2), PlacementLimits());
  CHECK(Moves.count("s0") == 0);
  REQUIRE(Moves.count("s1") == 1);
  CHECK(std::count(Moves.at("s1").begin(), Moves.at("s1").end(), 0) == 0);
}
