#include "core/decider.h"
#include "core/routingview.h"

#include <doctest.h>

using namespace monsoon;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

Pool ledgerPool(int Port, uint32_t Ranges = 2) {
  return Pool::Builder("ledger")
      .ownedByKey(true)
      .ranges(Ranges)
      .addTarget({"s1", "127.0.0.1", Port, "d", 4, 100})
      .build();
}

GroupState assignedState() {
  GroupState State;
  State.apply(OwnershipRecord{ClaimRecord{"c", 0, "h#1", false}});
  State.apply(OwnershipRecord{AssignRecord{"a", 1, 1, 2, {{"s1", {0, 1}}}}});
  return State;
}

/// A decider with one server, advanced in steps of 10 ms.
class DeciderBench {
public:
  DeciderBench() : m_Decider(1, OwnershipTiming(), Start) {
    m_Decider.setPool(ledgerPool(1000), {});
    m_Decider.setState(assignedState());
  }

  /// Runs for Length while the server's incarnation Instance replies to all
  /// orders. Returns the longest lease lifetime that it was granted.
  Milliseconds run(const std::string &Instance, Milliseconds Length) {
    Milliseconds LongestLease{0};
    for (const TimePoint End = m_Now + Length; m_Now < End;
         m_Now += Milliseconds(10)) {
      for (const GrantOrder &Order :
           m_Decider.tick(m_Now, m_Now + Milliseconds(900))) {
        GrantReply Reply;
        Reply.m_Accepted = true;
        Reply.m_Term = 1;
        Reply.m_Instance = Instance;
        Reply.m_Stamp = toStamp(m_Now);
        Reply.m_SetVersion = Order.m_SetVersion;
        if (Order.m_Instance == Instance)
          LongestLease = std::max(LongestLease, Order.m_Lifetime);
        m_Decider.onGrantReply(Order, Reply, m_Now);
      }
    }
    return LongestLease;
  }

  Decider m_Decider;
  TimePoint m_Now = Start;
};

} // namespace

TEST_SUITE("one-owner") {
  TEST_CASE("a new server process gets no lease before the old one's expires") {
    DeciderBench Bench;
    CHECK(Bench.run("i", Milliseconds(1000)) > Milliseconds(0));
    SUBCASE("at the same address") {}
    SUBCASE("at another address under the same name") {
      Bench.m_Decider.setPool(ledgerPool(2000), {});
    }
    CHECK(Bench.run("j", Milliseconds(600)) == Milliseconds(0));
    CHECK(Bench.run("j", Milliseconds(1000)) > Milliseconds(0));
  }

  TEST_CASE("the number of ranges is fixed by the first assignment") {
    DeciderBench Bench;
    Bench.m_Decider.setPool(ledgerPool(1000, 64), {});
    CHECK(Bench.m_Decider.wantedMoves().empty());
    GroupState State = assignedState();
    State.apply(OwnershipRecord{AssignRecord{"b", 2, 1, 64, {{"s1", {5}}}}});
    CHECK(State.owners().size() == 2);
  }
}
