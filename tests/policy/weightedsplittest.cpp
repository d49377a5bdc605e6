#include "policy/weightedsplit.h"

#include <doctest.h>

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
