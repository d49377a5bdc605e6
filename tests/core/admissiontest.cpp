#include "core/admission.h"
#include "core/retrybudget.h"

#include <doctest.h>

using namespace monsoon;

TEST_CASE("downloads are refused first and confirmations last") {
  Admission Control(100);
  for (int Index = 0; Index < 60; ++Index)
    REQUIRE(Control.enter(TrafficClass::Lookup, std::to_string(Index)));
  CHECK_FALSE(Control.enter(TrafficClass::Download, "x"));
  for (int Index = 60; Index < 80; ++Index)
    REQUIRE(Control.enter(TrafficClass::Lookup, std::to_string(Index)));
  CHECK_FALSE(Control.enter(TrafficClass::Lookup, "x"));
  for (int Index = 80; Index < 95; ++Index)
    REQUIRE(Control.enter(TrafficClass::Order, std::to_string(Index)));
  CHECK_FALSE(Control.enter(TrafficClass::Order, "x"));
  for (int Index = 95; Index < 100; ++Index)
    REQUIRE(Control.enter(TrafficClass::Confirmation, std::to_string(Index)));
  CHECK_FALSE(Control.enter(TrafficClass::Confirmation, "x"));
}

TEST_CASE("a tenant can't use up the capacity of another one") {
  Admission Control(100);
  int Greedy = 0;
  REQUIRE(Control.enter(TrafficClass::Order, "modest"));
  while (Control.enter(TrafficClass::Order, "greedy"))
    ++Greedy;
  CHECK(Greedy == 50);
  CHECK(Control.enter(TrafficClass::Order, "modest"));
  Control.leave("greedy");
  CHECK(Control.active() == 51);
}

TEST_CASE("retries are limited to a percentage of the requests") {
  RetryBudget Budget(10);
  int Retries = 0;
  for (int Request = 0; Request < 1000; ++Request) {
    Budget.earn();
    Retries += Budget.spend() ? 1 : 0;
  }
  CHECK(Retries <= 1000 / 10 + RetryBudget::MaxSaved);
  CHECK(Retries >= 1000 / 10);
}

TEST_SUITE("fractions") {
  TEST_CASE("a percentage of retries with a fraction counts as given") {
    RetryBudget Budget(2.5);
    int Retries = 0;
    for (int Request = 0; Request < 4000; ++Request) {
      Budget.earn();
      Retries += Budget.spend() ? 1 : 0;
    }
    CHECK(Retries >= 4000 * 25 / 1000);
    CHECK(Retries <= 4000 * 25 / 1000 + RetryBudget::MaxSaved);
  }
}
