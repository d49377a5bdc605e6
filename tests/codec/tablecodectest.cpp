#include "codec/tablecodec.h"
#include "codec/jsontext.h"
#include "support/tempfile.h"

#include <doctest.h>

using namespace monsoon;

namespace {

Outcome<Tables> example(const std::string &User) {
  const std::string Folder = std::string(MONSOON_EXAMPLES) + "/" + User;
  return loadTables(Folder + "/routes.json", Folder + "/pools.json");
}

std::string faultsOf(const std::string &Routes, const std::string &Pools) {
  const TempFile RoutesFile(Routes);
  const TempFile PoolsFile(Pools);
  const auto Loaded = loadTables(RoutesFile.path(), PoolsFile.path());
  REQUIRE_FALSE(Loaded);
  CHECK(Loaded.error().m_Kind == ErrorKind::TableInvalid);
  return Loaded.error().m_Message;
}

bool mentions(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("the example pools have the expected number of targets") {
  const auto Karadere = example("karadere");
  REQUIRE(Karadere);
  CHECK(Karadere.value().findPool("ledger")->targets().size() == 20);
  CHECK(Karadere.value().findPool("orders")->targets().size() == 10);
  const auto Bawelna = example("bawelna");
  REQUIRE(Bawelna);
  CHECK(Bawelna.value().findPool("certificates")->targets().size() == 13);
}

TEST_CASE("tables are unchanged by encoding and decoding") {
  for (const char *User : {"karadere", "bawelna"}) {
    const auto Loaded = example(User);
    REQUIRE(Loaded);
    const auto Decoded = decodeTables(encodeTables(Loaded.value()), "encoded");
    REQUIRE(Decoded);
    CHECK(Decoded.value() == Loaded.value());
  }
}

TEST_CASE("malformed tables are rejected with the location of each fault") {
  const std::string Faults =
      faultsOf(R"({"routes": [{"name": "r", "path": "x", "pool": "p",
                   "class": "urgent", "key": {"in": "cookie", "name": "k"}}]})",
               R"({"pools": [{"name": "p", "targets": [{"name": "t",
                   "host": "h", "port": 0, "failure_domain": "d"}]}]})");
  CHECK(mentions(Faults, "routes[0]: path: found \"x\""));
  CHECK(mentions(Faults, "routes[0]: class: found \"urgent\""));
  CHECK(mentions(Faults, "routes[0]: key: in: found \"cookie\""));
  CHECK(mentions(Faults, "targets[0]: port: found 0"));
  CHECK(mentions(faultsOf(R"({"routes": {}})", "{}"),
                 "routes: found {}, allowed is an array of objects"));
}

TEST_CASE("routes to missing pools are rejected") {
  CHECK(mentions(
      faultsOf(R"({"routes": [{"name": "r", "path": "/x", "methods": ["GET"],
                   "pool": "p", "class": "lookup"}]})",
               R"({"pools": []})"),
      "route \"r\": pool \"p\" does not exist in table \"pools\""));
}

TEST_SUITE("fractions") {
  // Guards against tables that were refused for a time or a percentage with a
  // fraction.
  TEST_CASE("measures of the tables are used as given, also after encoding") {
    const TempFile Routes(R"({"routes": [{"name": "r", "path": "/x",
        "methods": ["GET"], "pool": "p", "class": "lookup",
        "deadline_ms": 1200.1}]})");
    const TempFile Pools(R"({"pools": [{"name": "p", "policy": {
        "warm_step_ms": 62.5, "retry_percent": 2.5, "hedge_percent": 0.5,
        "queue_per_slot": 1.5}, "targets": [{"name": "t", "host": "h",
        "port": 1, "failure_domain": "d"}]}]})");
    const auto Loaded = loadTables(Routes.path(), Pools.path());
    REQUIRE_MESSAGE(Loaded, Loaded.error().m_Message);
    CHECK(Loaded.value().findRoute("r")->deadline() ==
          std::chrono::microseconds(1'200'100));
    const PoolPolicy &Policy = Loaded.value().findPool("p")->policy();
    CHECK(Policy.m_WarmStep == std::chrono::microseconds(62'500));
    CHECK(Policy.m_RetryPercent == 2.5);
    CHECK(Policy.m_HedgePercent == 0.5);
    CHECK(Policy.m_QueuePerSlot == 1.5);
    const Json::Value Encoded = encodeTables(Loaded.value());
    const auto Text =
        parseJson(writeJson(Encoded), "encoded", ErrorKind::TableInvalid);
    CHECK(decodeTables(Text.value(), "encoded").value() == Loaded.value());
  }

  TEST_CASE("counts of the tables take no fraction") {
    CHECK(mentions(faultsOf(R"({"routes": []})",
                            R"({"pools": [{"name": "p", "policy":
                                {"cold_limit": 1.5}}]})"),
                   "cold_limit: found 1.5, allowed is a whole number from 1"));
  }
}
