#include "support/ownershipsimulation.h"

#include <doctest.h>

#include <cstdlib>

using namespace monsoon;

namespace {

uint64_t numberFromEnvironment(const char *Name, uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

/// The state after all records of the log from its first one. A real process
/// can't compute it once records have expired.
GroupState stateOfFullLog(const std::vector<OwnershipRecord> &Log) {
  GroupState State;
  for (const OwnershipRecord &Each : Log)
    State.apply(Each);
  return State;
}

/// Runs one schedule of random faults, then a period without faults. Returns a
/// description of the first violation, or an empty string.
std::string runSchedule(uint64_t Seed, bool ChecksFences) {
  SimulationOptions Options;
  Options.m_Seed = Seed;
  Options.m_ChecksFences = ChecksFences;
  Options.m_Timing.m_SnapshotInterval = Milliseconds(3000);
  OwnershipSimulation World(Options);
  World.run(Milliseconds(5000));
  World.setNetworkUnreliable(true);
  if (Seed % 3 == 0)
    World.retainRecords(30);
  for (int Fault = 0; Fault < 25 && World.violation().empty(); ++Fault) {
    World.randomFault();
    World.run(Milliseconds(World.random()() % 1500));
  }
  World.clearFaults();
  World.run(Milliseconds(20'000));
  if (World.node(0).state().isCold()) {
    World.appendRecord(OwnershipRecord{ColdConfirmRecord{"operator"}});
    World.run(Milliseconds(10'000));
  }
  if (!World.violation().empty())
    return World.violation();
  if (!World.isAllServed())
    return "a range is not served after all faults ended" + World.describe();
  const GroupState Reference = stateOfFullLog(World.fullLog());
  for (int Host = 0; Host < Options.m_Hosts; ++Host)
    if (!(World.node(Host).state() == Reference))
      return "host " + std::to_string(Host) + " reached a different state";
  return {};
}

void runSchedules(bool ChecksFences) {
  const uint64_t First = numberFromEnvironment("MONSOON_SEED", 1);
  const uint64_t Count = numberFromEnvironment("MONSOON_SCHEDULES", 60);
  for (uint64_t Seed = First; Seed < First + Count; ++Seed) {
    const std::string Fault = runSchedule(Seed, ChecksFences);
    CHECK_MESSAGE(Fault.empty(), "seed ", Seed, ": ", Fault);
  }
}

} // namespace

TEST_CASE(
    "no range has two owners under random faults if servers check fences" *
    doctest::test_suite("one-owner")) {
  runSchedules(true);
}

TEST_CASE(
    "no range has two owners under random faults if servers check no fences" *
    doctest::test_suite("one-owner")) {
  runSchedules(false);
}
