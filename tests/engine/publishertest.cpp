#include "engine/publisher.h"
#include "support/fakeclock.h"
#include "support/fakeconfigstream.h"

#include <doctest.h>

using namespace monsoon;

namespace {

Publication publication(const std::string &Id) {
  Publication Result;
  Result.m_Id = Id;
  Result.m_Author = "operator";
  Result.m_Tables = std::make_shared<const Tables>();
  return Result;
}

} // namespace

TEST_SUITE("config-in-force") {
  TEST_CASE("of two concurrent publications one fails with VersionLost") {
    FakeClock Time;
    FakeConfigStream Stream;
    Publisher First(Stream, Time);
    Publisher Second(Stream, Time);
    Stream.m_BeforeAppend = [&] {
      CHECK(Second.publish(publication("second")).value() == 1);
    };
    const auto Result = First.publish(publication("first"));
    REQUIRE_FALSE(Result);
    CHECK(Result.error().m_Kind == ErrorKind::VersionLost);
    CHECK(First.current().value().history().back().m_Id == "second");
  }

  TEST_CASE("a lost reply proves neither success nor failure") {
    FakeClock Time;
    FakeConfigStream Stream;
    SUBCASE("the record was written") { Stream.m_LosesReplies = true; }
    SUBCASE("the record was not written") { Stream.m_AppendsToFail = 3; }
    Publisher Publish(Stream, Time);
    CHECK(Publish.publish(publication("a")).value() == 1);
    CHECK(Publish.current().value().version() == 1);
  }

  TEST_CASE("a publication based on an outdated version is rejected") {
    FakeClock Time;
    FakeConfigStream Stream;
    Publisher Publish(Stream, Time);
    REQUIRE(Publish.publish(publication("a")));
    Publication Outdated = publication("b");
    Outdated.m_Base = 0;
    const auto Result = Publish.publish(Outdated);
    REQUIRE_FALSE(Result);
    CHECK(Result.error().m_Kind == ErrorKind::VersionLost);
    CHECK(Stream.m_Log.size() == 1);
  }

  TEST_CASE("publishing fails with LogUnavailable while the log is down") {
    FakeClock Time;
    FakeConfigStream Stream;
    Publisher Publish(Stream, Time);
    REQUIRE(Publish.publish(publication("a")));
    Stream.m_IsDown = true;
    const auto Result = Publish.publish(publication("b"));
    REQUIRE_FALSE(Result);
    CHECK(Result.error().m_Kind == ErrorKind::LogUnavailable);
  }
}
