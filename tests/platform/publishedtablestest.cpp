#include "platform/publishedtables.h"

#include "absl/strings/str_replace.h"

#include <doctest.h>

using namespace monsoon;

namespace {

const std::string ValidConfig = R"({"version":7,
 "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
           "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "listeners":[
  {"host":"orders.example","rule_set":[
   {"name":"r1","kind":"unsafe","target_latency_ms":800,"priority":1,
    "match":{"path_prefix":"/order/"},
    "action":{"service":"orders","timeout_ms":1200,"max_attempts":2}},
   {"name":"r2","kind":"safe","target_latency_ms":600,"priority":2,
    "match":{"path_prefix":"/order/status/"},
    "action":{"traffic_split":[{"service":"ledger","weight":90},
                               {"service":"orders","weight":10}],
              "timeout_ms":1500,"max_attempts":2}}]}],
 "clusters":[
  {"name":"ledger","health_path":"/health","max_connections":130,
   "warmup_s":3.0,"warmup_per_s":5.3,"sharded":true,"warm_s":2.0},
  {"name":"orders","health_path":"/health","max_connections":130,
   "warmup_s":3.0,"warmup_per_s":5.3}]})";

/// Decodes the valid configuration with one text replaced.
bool isAccepted(const std::string &From, const std::string &To) {
  REQUIRE(ValidConfig.find(From) != std::string::npos);
  return decodePublishedTables(absl::StrReplaceAll(ValidConfig, {{From, To}}))
      .has_value();
}

} // namespace

TEST_SUITE("config-in-force") {
  TEST_CASE("a configuration is decoded into routes and pools") {
    const auto Decoded = decodePublishedTables(ValidConfig);
    REQUIRE(Decoded.has_value());
    const RouteIndex &Index = *Decoded.value().m_Routes;
    CHECK(Index.version() == 7);
    CHECK(Index.limits().m_HeaderTimeout == Milliseconds(3000));
    const Route *Order = Index.match("orders.example", "/order/2f");
    REQUIRE(Order);
    CHECK(Order->pool() == "orders");
    CHECK(!Order->isIdempotent());
    CHECK(Order->deadline() == Milliseconds(1200));
    CHECK(Order->maxAttempts() == 2);
    CHECK(Order->priority() == 1);
    CHECK(Index.tables().findPool("ledger")->isOwnedByKey());
    CHECK(!Index.tables().findPool("orders")->isOwnedByKey());
  }

  TEST_CASE("the route with the longest matching prefix is chosen") {
    const auto Decoded = decodePublishedTables(ValidConfig);
    REQUIRE(Decoded.has_value());
    const RouteIndex &Index = *Decoded.value().m_Routes;
    CHECK(Index.match("orders.example", "/order/status/9")->name() == "r2");
    CHECK(Index.match("ORDERS.example:80", "/order/status/9")->name() == "r2");
    CHECK(Index.match("orders.example", "/order/statu/9")->name() == "r1");
    CHECK(Index.match("orders.example", "/order") == nullptr);
    CHECK(Index.match("other.example", "/order/2f") == nullptr);
    CHECK(Index.match("orders.example", "/") == nullptr);
  }

  TEST_CASE("a configuration with any invalid field is rejected as a whole") {
    CHECK(isAccepted("\"version\":7", "\"version\":8"));
    CHECK(!decodePublishedTables(ValidConfig.substr(0, 300)).has_value());
    CHECK(!isAccepted("{\"service\":\"orders\",\"timeout_ms\"",
                      "{\"service\":\"unknown\",\"timeout_ms\""));
    CHECK(!isAccepted("\"host\":\"orders.example\",", ""));
    CHECK(!isAccepted("/order/status/", "/order/"));
    CHECK(!isAccepted("\"timeout_ms\":1200,\"max_attempts\":2",
                      "\"timeout_ms\":1200"));
    CHECK(!isAccepted("\"timeout_ms\":1200,", ""));
    CHECK(!isAccepted(",\"weight\":90", ""));
    CHECK(!isAccepted("\"path_prefix\":\"/order/\"", "\"path\":\"/order/\""));
    CHECK(!isAccepted("\"/order/\"", "\"order\""));
    CHECK(!isAccepted("\"kind\":\"unsafe\"", "\"kind\":\"other\""));
    CHECK(!isAccepted("\"version\":7", "\"version\":\"7\""));
    CHECK(!decodePublishedTables("[]").has_value());
    CHECK(!decodePublishedTables("\xff\xfe").has_value());
  }

  const std::string Tenants =
      R"("tenants":[{"name":"north","api_keys":["k1","k2"],"priority":3,)"
      R"("rate_per_s":357,"burst":50},{"name":"south","api_keys":[]}],)";

  /// Decodes the valid configuration with customers, one text replaced.
  Outcome<PublishedConfig> withTenants(const std::string &From = "north",
                                       const std::string &To = "north") {
    REQUIRE(Tenants.find(From) != std::string::npos);
    return decodePublishedTables(absl::StrReplaceAll(
        ValidConfig,
        {{"\"limits\"",
          absl::StrReplaceAll(Tenants, {{From, To}}) + "\"limits\""}}));
  }

  TEST_CASE("customers and public routes are decoded") {
    const auto Decoded = withTenants();
    REQUIRE(Decoded.has_value());
    REQUIRE(Decoded.value().m_Customers);
    const Customer *North =
        Decoded.value().m_Customers->find(KeyDigest::of("k2"));
    REQUIRE(North);
    CHECK(North->m_Name == "north");
    CHECK(North->m_Priority == 3);
    CHECK(North->m_Allowance == Allowance{357, 50});
    CHECK(withTenants(":357", ":357.5")
              .value()
              .m_Customers->findByName("north")
              ->m_Allowance == Allowance{357.5, 50});
    const Customer *South = Decoded.value().m_Customers->findByName("south");
    REQUIRE(South);
    CHECK(!South->m_Priority.has_value());
    CHECK(!South->m_Allowance.isLimited());
    const auto Plain = decodePublishedTables(ValidConfig);
    REQUIRE(Plain.has_value());
    CHECK(!Plain.value().m_Customers);
    CHECK(!Plain.value().m_Routes->tables().findRoute("r1")->isPublic());
    const auto Public = decodePublishedTables(absl::StrReplaceAll(
        ValidConfig,
        {{"\"kind\":\"unsafe\"", "\"kind\":\"unsafe\",\"public\":true"}}));
    REQUIRE(Public.has_value());
    CHECK(Public.value().m_Routes->tables().findRoute("r1")->isPublic());
  }

  TEST_CASE("a configuration with any invalid customer is rejected as a "
            "whole") {
    CHECK(!withTenants("\"name\":\"north\",", "").has_value());
    CHECK(!withTenants("south", "north").has_value());
    CHECK(!withTenants("[\"k1\",\"k2\"]", "\"k1\"").has_value());
    CHECK(!withTenants("\"k1\"", "7").has_value());
    CHECK(!withTenants("\"api_keys\":[]", "\"api_keys\":[\"k1\"]").has_value());
    CHECK(!withTenants(":357", ":-1").has_value());
    CHECK(!withTenants(":357", ":\"357\"").has_value());
    CHECK(!withTenants(":357", ":0").has_value());
    CHECK(!withTenants("\"priority\":3", "\"priority\":-3").has_value());
    CHECK(!isAccepted("\"limits\"", "\"tenants\":null,\"limits\""));
    CHECK(!isAccepted("\"limits\"", "\"tenants\":[7],\"limits\""));
    CHECK(
        !isAccepted("\"kind\":\"unsafe\"", "\"kind\":\"unsafe\",\"public\":1"));
  }

  // Guards against faults that show a part of what was published.
  TEST_CASE("no fault of a configuration shows a customer's key") {
    std::vector<Outcome<PublishedConfig>> Refused = {
        decodePublishedTables(R"(["k1-secret"])"),
        decodePublishedTables(R"("k1-secret")"),
        decodePublishedTables(R"({"version":7,"tenants":"k1-secret"})")};
    for (const char *Wrong :
         {"\"k1-secret\"", "[\"k1-secret\"]", "{\"api_keys\":[\"k1-secret\"]}"})
      for (const char *Field : {"\"priority\":3", "\"rate_per_s\":357",
                                "\"burst\":50", "\"name\":\"south\""})
        Refused.push_back(withTenants(
            Field, std::string(Field).substr(0, std::string(Field).find(':')) +
                       ":" + Wrong));
    for (const auto &Each : Refused)
      if (!Each)
        CHECK_MESSAGE(Each.error().m_Message.find("k1-secret") ==
                          std::string::npos,
                      Each.error().m_Message);
  }

  TEST_CASE("evacuate keys take a failure domain out of service") {
    CHECK(evacuatedDomain("evacuate/zone-a").value() == "zone-a");
    CHECK(!evacuatedDomain("evacuate/").has_value());
    CHECK(!evacuatedDomain("config").has_value());
  }
}

TEST_SUITE("fractions") {
  // Guards against a version that no host took, since a time or a weight in it
  // had a fraction, and against a latency objective that was not used for that.
  TEST_CASE("measures of a configuration are used as given") {
    const auto Decoded = decodePublishedTables(absl::StrReplaceAll(
        ValidConfig, {{":3000", ":3000.5"},
                      {":15000", ":1.5e4"},
                      {":1200,", ":1200.25,"},
                      {":800", ":800.5"},
                      {"\"weight\":90", "\"weight\":0.9"},
                      {"\"weight\":10", "\"weight\":0.1"}}));
    REQUIRE(Decoded.has_value());
    using std::chrono::microseconds;
    const RouteIndex &Index = *Decoded.value().m_Routes;
    CHECK(Index.limits().m_HeaderTimeout == microseconds(3'000'500));
    CHECK(Index.limits().m_IdleTimeout == Milliseconds(15'000));
    const Route *Order = Index.match("orders.example", "/order/2f");
    REQUIRE(Order);
    CHECK(Order->deadline() == microseconds(1'200'250));
    CHECK(Order->latencyObjective() == microseconds(800'500));
    const auto &Split =
        Index.match("orders.example", "/order/status/9")->split();
    REQUIRE(Split.size() == 2);
    CHECK(Split[0].m_Weight == 0.9);
    CHECK(Split[1].m_Weight == 0.1);
    CHECK(Index.tables().findPool("ledger")->policy().m_WarmupRate == 5.3);
  }

  TEST_CASE("a wrong figure is named with what is allowed") {
    const auto FaultOf = [](const std::string &From, const std::string &To) {
      const auto Decoded =
          decodePublishedTables(absl::StrReplaceAll(ValidConfig, {{From, To}}));
      return Decoded ? std::string() : Decoded.error().m_Message;
    };
    CHECK(FaultOf(":1200,", ":0.5,") ==
          "rule r1: timeout_ms: found 0.5, allowed is a number from 1 to "
          "3600000");
    CHECK(FaultOf("\"weight\":90", "\"weight\":-0.5") ==
          "rule r2: weight: found -0.5, allowed is a number from 0 to 1000000");
    CHECK(FaultOf(":800", ":\"800\"") ==
          "rule r1: target_latency_ms: found \"800\", allowed is a number from "
          "1 to 3600000");
    CHECK(FaultOf("\"priority\":1", "\"priority\":1.5") ==
          "rule r1: priority: found 1.5, allowed is a whole number from 0 to "
          "1000000");
    CHECK(FaultOf("\"warmup_per_s\":5.3", "\"warmup_per_s\":-5.3") ==
          "cluster ledger: warmup_per_s: found -5.3, allowed is a number of at "
          "least 0");
    CHECK(FaultOf("16384", "16384.5") ==
          "limits: max_header_bytes: found 16384.5, allowed is a whole number "
          "from 1 to 1073741824");
    CHECK(!isAccepted("\"version\":7", "\"version\":7.5"));
    CHECK(!isAccepted("\"max_attempts\":2", "\"max_attempts\":2.5"));
    CHECK(!isAccepted("\"weight\":90", "\"weight\":null"));
  }
}
