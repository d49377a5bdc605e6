#include "membership/hostmembership.h"

#include "support/fakeclock.h"

#include <doctest.h>

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace monsoon;
using std::chrono::milliseconds;

namespace {

class FakeGroup : public HostGroup {
public:
  uint32_t duties() const override { return 4; }
  void join(const std::string & /*Member*/, Milliseconds /*Stay*/,
            uint64_t /*Generation*/, JoinDone Done) override {
    ++m_Joins;
    if (m_Down) {
      Done(Failure{ErrorKind::LogUnavailable, ""});
      return;
    }
    Done(GroupAssignment{m_Generation, {0, 1}});
  }
  void leave(const std::string & /*Member*/) override {}
  void members(MembersDone Done) override {
    ++m_MemberRequests;
    if (m_Down)
      Done(Failure{ErrorKind::LogUnavailable, ""});
    else
      Done(m_Members);
  }

  uint64_t m_Generation = 1;
  std::set<std::string> m_Members{"a", "b", "c"};
  int m_MemberRequests = 0;
  int m_Joins = 0;
  bool m_Down = false;
};

class NoEvents : public EventSink {
public:
  void event(Severity /*Level*/, const char * /*Name*/,
             const Details & /*Fields*/) override {}
};

struct Member {
  Member() : m_Host("a", m_Group, m_Time, m_Events) {}

  void run(milliseconds Length) {
    for (milliseconds Passed{0}; Passed < Length; Passed += milliseconds(50)) {
      m_Time.advance(milliseconds(50));
      m_Host.tick();
    }
  }

  FakeClock m_Time;
  FakeGroup m_Group;
  NoEvents m_Events;
  HostMembership m_Host;
};

} // namespace

TEST_CASE("members are requested when the generation changes, not on every "
          "join, and stay counted") {
  Member Given;
  Given.run(milliseconds(10'000));
  CHECK(Given.m_Group.m_MemberRequests <= 2);
  CHECK(Given.m_Host.hosts() == 3);
  Given.m_Group.m_Members = {"a", "b", "c", "d"};
  ++Given.m_Group.m_Generation;
  Given.run(milliseconds(600));
  CHECK(Given.m_Host.hosts() == 4);
}

TEST_CASE("a member that left is counted until it must have noticed") {
  Member Given;
  Given.run(milliseconds(1000));
  Given.m_Group.m_Members = {"a", "b"};
  ++Given.m_Group.m_Generation;
  Given.run(milliseconds(3000));
  CHECK(Given.m_Host.hosts() == 3);
  Given.run(milliseconds(5000));
  CHECK(Given.m_Host.hosts() == 2);
}

TEST_CASE(
    "a host whose joins are not confirmed has no share of common limits") {
  Member Given;
  Given.run(milliseconds(1000));
  CHECK(Given.m_Host.share().isConnected());
  Given.m_Group.m_Down = true;
  Given.run(milliseconds(3500));
  CHECK(!Given.m_Host.share().isConnected());
  CHECK(Given.m_Host.heldUntil("any") < Given.m_Time.now());
}

namespace {

/// A group of 120 hosts.
struct LargeGroup {
  static constexpr int Running = 120;

  LargeGroup() {
    m_Group.m_Members.clear();
    for (int Number = 0; Number < Running; ++Number)
      m_Group.m_Members.insert("h" + std::to_string(Number));
    for (int Number = 0; Number < Running; ++Number)
      m_Hosts.push_back(std::make_unique<HostMembership>(
          "h" + std::to_string(Number), m_Group, m_Time, m_Events));
  }

  /// Runs the hosts; with Gossips they get each other's member lists.
  void run(milliseconds Length, bool Gossips) {
    for (milliseconds Passed{0}; Passed < Length; Passed += milliseconds(50)) {
      m_Time.advance(milliseconds(50));
      for (const auto &From : m_Hosts) {
        From->tick();
        const auto Members = From->takeMembers();
        if (!Members || !Gossips)
          continue;
        for (const auto &To : m_Hosts)
          if (To != From)
            To->applyPeerMembers(*Members);
      }
    }
  }

  FakeClock m_Time;
  FakeGroup m_Group;
  NoEvents m_Events;
  std::vector<std::unique_ptr<HostMembership>> m_Hosts;
};

} // namespace

TEST_CASE("in a large group few hosts read the members after a change") {
  LargeGroup Given;
  Given.run(milliseconds(4000), true);
  Given.m_Group.m_MemberRequests = 0;
  Given.m_Group.m_Members.insert("new");
  ++Given.m_Group.m_Generation;
  Given.run(milliseconds(2500), true);
  CHECK(Given.m_Group.m_MemberRequests <= 3);
  for (const auto &Each : Given.m_Hosts)
    CHECK(Each->hosts() == 121);
}

TEST_CASE("in a large group a host without gossip reads the members itself") {
  LargeGroup Given;
  Given.run(milliseconds(4000), false);
  Given.m_Group.m_Members.insert("new");
  ++Given.m_Group.m_Generation;
  Given.run(milliseconds(4500), false);
  for (const auto &Each : Given.m_Hosts)
    CHECK(Each->hosts() == 121);
}

TEST_CASE("an old member list of a peer is ignored") {
  LargeGroup Given;
  Given.m_Group.m_Generation = 5;
  Given.run(milliseconds(4000), true);
  Given.m_Hosts[0]->applyPeerMembers({4, {"h0", "stale"}});
  CHECK(Given.m_Hosts[0]->names().count("stale") == 0);
}

TEST_CASE("in a large group a new host has no share before others count it") {
  LargeGroup Given;
  Given.run(milliseconds(1500), true);
  CHECK(!Given.m_Hosts[0]->share().isConnected());
  Given.run(milliseconds(3000), true);
  CHECK(Given.m_Hosts[0]->share().isConnected());
}

TEST_CASE("in a large group a host with a lease joins more often") {
  LargeGroup Given;
  Given.run(milliseconds(4000), true);
  const auto JoinsIn = [&Given](milliseconds Length) {
    Given.m_Group.m_Joins = 0;
    Given.run(Length, true);
    return Given.m_Group.m_Joins;
  };
  CHECK(JoinsIn(milliseconds(10'000)) <= 11 * LargeGroup::Running);
  // The group gives everyone the duties 0 and 1 of 4, so some names are held.
  std::set<std::string> Names;
  for (int Number = 0; Number < 20; ++Number)
    Names.insert("pool" + std::to_string(Number));
  Given.m_Hosts[0]->setLeases(Names);
  CHECK(JoinsIn(milliseconds(10'000)) >=
        9 * (LargeGroup::Running - 1) + 10'000 / 400 - 1);
  CHECK(Given.m_Hosts[0]->heldUntil(*Names.begin()) <=
        Given.m_Time.now() + Given.m_Hosts[0]->longestLease());
}

// Guards against a list of members that was read before all of them had joined
// in its generation and is then kept: each host counted two hosts of twelve.
TEST_CASE("members that are listed late in a generation are counted") {
  Member Given;
  Given.m_Group.m_Members = {"a"};
  Given.run(milliseconds(500));
  CHECK(Given.m_Host.hosts() == 1);
  // A duty has no holder until its former one has joined again.
  Given.m_Group.m_Members = {"a", "b", "c", "d"};
  Given.run(milliseconds(1500));
  CHECK(Given.m_Host.hosts() == 4);
}

TEST_CASE("members of one generation that peers have listed are joined") {
  Member Given;
  Given.m_Group.m_Members = {"a", "b"};
  Given.run(milliseconds(500));
  Given.m_Host.applyPeerMembers({1, {"a", "c"}});
  CHECK(Given.m_Host.names() == std::set<std::string>{"a", "b", "c"});
  Given.m_Host.applyPeerMembers({2, {"a", "c", "d"}});
  CHECK(Given.m_Host.names().count("d") == 1);
}

TEST_CASE("a host knows which part of the hosts has just started") {
  FakeClock Time;
  FakeGroup Group;
  NoEvents Events;
  const std::string Own = processName("a", 1000, 1);
  Group.m_Members = {Own, processName("b", 900, 2), processName("c", 995, 3),
                     processName("d", 1003, 4)};
  HostMembership Host(Own, Group, Time, Events);
  CHECK(Host.newHosts(std::chrono::seconds(10)) == 1);
  Host.tick();
  CHECK(Host.newHosts(std::chrono::seconds(10)) == 0.75);
  Time.advance(std::chrono::seconds(8));
  Host.tick();
  CHECK(Host.newHosts(std::chrono::seconds(10)) == 0.5);
}
