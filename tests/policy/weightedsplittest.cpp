#include "policy/weightedsplit.h"

#include <doctest.h>

#include <cstdlib>
#include <map>

using namespace monsoon;

TEST_CASE("requests are divided by weight, evenly over time") {
  WeightedSplit Split({{"a", 90}, {"b", 10}}, 0);
  std::map<std::string, int> Count;
  int LongestRun = 0;
  int Run = 0;
  for (int Index = 0; Index < 1000; ++Index) {
    const std::string Pool = Split.next();
    ++Count[Pool];
    Run = Pool == "a" ? Run + 1 : 0;
    LongestRun = std::max(LongestRun, Run);
  }
  CHECK(Count["a"] == 900);
  CHECK(Count["b"] == 100);
  CHECK(LongestRun <= 10);
}

TEST_CASE("hosts with different starts choose different pools first") {
  WeightedSplit First({{"a", 1}, {"b", 1}}, 0);
  WeightedSplit Second({{"a", 1}, {"b", 1}}, 1);
  CHECK(First.next() != Second.next());
}

TEST_CASE("a pool with weight 0 gets no requests") {
  WeightedSplit Split({{"a", 0}, {"b", 5}}, 3);
  for (int Index = 0; Index < 10; ++Index)
    CHECK(Split.next() == "b");
}

TEST_SUITE("fractions") {
  // Guards against configurations that were refused for a weight of 0.9.
  TEST_CASE("weights with fractions divide the requests as given") {
    for (const uint64_t Start : {uint64_t{0}, uint64_t{7}, UINT64_MAX}) {
      WeightedSplit Split({{"a", 0.9}, {"b", 0.075}, {"c", 0.025}}, Start);
      std::map<std::string, int> Count;
      for (int Index = 0; Index < 4000; ++Index)
        ++Count[Split.next()];
      CHECK(std::abs(Count["a"] - 3600) <= 2);
      CHECK(std::abs(Count["b"] - 300) <= 2);
      CHECK(std::abs(Count["c"] - 100) <= 2);
    }
  }
}
