#include "policy/targetnotices.h"

#include <doctest.h>

using namespace monsoon;

namespace {

constexpr std::chrono::seconds Second{1};
const TimePoint Start = TimePoint{} + 1000 * Second;

bool isKnown(const std::string & /*Id*/) { return true; }
bool isUnknown(const std::string & /*Id*/) { return false; }

} // namespace

TEST_SUITE("leaving-target") {
  TEST_CASE("a notice holds for its incarnation and later ones replace it") {
    TargetNotices Notices;
    CHECK(Notices.noteLeaving(Start, "t", 2, false));
    CHECK(!Notices.noteLeaving(Start + Second, "t", 2, true));
    CHECK(!Notices.noteLeaving(Start + Second, "t", 1, false));
    CHECK(Notices.leavingSince("t", 2) == Start);
    CHECK(!Notices.leavingSince("t", 1));
    CHECK(!Notices.leavingSince("t", 3));
    CHECK(!Notices.leavingSince("u", 2));
    CHECK(Notices.noteLeaving(Start + Second, "t", 3, false));
    CHECK(Notices.leavingSince("t", 3) == Start + Second);
    CHECK(!Notices.leavingSince("t", 2));
  }

  TEST_CASE("only what targets told this host lately is reported to peers") {
    TargetNotices Notices;
    Notices.noteLeaving(Start, "own", 1, false);
    Notices.noteLeaving(Start, "peer", 1, true);
    const std::map<std::string, int64_t> Own{{"own", 1}};
    CHECK(Notices.leavingToReport(Start) == Own);
    CHECK(Notices.leavingToReport(Start + 2 * Second).empty());
  }

  TEST_CASE("a notice outlasts a missing entry and is dropped in the end") {
    TargetNotices Notices;
    Notices.noteLeaving(Start, "t", 1, false);
    Notices.forgetUnknown(Start + 60 * Second, isUnknown);
    CHECK(Notices.leavingSince("t", 1));
    Notices.forgetUnknown(Start + 400 * Second, isKnown);
    CHECK(Notices.leavingSince("t", 1));
    Notices.forgetUnknown(Start + 400 * Second, isUnknown);
    CHECK(!Notices.leavingSince("t", 1));
  }
}

TEST_CASE("a limit holds until a later request is answered without it") {
  TargetNotices Notices;
  CHECK(!Notices.noteLimit(Start, "t", 1, {}, Start));
  CHECK(Notices.noteLimit(Start, "t", 1, 2.0, Start - Second));
  CHECK(!Notices.noteLimit(Start + Second, "t", 1, 2.0, Start));
  CHECK(Notices.limitOf("t", 1) == 2.0);
  // Sent before the limit was named for the last time.
  CHECK(!Notices.noteLimit(Start + 2 * Second, "t", 1, {}, Start));
  CHECK(Notices.limitOf("t", 1) == 2.0);
  CHECK(Notices.noteLimit(Start + 3 * Second, "t", 1, 0.5, Start));
  CHECK(Notices.limitOf("t", 1) == 0.5);
  CHECK(Notices.noteLimit(Start + 5 * Second, "t", 1, {}, Start + 4 * Second));
  CHECK(!Notices.limitOf("t", 1));
}

TEST_CASE("a new incarnation has no limit, and an old one's no effect") {
  TargetNotices Notices;
  Notices.noteLimit(Start, "t", 1, 2.0, Start);
  CHECK(!Notices.limitOf("t", 2));
  Notices.noteLeaving(Start, "t", 2, false);
  CHECK(!Notices.limitOf("t", 1));
  CHECK(!Notices.noteLimit(Start, "t", 1, 3.0, Start));
  CHECK(!Notices.limitOf("t", 2));
}
