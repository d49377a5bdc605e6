#include "codec/gatewaysettingscodec.h"
#include "support/tempfile.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

#include <doctest.h>

using namespace monsoon;

namespace {

/// Loads valid settings with one field added.
Outcome<GatewaySettings> withField(const std::string &Field,
                                   const std::string &Value) {
  const TempFile File(absl::StrCat(
      R"({"host": "e1", "failure_domain": "d1", "callers": "127.0.0.1:1",
          "readiness": "127.0.0.1:2", "metrics": "127.0.0.1:3",
          "peers": "127.0.0.1:4", "log": "127.0.0.1:5", ")",
      Field, "\": ", Value, "}"));
  return loadGatewaySettings(File.path());
}

/// True if the value is refused with the field, the value and what is allowed.
bool isRefused(const std::string &Field, const std::string &Value,
               const std::string &Allowed) {
  const auto Loaded = withField(Field, Value);
  return !Loaded && Loaded.error().m_Message.find(absl::StrCat(
                        ": ", Field, ": found ", Value, ", allowed is ",
                        Allowed)) != std::string::npos;
}

} // namespace

TEST_SUITE("fractions") {
  // Guards against hosts that didn't start when the platform gave the time to
  // stop as 6.5 s.
  TEST_CASE("a host starts with a stop limit that has a fraction of a second") {
    const auto Loaded = withField("stop_limit_s", "6.5");
    REQUIRE(Loaded);
    CHECK(Loaded.value().m_StopLimit == Milliseconds(6500));
  }

  // Guards against the same with the other times that the platform gives.
  TEST_CASE("times of the settings are used as given") {
    const auto Time = [](const char *Field, const char *Value, auto Member) {
      const auto Loaded = withField(Field, Value);
      REQUIRE_MESSAGE(Loaded, Field);
      return Loaded.value().*Member;
    };
    using std::chrono::microseconds;
    CHECK(Time("retry_window_s", "2.25", &GatewaySettings::m_RetryWindow) ==
          Milliseconds(2250));
    CHECK(Time("longest_hold_ms", "9999.5", &GatewaySettings::m_LongestHold) ==
          microseconds(9'999'500));
    CHECK(Time("config_apply_ms", "2000.125",
               &GatewaySettings::m_ConfigApplyLimit) ==
          microseconds(2'000'125));
    CHECK(Time("revoke_ms", "1e3", &GatewaySettings::m_RevocationTimeout) ==
          Milliseconds(1000));
    CHECK(Time("stop_limit_s", "6.0", &GatewaySettings::m_StopLimit) ==
          Milliseconds(6000));
    CHECK(Time("stop_limit_s", "6.1", &GatewaySettings::m_StopLimit) ==
          Milliseconds(6100));
    CHECK(Time("stop_limit_s", "3600", &GatewaySettings::m_StopLimit) ==
          std::chrono::hours(1));
  }

  TEST_CASE("ratios, slacks and capacities of the settings are used as given") {
    CHECK(withField("retry_ratio", "0.25").value().m_RetryRatio == 0.25);
    CHECK(withField("retry_slack", "62.5").value().m_RetrySlack == 62.5);
    CHECK(withField("link_mbps", "13.7").value().m_LinkMbps == 13.7);
  }

  TEST_CASE(
      "what is no time or out of range is refused, with what is allowed") {
    for (const char *Value : {"-6.5", "0", "0.999", "3600.001", "1e+300",
                              "\"6.5\"", "true", "null"})
      CHECK_MESSAGE(isRefused("stop_limit_s", Value, "a number from 1 to 3600"),
                    Value);
    CHECK(isRefused("retry_window_s", "-1", "a number from 1 to 3600"));
    CHECK(isRefused("longest_hold_ms", "99.5", "a number from 100 to 3600000"));
    CHECK(isRefused("retry_ratio", "-0.1", "a number of at least 0"));
    CHECK(isRefused("link_mbps", "\"13.7\"", "a number of at least 0"));
    CHECK(!withField("stop_limit_s", "nan"));
    CHECK(!withField("stop_limit_s", "1e999"));
  }

  TEST_CASE("a count takes no fraction") {
    CHECK(withField("log_partitions", "12.0").value().m_LogPartitions == 12);
    CHECK(
        isRefused("log_partitions", "12.5", "a whole number from 1 to 10000"));
  }
}
