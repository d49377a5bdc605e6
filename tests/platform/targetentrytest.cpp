#include "platform/targetentry.h"

#include "absl/strings/str_replace.h"

#include <doctest.h>

using namespace monsoon;

namespace {

const std::string ValidEntry =
    R"({"service":"ledger","address":"10.128.0.9:8080","zone":"zone-a",)"
    R"("version":"v1","slots":4,"state":"ready","warmup_remaining_ms":250,)"
    R"("sequence":4,"born":1700000000123})";

/// Decodes the valid entry with one text replaced.
bool isAccepted(std::string From, const std::string &To) {
  std::string Text = ValidEntry;
  const size_t At = Text.find(From);
  REQUIRE(At != std::string::npos);
  Text.replace(At, From.size(), To);
  return decodeTargetEntry("i-1", Text).has_value();
}

} // namespace

TEST_CASE("a valid entry is decoded into a target") {
  const auto Decoded = decodeTargetEntry("i-1", ValidEntry);
  REQUIRE(Decoded.has_value());
  CHECK(Decoded.value().m_Id == "i-1");
  CHECK(Decoded.value().m_Pool == "ledger");
  CHECK(Decoded.value().m_Address == Endpoint{"10.128.0.9", 8080});
  CHECK(Decoded.value().m_WarmupLeft == Milliseconds(250));
  CHECK(Decoded.value().m_Incarnation == 1'700'000'000'123);
  CHECK(!Decoded.value().m_Draining);
}

TEST_CASE("entries with missing or invalid fields are rejected") {
  CHECK(isAccepted("\"ready\"", "\"draining\""));
  CHECK(!isAccepted("\"ready\"", "\"gone\""));
  CHECK(!isAccepted("\"ready\"", "1"));
  CHECK(!isAccepted("\"slots\":4,", ""));
  CHECK(!isAccepted("\"slots\":4", "\"slots\":\"4\""));
  CHECK(!isAccepted("\"slots\":4", "\"slots\":0"));
  CHECK(!isAccepted("10.128.0.9:8080", "10.128.0.9"));
  CHECK(!isAccepted("10.128.0.9:8080", "name:8080"));
  CHECK(!isAccepted("\"sequence\":4", "\"sequence\":-4"));
  CHECK(!isAccepted("1700000000123", "1700000000123.5"));
  CHECK(!decodeTargetEntry("i-1", "\x01\x02").has_value());
  CHECK(!decodeTargetEntry("i-1", "").has_value());
  CHECK(!decodeTargetEntry("i-1", "[1]").has_value());
}

TEST_SUITE("fractions") {
  // Guards against a server that no host used, since its warm-up time had a
  // fraction.
  TEST_CASE("the warm-up time of an entry is used as given") {
    const auto Decode = [](const std::string &From, const std::string &To) {
      return decodeTargetEntry("i-1",
                               absl::StrReplaceAll(ValidEntry, {{From, To}}));
    };
    const auto Warming = Decode(":250", ":250.5");
    REQUIRE(Warming.has_value());
    CHECK(Warming.value().m_WarmupLeft == std::chrono::microseconds(250'500));
    CHECK(Decode(":250", ":-0.5").error().m_Message ==
          "entry i-1: warmup_remaining_ms: found -0.5, allowed is a number "
          "from 0 to 1000000000");
    CHECK(!Decode(":250", ":\"250\"").has_value());
    CHECK(!Decode(":250", ":9e18").has_value());
    CHECK(!Decode("\"slots\":4", "\"slots\":4.5").has_value());
    CHECK(!Decode("\"sequence\":4", "\"sequence\":4.5").has_value());
    CHECK(Decode("\"slots\":4", "\"slots\":4.0").value().m_Slots == 4);
  }
}
