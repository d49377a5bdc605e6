#include "support/ownershipsimulation.h"

#include <doctest.h>

#include <cstdlib>
#include <iostream>

using namespace monsoon;

namespace {

/// Longest time that a key may be without service after a failure, as promised
/// to users.
constexpr Milliseconds MaxFailoverTime{3000};
/// Longest time that a planned handover may delay a request.
constexpr Milliseconds MaxHandoverDelay{500};

/// A simulated cluster that has started and serves every range.
std::unique_ptr<OwnershipSimulation> settledWorld(bool ChecksFences = true,
                                                  uint64_t Seed = 7) {
  SimulationOptions Options;
  Options.m_Seed = Seed;
  Options.m_ChecksFences = ChecksFences;
  auto World = std::make_unique<OwnershipSimulation>(Options);
  World->run(Milliseconds(6000));
  REQUIRE(World->isAllServed());
  World->resetOutages();
  return World;
}

/// Runs on after a fault; checks and reports the longest time that a key was
/// not served.
void checkOutage(OwnershipSimulation &World, const char *Fault,
                 Milliseconds Bound) {
  World.run(Milliseconds(6000));
  CHECK(World.violation() == "");
  CHECK(World.isAllServed());
  CHECK_MESSAGE(World.longestOutage() <= Bound, Fault, ": ",
                World.longestOutage().count(), " ms");
  if (std::getenv("MONSOON_REPORT"))
    std::cout << Fault << ": " << World.longestOutage().count()
              << " ms longest outage, " << World.appends()
              << " records in total\n";
}

Pool withDomainsOut(const Pool &Value, std::vector<std::string> Domains) {
  Pool::Builder Builder(Value.name());
  Builder.ownedByKey(true)
      .checksFences(Value.checksFences())
      .ranges(Value.ranges())
      .domainsOut(std::move(Domains));
  for (const Target &Each : Value.targets())
    Builder.addTarget(Each);
  return Builder.build();
}

bool ownsNoRange(OwnershipSimulation &World, int Server) {
  for (RangeId Range = 0; Range < World.pool().ranges(); ++Range)
    if (World.ownerOf(Range) == Server)
      return false;
  return true;
}

} // namespace

TEST_CASE("a key is served again within 3 s of the loss of its server" *
          doctest::test_suite("assignments-survive")) {
  for (const bool Checks : {true, false}) {
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      auto World = settledWorld(Checks, Seed);
      SUBCASE("crash") { World->crashServer(1); }
      SUBCASE("freeze") { World->pauseServer(1, Milliseconds(5000)); }
      checkOutage(*World, "server lost", MaxFailoverTime);
    }
  }
}

TEST_CASE("a key is served again within 3 s of the loss of the decider" *
          doctest::test_suite("assignments-survive")) {
  for (const bool Checks : {true, false}) {
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      auto World = settledWorld(Checks, Seed);
      const int Decider = World->decider();
      REQUIRE(Decider >= 0);
      SUBCASE("crash") { World->crashHost(Decider); }
      SUBCASE("pause") { World->pauseHost(Decider, Milliseconds(5000)); }
      SUBCASE("cut off from the other hosts") {
        World->isolateHost(Decider, true);
      }
      checkOutage(*World, "decider lost", MaxFailoverTime);
    }
  }
}

TEST_CASE(
    "a key is served again within 3 s of the loss of server and decider") {
  for (const bool Checks : {true, false}) {
    for (uint64_t Seed = 1; Seed <= 5; ++Seed) {
      auto World = settledWorld(Checks, Seed);
      World->crashHost(World->decider());
      World->crashServer(1);
      checkOutage(*World, "decider and server lost", MaxFailoverTime);
    }
  }
}

TEST_CASE("a former decider changes nothing after a pause" *
          doctest::test_suite("one-owner")) {
  auto World = settledWorld();
  const int Former = World->decider();
  World->pauseHost(Former, Milliseconds(4000));
  World->crashServer(2);
  World->run(Milliseconds(3900));
  const int Successor = World->decider();
  REQUIRE(Successor >= 0);
  CHECK(Successor != Former);
  const auto Owners = World->node(Successor).state().owners();
  World->run(Milliseconds(5000));
  CHECK(World->decider() == Successor);
  CHECK(World->node(Successor).state().owners() == Owners);
  CHECK(World->violation() == "");
}

TEST_CASE("taking a failure domain out moves its keys without an outage" *
          doctest::test_suite("domain-out")) {
  for (const bool Checks : {true, false}) {
    auto World = settledWorld(Checks);
    World->setPool(withDomainsOut(World->pool(), {"d1"}));
    const auto EmptiedAfter = World->runUntil(
        [&] { return ownsNoRange(*World, 1); }, Milliseconds(5000));
    CHECK(EmptiedAfter.has_value());
    World->run(Milliseconds(2000));
    CHECK(World->violation() == "");
    CHECK(World->isAllServed());
    CHECK(World->longestOutage() <= MaxHandoverDelay);

    World->setPool(withDomainsOut(World->pool(), {}));
    World->run(Milliseconds(5000));
    CHECK_FALSE(ownsNoRange(*World, 1));
    CHECK(World->isAllServed());
    CHECK(World->longestOutage() <= MaxHandoverDelay);
  }
}

TEST_CASE("a leaving server holds no ranges within 3 s" *
          doctest::test_suite("leaving-target")) {
  auto World = settledWorld();
  for (int Host = 0; Host < 5; ++Host)
    World->node(Host).setPool(World->pool(), {"s2"});
  CHECK(World->runUntil([&] { return ownsNoRange(*World, 2); },
                        Milliseconds(3000)));
  World->run(Milliseconds(2000));
  CHECK(ownsNoRange(*World, 2));
  CHECK(World->longestOutage() <= MaxHandoverDelay);
}

TEST_CASE("ranges are served while the log is unavailable for an hour" *
          doctest::test_suite("one-owner")) {
  auto World = settledWorld();
  World->setLogDown(true);
  World->run(std::chrono::minutes(2));
  CHECK(World->longestOutage() <= MaxHandoverDelay);

  SUBCASE("and an entry host fails during that time") {
    World->crashHost((World->decider() + 1) % 5);
    World->run(std::chrono::minutes(58));
    CHECK(World->longestOutage() <= MaxHandoverDelay);
  }
  SUBCASE("and a failed server's ranges move once the log is back") {
    World->crashServer(0);
    World->run(Milliseconds(10'000));
    CHECK_FALSE(World->isAllServed());
    World->setLogDown(false);
    CHECK(
        World->runUntil([&] { return World->isAllServed(); }, MaxFailoverTime));
  }
  World->setLogDown(false);
  World->run(Milliseconds(5000));
  CHECK(World->isAllServed());
  CHECK(World->violation() == "");
}

TEST_CASE("an outage of the log at any point of a move loses no assignment" *
          doctest::test_suite("assignments-survive")) {
  for (int Before = 0; Before < 200; Before += 10) {
    auto World = settledWorld(true, 3);
    World->setPool(withDomainsOut(World->pool(), {"d1"}));
    World->run(Milliseconds(Before));
    World->setLogDown(true);
    World->run(Milliseconds(3000));
    World->setLogDown(false);
    World->run(Milliseconds(6000));
    CHECK(World->violation() == "");
    CHECK(ownsNoRange(*World, 1));
    CHECK(World->isAllServed());
  }
}

TEST_CASE("assignments survive the replacement of all hosts at once" *
          doctest::test_suite("assignments-survive")) {
  auto World = settledWorld();
  const auto Owners = World->node(0).state().owners();
  SUBCASE("planned") {
    for (int Host = 0; Host < 5; ++Host)
      World->stopHost(Host);
    World->run(Milliseconds(2500));
  }
  SUBCASE("crash") {}
  SUBCASE("crash, with older records expired") { World->retainRecords(6); }
  SUBCASE("crash, with the log unavailable at first") {
    World->setLogDown(true);
  }
  for (int Host = 0; Host < 5; ++Host) {
    World->crashHost(Host);
    World->startHost(Host);
  }
  World->run(Milliseconds(2000));
  World->setLogDown(false);
  World->run(Milliseconds(25'000));
  CHECK(World->violation() == "");
  CHECK(World->isAllServed());
  for (size_t Range = 0; Range < Owners.size(); ++Range)
    CHECK(World->node(0).state().owners()[Range].m_Server ==
          Owners[Range].m_Server);
}

TEST_CASE("a rolling replacement of the hosts causes no long outage" *
          doctest::test_suite("assignments-survive")) {
  auto World = settledWorld();
  for (int Host = 0; Host < 5; ++Host) {
    World->stopHost(Host);
    World->run(Milliseconds(2500));
    World->crashHost(Host);
    World->startHost(Host);
    World->run(Milliseconds(3000));
  }
  CHECK(World->violation() == "");
  CHECK(World->isAllServed());
  CHECK(World->longestOutage() <= MaxFailoverTime);
  CHECK_FALSE(World->node(0).state().isCold());
}

TEST_CASE("no range moves when most servers are suspected at once" *
          doctest::test_suite("one-owner")) {
  auto World = settledWorld();
  const auto Before = World->node(0).state().owners();
  for (int Server = 0; Server < 3; ++Server)
    World->pauseServer(Server, Milliseconds(8000));
  World->run(Milliseconds(7000));
  CHECK(World->node(0).state().owners() == Before);
  World->run(Milliseconds(5000));
  CHECK(World->isAllServed());
}

TEST_CASE("an isolated host does not route" *
          doctest::test_suite("one-owner")) {
  auto World = settledWorld();
  const int Isolated = (World->decider() + 2) % 5;
  World->isolateHost(Isolated, true);
  World->run(Milliseconds(1100));
  CHECK(World->violation() == "");
  CHECK(World->isAllServed());
  World->run(Milliseconds(5000));
  CHECK(World->decider() != Isolated);
  CHECK(World->longestOutage() <= MaxFailoverTime);
}

TEST_CASE("an isolated host with the log does not depose a working decider" *
          doctest::test_suite("one-owner")) {
  auto World = settledWorld();
  const int Isolated = (World->decider() + 1) % 5;
  const int Decider = World->decider();
  World->isolateHost(Isolated, true);
  World->run(Milliseconds(60'000));
  CHECK(World->decider() == Decider);
  CHECK_FALSE(World->node(Decider).state().isCold());
  CHECK(World->longestOutage() <= MaxHandoverDelay);
}
