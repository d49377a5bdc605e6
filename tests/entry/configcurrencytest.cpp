#include "entry/entrybench.h"

#include <doctest.h>

using namespace monsoon;

namespace {

constexpr Milliseconds AmpleTime{900};
constexpr Milliseconds ApplyLimit{3000};

/// A dispatcher that uses version 1, which was last known to be the newest some
/// time ago.
struct StaleBench {
  explicit StaleBench(Milliseconds Age) {
    m_Bench.addTarget("t1");
    m_Bench.publish();
    m_Currency.noteApplied(1);
    m_Currency.noteComplete(m_Bench.m_Time.now() - Age);
  }

  /// Another host has applied version 2, as was heard some time ago.
  void hearOfNewer(Milliseconds Ago) {
    m_Currency.noteHeard(m_Bench.m_Time.now() - Ago, 2);
  }

  int statusOf(const std::string &Id, const std::string &Path) {
    m_Bench.send("GET", Path, Id, AmpleTime);
    return m_Bench.await(Id).m_Status;
  }

  const RequestReport &lastReport() const { return m_Bench.m_Reports.back(); }

  ConfigCurrency m_Currency{ApplyLimit};
  EntryBench m_Bench{&m_Currency};
};

} // namespace

TEST_SUITE("config-in-force") {
  TEST_CASE("a host with a confirmed version refuses unknown routes for good") {
    StaleBench Given(Milliseconds(1000));
    CHECK(Given.statusOf("a", "/added/1") == 404);
    CHECK(Given.lastReport().m_Reason == "no_route");
    CHECK(Given.lastReport().m_Config.m_Version == 1);
    CHECK(Given.lastReport().m_Config.m_Age >= Milliseconds(1000));
  }

  // Guards against 404 for a route that was added long before.
  TEST_CASE("a host that can't know whether its version is in force refuses "
            "unknown routes as not run and serves known ones") {
    StaleBench Given(ApplyLimit + Milliseconds(100));
    CHECK(Given.statusOf("a", "/added/1") == 503);
    CHECK(Given.m_Bench.await("a").m_Fields.find("Retry-After"));
    CHECK(Given.lastReport().m_Reason == "config_unconfirmed");
    CHECK(Given.lastReport().m_Config.m_Standing ==
          ConfigStanding::Unconfirmed);
    CHECK(Given.statusOf("b", "/read/1") == 200);
    CHECK(Given.lastReport().m_Config.m_Standing ==
          ConfigStanding::Unconfirmed);
  }

  // Guards against requests that an older version sends to a former target.
  TEST_CASE("a host that knows of a newer version, but could not read it, "
            "refuses every request as not run") {
    StaleBench Given(Milliseconds(2500));
    Given.hearOfNewer(ApplyLimit * 3 / 4 + Milliseconds(100));
    CHECK(Given.statusOf("a", "/read/1") == 503);
    CHECK(Given.m_Bench.await("a").m_Fields.find("Retry-After"));
    CHECK(Given.lastReport().m_Reason == "config_outdated");
    CHECK(Given.lastReport().m_Config.m_KnownVersion == 2);
    CHECK(Given.m_Bench.runsOf("a") == 0);
    CHECK(Given.statusOf("b", "/added/1") == 503);
    Given.m_Currency.noteComplete(Given.m_Bench.m_Time.now());
    CHECK(Given.statusOf("c", "/read/1") == 200);
  }
}
