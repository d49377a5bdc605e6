#include "codec/gatewaysettingscodec.h"
#include "support/tempfile.h"

#include "absl/strings/str_cat.h"

#include <doctest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <regex>

using namespace monsoon;

namespace {

using Fields = std::map<std::string, std::string>;

/// Fills in the template of the settings as the platform does: sections are
/// kept if their field has a value, and placeholders are replaced by theirs.
std::string fillTemplate(const Fields &Values) {
  std::ifstream File(MONSOON_DEPLOY "/settings.json.in");
  std::string Text{std::istreambuf_iterator<char>(File), {}};
  const std::regex Placeholder(R"(\{\{([#/]?)([a-z0-9_.]+)\}\})");
  std::smatch Match;
  while (std::regex_search(Text, Match, Placeholder)) {
    const auto Value = Values.find(Match[2]);
    const auto Start = static_cast<size_t>(Match.position());
    auto Length = static_cast<size_t>(Match.length());
    std::string Replacement;
    if (Match[1] == "#" && Value == Values.end())
      Length = Text.find(absl::StrCat("{{/", Match[2].str(), "}}")) - Start;
    else if (Match[1] == "" && Value != Values.end())
      Replacement = Value->second;
    Text.replace(Start, Length, Replacement);
  }
  return Text;
}

/// The values of a host, all whole.
Fields hostValues() {
  return {{"node", "front-1"},
          {"zone", "z1"},
          {"ip", "10.1.0.15"},
          {"listen.front", "10.1.0.15:8641"},
          {"listen.ready_address", "10.1.0.15:8640"},
          {"internal_port_range.0", "7620"},
          {"platform.address", "10.200.1.7:8642"},
          {"platform.parts", "12"},
          {"limits.link_mbps", "2000"},
          {"bounds.retry_budget_ratio", "1"},
          {"bounds.retry_budget_slack", "62"},
          {"bounds.budget_window_s", "10"},
          {"bounds.hold_max_ms", "10000"},
          {"bounds.config_apply_ms", "2000"},
          {"bounds.grace_s", "6"},
          {"bounds.strict_revocation", "true"},
          {"bounds.revoke_ms", "5000"}};
}

Outcome<GatewaySettings> load(const Fields &Values) {
  const TempFile File(fillTemplate(Values));
  return loadGatewaySettings(File.path());
}

} // namespace

TEST_SUITE("fractions") {
  // Guards against bounds with a fraction with which no host starts.
  TEST_CASE("hosts start with any bound of the platform in fractions") {
    const auto Whole = load(hostValues());
    REQUIRE_MESSAGE(Whole, Whole.error().m_Message);
    CHECK(Whole.value().m_StopLimit == Milliseconds(6000));
    for (auto [Field, Value] : hostValues()) {
      const bool IsBound =
          Field.rfind("bounds.", 0) == 0 || Field == "limits.link_mbps";
      if (!IsBound || Value == "true")
        continue;
      Fields Values = hostValues();
      Values[Field] = absl::StrCat(Value, ".5");
      CHECK_MESSAGE(load(Values), Field);
      Values[Field] = absl::StrCat("-", Value);
      CHECK_MESSAGE(!load(Values), Field);
    }
  }

  TEST_CASE("each bound in fractions reaches its setting as given") {
    Fields Values = hostValues();
    for (const char *Field :
         {"bounds.retry_budget_ratio", "bounds.retry_budget_slack",
          "bounds.budget_window_s", "bounds.hold_max_ms",
          "bounds.config_apply_ms", "bounds.grace_s", "bounds.revoke_ms",
          "limits.link_mbps"})
      absl::StrAppend(&Values[Field], ".5");
    const auto Loaded = load(Values);
    REQUIRE_MESSAGE(Loaded, Loaded.error().m_Message);
    using std::chrono::microseconds;
    const GatewaySettings &Config = Loaded.value();
    CHECK(Config.m_RetryRatio == 1.5);
    CHECK(Config.m_RetrySlack == 62.5);
    CHECK(Config.m_RetryWindow == Milliseconds(10'500));
    CHECK(Config.m_LongestHold == microseconds(10'000'500));
    CHECK(Config.m_ConfigApplyLimit == microseconds(2'000'500));
    CHECK(Config.m_StopLimit == Milliseconds(6500));
    CHECK(Config.m_RevocationTimeout == microseconds(5'000'500));
    CHECK(Config.m_LinkMbps == 2000.5);
    CHECK(Config.m_StrictRevocation);
  }
}
