#include "codec/settingscodec.h"
#include "support/tempfile.h"

#include <doctest.h>

#include <fstream>
#include <iterator>

using namespace monsoon;

namespace {

std::string faultsOf(const std::string &Text) {
  const TempFile File(Text);
  const auto Loaded = loadSettings(File.path());
  REQUIRE_FALSE(Loaded);
  CHECK(Loaded.error().m_Kind == ErrorKind::SettingsInvalid);
  CHECK(Loaded.error().m_Message.find(File.path()) == 0);
  return Loaded.error().m_Message;
}

bool mentions(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_CASE("the example settings are valid") {
  for (const std::string User : {"karadere", "bawelna"})
    for (int Host = 1; Host <= 5; ++Host) {
      const auto Loaded =
          loadSettings(std::string(MONSOON_EXAMPLES) + "/" + User + "/entry-" +
                       std::to_string(Host) + ".json");
      REQUIRE(Loaded);
      CHECK(Loaded.value().m_Peers.size() == 4);
    }
}

TEST_CASE(
    "faults name the file, the field, the value found and those allowed") {
  const std::string Faults = faultsOf(
      R"({"host": "", "failure_domain": "d", "callers": {"port": 70000},
          "admin": 7, "log_level": "loud", "stop_grace_ms": -1,
          "limits": {"workers": "many", "color": "red"}, "hots": 1})");
  CHECK(mentions(Faults, ": host: found \"\", allowed is a non-empty string"));
  CHECK(mentions(Faults, ": callers: port: found 70000, allowed is a whole "
                         "number from 1 to 65535"));
  CHECK(mentions(Faults, ": admin: found 7, allowed is an object"));
  CHECK(mentions(Faults, ": peer: found nothing"));
  CHECK(
      mentions(Faults, ": log_level: found \"loud\", allowed is debug, info"));
  CHECK(mentions(Faults, ": stop_grace_ms: found -1"));
  CHECK(mentions(Faults, ": limits: workers: found \"many\""));
  CHECK(mentions(Faults, ": limits: color: unknown field"));
  CHECK(mentions(Faults, ": hots: unknown field"));
}

TEST_CASE("malformed JSON and missing files are rejected") {
  CHECK(mentions(faultsOf("{\"host\": "), "Line 1"));
  CHECK(mentions(faultsOf("[]"), "allowed is an object"));
  CHECK(mentions(faultsOf(std::string(100, '[')), "stackLimit"));
  CHECK_FALSE(loadSettings("/nonexistent/settings.json"));
}

TEST_SUITE("fractions") {
  // Guards against hosts of the former program that didn't start with a time in
  // fractions of a millisecond.
  TEST_CASE("times of the former program's settings are used as given") {
    std::ifstream Example(std::string(MONSOON_EXAMPLES) +
                          "/karadere/entry-1.json");
    const std::string Text{std::istreambuf_iterator<char>(Example), {}};
    const size_t Start = Text.find('{');
    REQUIRE(Start != std::string::npos);
    const TempFile File("{\"stop_limit_ms\": 6500.5, \"log_poll_ms\": 99.5," +
                        Text.substr(Start + 1));
    const auto Loaded = loadSettings(File.path());
    REQUIRE(Loaded);
    CHECK(Loaded.value().m_StopLimit == std::chrono::microseconds(6'500'500));
    CHECK(Loaded.value().m_LogPoll == std::chrono::microseconds(99'500));
  }
}
