#include "core/keyspace.h"
#include "core/membership.h"
#include "core/pathtemplate.h"
#include "core/routingview.h"

#include <doctest.h>

#include <map>

using namespace monsoon;

TEST_CASE("path templates match paths by segments") {
  CHECK_FALSE(PathTemplate::parse("ledger"));
  CHECK_FALSE(PathTemplate::parse("/a//b"));
  CHECK_FALSE(PathTemplate::parse("/a/*/b"));
  CHECK_FALSE(PathTemplate::parse("/a/{}"));
  const auto Ledger = *PathTemplate::parse("/ledger/{shop}");
  CHECK(Ledger.matches("/ledger/7"));
  CHECK_FALSE(Ledger.matches("/ledger/"));
  CHECK_FALSE(Ledger.matches("/ledger/7/x"));
  CHECK(Ledger.parameter("/ledger/7", "shop") == "7");
  const auto Prices = *PathTemplate::parse("/prices/*");
  CHECK(Prices.matches("/prices/2026/w49.csv"));
  CHECK_FALSE(Prices.matches("/prices"));
}

TEST_CASE("path templates overlap if some path matches both") {
  const auto Overlap = [](const char *A, const char *B) {
    return PathTemplate::parse(A)->overlaps(*PathTemplate::parse(B));
  };
  CHECK(Overlap("/a/{x}", "/a/b"));
  CHECK(Overlap("/a/*", "/a/{x}/c"));
  CHECK_FALSE(Overlap("/a/{x}", "/a/b/c"));
  CHECK_FALSE(Overlap("/a/*", "/b/*"));
  CHECK(Overlap("/a/*", "/a/*"));
}

TEST_CASE("keys are spread evenly over ranges") {
  std::map<RangeId, int> Counts;
  for (int Key = 0; Key < 10'000; ++Key)
    ++Counts[rangeOfKey("shop-" + std::to_string(Key), 20)];
  CHECK(Counts.size() == 20);
  for (const auto &[Range, Count] : Counts) {
    CHECK(Count > 400);
    CHECK(Count < 600);
  }
}

TEST_CASE("a routing right expires by the host's own clock") {
  RoutingView View;
  const TimePoint Start = TimePoint() + std::chrono::hours(1);
  Heartbeat Beat;
  Beat.m_Term = 1;
  Beat.m_ViewSeq = 5;
  Beat.m_RangeCount = 2;
  Beat.m_Entries = {{0, "s1", 3, false}, {1, "s2", 3, true}};
  Beat.m_Echo = toStamp(Start);
  Beat.m_ViewLifetime = Milliseconds(100);
  View.apply(Beat);
  const auto Right = View.begin(0, Start + Milliseconds(99));
  REQUIRE(std::holds_alternative<RoutingPermit>(Right));
  CHECK(std::get<RoutingPermit>(Right).m_Server == "s1");
  CHECK(View.isStillValid(std::get<RoutingPermit>(Right),
                          Start + Milliseconds(99)));
  CHECK_FALSE(View.isStillValid(std::get<RoutingPermit>(Right),
                                Start + Milliseconds(100)));
  CHECK(std::get<ErrorKind>(View.begin(0, Start + Milliseconds(100))) ==
        ErrorKind::ViewStale);
  CHECK(std::get<ErrorKind>(View.begin(1, Start)) == ErrorKind::OwnerUnknown);
}

TEST_CASE("a range in handover reports its requests in flight") {
  RoutingView View;
  const TimePoint Start = TimePoint() + std::chrono::hours(1);
  Heartbeat Beat;
  Beat.m_Term = 1;
  Beat.m_ViewSeq = 1;
  Beat.m_RangeCount = 1;
  Beat.m_Entries = {{0, "s1", 3, false}};
  Beat.m_Echo = toStamp(Start);
  Beat.m_ViewLifetime = Milliseconds(1000);
  View.apply(Beat);
  const auto Right = std::get<RoutingPermit>(View.begin(0, Start));
  CHECK(View.busyRanges(Start).empty());
  Beat.m_ViewSeq = 2;
  Beat.m_Entries[0].m_Pending = true;
  View.apply(Beat);
  CHECK_FALSE(View.isStillValid(Right, Start));
  CHECK(View.busyRanges(Start).size() == 1);
  SUBCASE("until they are answered") {
    View.finish(Right, true);
    CHECK(View.busyRanges(Start).empty());
  }
  SUBCASE("without an answer, until the right expires") {
    View.finish(Right, false);
    CHECK(View.busyRanges(Right.m_Until - Milliseconds(1)).size() == 1);
    CHECK(View.busyRanges(Right.m_Until).empty());
  }
}

TEST_CASE("a heartbeat of an earlier term is ignored") {
  RoutingView View;
  Heartbeat Beat;
  Beat.m_Term = 2;
  Beat.m_ViewSeq = 1;
  Beat.m_RangeCount = 1;
  Beat.m_Entries = {{0, "new", 9, false}};
  View.apply(Beat);
  Beat.m_Term = 1;
  Beat.m_ViewSeq = 50;
  Beat.m_Entries = {{0, "old", 3, false}};
  View.apply(Beat);
  CHECK(View.entries()[0].m_Server == "new");
}
