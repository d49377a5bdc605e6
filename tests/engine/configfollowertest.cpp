#include "engine/configfollower.h"
#include "support/fakeclock.h"
#include "support/fakeconfigstream.h"

#include <doctest.h>

using namespace monsoon;

namespace {

constexpr Milliseconds SnapshotInterval{1000};

ConfigRecord publish(const std::string &Id, ConfigVersion Base) {
  return {
      PublishRecord{Id, Base, "author", "", std::make_shared<const Tables>()}};
}

} // namespace

TEST_SUITE("config-in-force") {
  TEST_CASE("the router rejects a version that is not newer") {
    Router Routes;
    const auto Value = std::make_shared<const Tables>();
    CHECK(Routes.install(3, Value));
    CHECK_FALSE(Routes.install(2, Value));
    CHECK_FALSE(Routes.install(3, Value));
    CHECK(Routes.current()->m_Version == 3);
  }

  TEST_CASE("a follower applies what was published after a log outage") {
    FakeClock Time;
    FakeConfigStream Stream;
    Router Routes;
    ConfigFollower Follower(Stream, Routes, Time, SnapshotInterval, 0);
    Stream.m_Log.push_back(publish("a", 0));
    Follower.poll();
    CHECK(Routes.current()->m_Version == 1);
    Stream.m_IsDown = true;
    Time.advance(std::chrono::hours(1));
    Follower.poll();
    CHECK_FALSE(Follower.report().m_LogReadable);
    CHECK(Follower.report().m_Age >= std::chrono::hours(1));
    CHECK(Routes.current()->m_Version == 1);
    Stream.m_IsDown = false;
    Stream.m_Log.push_back(publish("b", 1));
    Follower.poll();
    CHECK(Routes.current()->m_Version == 2);
  }

  TEST_CASE("a host that starts after records expired loads the snapshot") {
    FakeClock Time;
    FakeConfigStream Stream;
    Router Routes;
    ConfigFollower Follower(Stream, Routes, Time, SnapshotInterval, 0);
    Stream.m_Log = {publish("a", 0), publish("b", 1)};
    for (int Step = 0; Step < 12; ++Step) {
      Follower.poll();
      Time.advance(Milliseconds(100));
    }
    REQUIRE(Stream.m_Log.size() == 3);
    Stream.m_RetainedRecords = 1;
    Router Late;
    ConfigFollower LateFollower(Stream, Late, Time, SnapshotInterval, 1);
    LateFollower.poll();
    CHECK(Late.current()->m_Version == 2);
  }

  TEST_CASE("only one of several hosts writes the snapshots") {
    FakeClock Time;
    FakeConfigStream Stream;
    Router Routes;
    ConfigFollower First(Stream, Routes, Time, SnapshotInterval, 0);
    ConfigFollower Second(Stream, Routes, Time, SnapshotInterval, 1);
    Stream.m_Log = {publish("a", 0)};
    for (int Step = 0; Step < 100; ++Step) {
      First.poll();
      Second.poll();
      Time.advance(Milliseconds(100));
    }
    CHECK(Stream.m_Log.size() <= 1 + 10);
    CHECK(Stream.m_Log.size() >= 1 + 8);
  }

  TEST_CASE("a host reports an incomplete log if there is no snapshot") {
    FakeClock Time;
    FakeConfigStream Stream;
    Router Routes;
    Stream.m_Log = {publish("a", 0), publish("b", 1)};
    Stream.m_RetainedRecords = 1;
    ConfigFollower Follower(Stream, Routes, Time, SnapshotInterval, 0);
    Follower.poll();
    CHECK_FALSE(Follower.report().m_Complete);
    CHECK(Routes.current()->m_Version == 0);
  }
}
