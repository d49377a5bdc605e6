#include "keyowner/keeperworld.h"

#include <doctest.h>

using namespace monsoon;
using std::chrono::seconds;

namespace {

std::string firstViolation(const KeeperWorld &World) {
  return World.violations().empty() ? "" : World.violations().front();
}

} // namespace

TEST_SUITE("one-owner") {
  TEST_CASE("every key is granted to one server after the start") {
    KeeperWorld World(5, 7, 1);
    World.run(seconds(6));
    CHECK(World.unservedKeys() == 0);
    CHECK(firstViolation(World) == "");
    CHECK(World.holder() >= 0);
  }

  TEST_CASE("a grant meant for a server that is gone does not reach the next "
            "server at its address") {
    KeeperWorld World(3, 4, 2);
    World.run(seconds(6));
    World.rebornServer("s1", false);
    World.run(seconds(12));
    CHECK(firstViolation(World) == "");
    CHECK(World.unservedKeys() == 0);
  }

  TEST_CASE("a server that starts again under its id holds nothing of before") {
    KeeperWorld World(3, 4, 3);
    World.run(seconds(6));
    World.rebornServer("s2", true);
    World.run(seconds(12));
    CHECK(firstViolation(World) == "");
    CHECK(World.unservedKeys() == 0);
  }

  TEST_CASE("keys of a silent server move only after its hold has run out") {
    KeeperWorld World(3, 5, 4);
    World.run(seconds(6));
    World.darkServer("s3", seconds(8));
    World.run(seconds(4));
    CHECK(firstViolation(World) == "");
    World.run(seconds(3));
    CHECK(firstViolation(World) == "");
    CHECK(World.unservedKeys() == 0);
    World.run(seconds(12));
    CHECK(firstViolation(World) == "");
  }

  TEST_CASE("a holder that is cut off from the log keeps owners going and does "
            "not decide beside its successor") {
    KeeperWorld World(4, 6, 5);
    World.run(seconds(6));
    const int Former = World.holder();
    REQUIRE(Former >= 0);
    World.m_CutFromLog.insert(static_cast<unsigned>(Former));
    World.run(seconds(4));
    World.darkServer("s1", seconds(3));
    World.drainServer("s2");
    World.run(seconds(10));
    World.m_CutFromLog.clear();
    World.run(seconds(8));
    CHECK(World.holder() != Former);
    CHECK(firstViolation(World) == "");
    CHECK(World.unservedKeys() == 0);
  }

  TEST_CASE("a paused holder wakes up after another has moved keys") {
    KeeperWorld World(3, 5, 6);
    World.run(seconds(6));
    const int Former = World.holder();
    REQUIRE(Former >= 0);
    World.pauseHost(static_cast<unsigned>(Former), seconds(20));
    World.run(seconds(3));
    World.drainServer("s4");
    World.run(seconds(25));
    CHECK(firstViolation(World) == "");
    CHECK(World.unservedKeys() == 0);
  }
}

TEST_SUITE("assignments-survive") {
  TEST_CASE("owners outlast an outage of the log") {
    KeeperWorld World(5, 6, 7);
    World.run(seconds(8));
    World.m_LogDown = true;
    World.run(seconds(9));
    CHECK(World.unservedKeys() == 0);
    World.m_LogDown = false;
    World.run(seconds(4));
    CHECK(World.unservedKeys() == 0);
    CHECK(firstViolation(World) == "");
  }

  TEST_CASE("keys are served again soon after an outage that outlasted all "
            "holds") {
    KeeperWorld World(5, 6, 12);
    World.run(seconds(8));
    World.m_LogDown = true;
    World.run(Milliseconds(15'700));
    World.m_LogDown = false;
    World.run(seconds(2));
    CHECK(World.unservedKeys() == 0);
    CHECK(firstViolation(World) == "");
  }

  TEST_CASE("the loss of the holder leaves no key without its owner") {
    KeeperWorld World(5, 6, 8);
    World.run(seconds(8));
    World.crashHost(static_cast<unsigned>(World.holder()));
    uint32_t Worst = 0;
    for (int Step = 0; Step < 60; ++Step) {
      World.run(Milliseconds(100));
      Worst = std::max(Worst, World.unservedKeys());
    }
    CHECK(Worst == 0);
    CHECK(firstViolation(World) == "");
  }

  TEST_CASE("after the loss of all hosts the same owners hold the same keys") {
    KeeperWorld World(3, 5, 9);
    World.run(seconds(8));
    const KeyTablePtr Before = World.keeper(0)->table();
    for (unsigned Host = 0; Host < World.hosts(); ++Host)
      World.crashHost(Host);
    World.run(seconds(1));
    for (unsigned Host = 0; Host < World.hosts(); ++Host)
      World.startHost(Host);
    World.run(seconds(6));
    const KeyTablePtr After = World.keeper(0)->table();
    REQUIRE(After->ranges().size() == Before->ranges().size());
    for (size_t Index = 0; Index < After->ranges().size(); ++Index) {
      CHECK(After->ranges()[Index].m_Owner == Before->ranges()[Index].m_Owner);
      CHECK(After->ranges()[Index].m_Fence > Before->ranges()[Index].m_Fence);
    }
    CHECK(World.unservedKeys() == 0);
    CHECK(firstViolation(World) == "");
  }

  TEST_CASE("a key is served again within 3 s of a crash of its owner") {
    KeeperWorld World(3, 6, 10);
    World.run(seconds(8));
    const std::string Owner = World.holderOf(0);
    World.rebornServer(Owner, false);
    int Steps = 0;
    while (World.holderOf(0).empty() && Steps < 100) {
      World.run(Milliseconds(50));
      ++Steps;
    }
    CHECK(Steps * 50 <= 3000);
    CHECK(firstViolation(World) == "");
  }

  TEST_CASE("a holder that lost the log alone tells its successor that no long "
            "holds are left") {
    KeeperWorld World(4, 8, 14);
    World.run(seconds(8));
    const int Former = World.holder();
    REQUIRE(Former >= 0);
    World.m_CutFromLog.insert(static_cast<unsigned>(Former));
    World.run(seconds(3));
    CHECK(World.holder() != Former);
    const auto Ids = World.serverIds();
    World.crashServer(Ids[0]);
    World.crashServer(Ids[1]);
    World.run(seconds(5));
    CHECK(World.unservedKeys() == 0);
    CHECK(firstViolation(World) == "");
  }

  TEST_CASE(
      "a successor of a holder that is lost waits for the longest holds") {
    KeeperWorld World(4, 8, 15);
    World.run(seconds(8));
    World.m_LogDown = true;
    World.run(Milliseconds(1450));
    const int Former = World.holder();
    REQUIRE(Former >= 0);
    World.crashHost(static_cast<unsigned>(Former));
    World.m_LogDown = false;
    const auto Ids = World.serverIds();
    for (int Count = 0; Count < 3; ++Count)
      World.darkServer(Ids[static_cast<size_t>(Count)], seconds(9));
    World.run(seconds(20));
    CHECK(firstViolation(World) == "");
  }

  TEST_CASE("hosts that both count on the lease don't take it from each other "
            "again and again") {
    KeeperWorld World(4, 6, 16);
    World.run(seconds(8));
    for (int Round = 0; Round < 5; ++Round) {
      const uint64_t Before = World.keeper(0)->lease().m_Term;
      World.m_DealAnew = true;
      World.run(seconds(3));
      CHECK(World.keeper(0)->lease().m_Term - Before <= 2);
    }
    CHECK(firstViolation(World) == "");
  }

  TEST_CASE("keys of a server whose address went to another kind of server are "
            "served again after its hold") {
    KeeperWorld World(3, 6, 12);
    World.run(seconds(8));
    const auto Ids = World.serverIds();
    World.replaceByStranger(Ids[0]);
    World.replaceByStranger(Ids[1]);
    World.run(seconds(6));
    CHECK(World.unservedKeys() == 0);
    CHECK(firstViolation(World) == "");
  }

  TEST_CASE(
      "moves that can't end yet don't hold up the keys of other servers") {
    // The longest holds are given while the log is down, so many ranges wait
    // for those of silent owners; meanwhile another owner leaves.
    KeeperWorld World(3, 90, 13);
    World.run(seconds(8));
    World.m_LogDown = true;
    World.run(Milliseconds(1500));
    World.m_LogDown = false;
    World.run(Milliseconds(600));
    const auto Ids = World.serverIds();
    for (size_t Index = 0; Index < 70; ++Index)
      World.darkServer(Ids[Index], seconds(20));
    World.run(seconds(4));
    const std::string Leaving = Ids[75];
    World.drainServer(Leaving);
    World.run(Milliseconds(1200));
    std::string Owner;
    for (uint32_t Key = 0; Key < KeyCount; Key += 16)
      if (World.holderOf(Key) == Leaving)
        Owner = Leaving;
    CHECK(Owner == "");
    CHECK(firstViolation(World) == "");
  }

  TEST_CASE("keys of a leaving server are handed over without a pause longer "
            "than its running work") {
    KeeperWorld World(3, 6, 11);
    World.run(seconds(8));
    const std::string Owner = World.holderOf(100);
    World.drainServer(Owner);
    int Unserved = 0;
    for (int Step = 0; Step < 80; ++Step) {
      World.run(Milliseconds(25));
      Unserved += World.holderOf(100).empty() ? 1 : 0;
    }
    CHECK(World.holderOf(100) != Owner);
    CHECK(Unserved * 25 <= 600);
    CHECK(firstViolation(World) == "");
  }
}
