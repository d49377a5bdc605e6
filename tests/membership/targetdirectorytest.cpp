#include "membership/targetdirectory.h"

#include <doctest.h>

using namespace monsoon;
using std::chrono::seconds;

namespace {

/// Six targets that were entered, and a clock.
struct SixTargets {
  SixTargets() {
    m_Directory.noteContact(m_Now);
    for (int Number = 1; Number <= 6; ++Number)
      enter("t" + std::to_string(Number), 1);
    m_Directory.update(m_Now);
  }

  void enter(const std::string &Id, int64_t Sequence, int64_t Life = 1) {
    TargetInfo Entry;
    Entry.m_Id = Id;
    Entry.m_Incarnation = Life;
    Entry.m_Sequence = Sequence;
    m_Directory.noteEntry(m_Now, Entry);
  }

  bool has(const std::string &Id) const {
    return m_Directory.targets().count(Id) > 0;
  }

  /// The log can be read again after some time.
  void returnAfter(Duration Outage) {
    m_Now += Outage;
    m_Directory.noteContact(m_Now);
  }

  TimePoint m_Now{seconds(100)};
  TargetDirectory m_Directory;
};

} // namespace

TEST_SUITE("leaving-target") {
  TEST_CASE("a removed entry is gone at once") {
    SixTargets Given;
    Given.m_Directory.noteRemoved(Given.m_Now, "t1");
    CHECK(Given.m_Directory.update(Given.m_Now));
    CHECK(!Given.has("t1"));
  }

  TEST_CASE(
      "after an outage of the log, entries that all lapsed are kept until "
      "their targets can have entered themselves again") {
    SixTargets Given;
    Given.returnAfter(seconds(9));
    for (int Number = 1; Number <= 6; ++Number)
      Given.m_Directory.noteRemoved(Given.m_Now, "t" + std::to_string(Number));
    Given.m_Directory.update(Given.m_Now);
    CHECK(Given.has("t1"));
    Given.m_Now += seconds(1);
    Given.enter("t1", 2);
    Given.m_Directory.update(Given.m_Now);
    Given.m_Now += seconds(2);
    Given.m_Directory.update(Given.m_Now);
    CHECK(Given.has("t1"));
    CHECK(!Given.has("t2"));
  }

  TEST_CASE("a host that was cut off takes the few that are missing as gone") {
    // Most entries are there, so the log was not away for the targets.
    SixTargets Given;
    Given.returnAfter(seconds(9));
    Given.m_Directory.noteRemoved(Given.m_Now, "t1");
    Given.m_Directory.update(Given.m_Now);
    CHECK(!Given.has("t1"));
    CHECK(Given.has("t2"));
  }
}

TEST_CASE("an older entry that turns up late changes nothing") {
  SixTargets Given;
  Given.enter("t1", 5, 2);
  Given.enter("t1", 9, 1);
  CHECK(Given.m_Directory.targets().at("t1").m_Incarnation == 2);
  Given.m_Directory.noteRemoved(Given.m_Now, "t1");
  Given.enter("t1", 4, 2);
  CHECK(!Given.has("t1"));
  Given.enter("t1", 6, 2);
  CHECK(Given.has("t1"));
}

TEST_CASE("a heartbeat alone tells nothing that other hosts need") {
  TargetDirectory Directory;
  TargetInfo Entry;
  Entry.m_Id = "t1";
  Entry.m_Incarnation = Entry.m_Sequence = 1;
  CHECK(Directory.noteEntry(TimePoint(seconds(1)), Entry));
  Entry.m_Sequence = 2;
  CHECK(!Directory.noteEntry(TimePoint(seconds(2)), Entry));
  Entry.m_WarmupLeft = Milliseconds(3000);
  CHECK(Directory.noteEntry(TimePoint(seconds(3)), Entry));
  Entry.m_WarmupLeft = Milliseconds(2000);
  CHECK(!Directory.noteEntry(TimePoint(seconds(4)), Entry));
  Entry.m_Draining = true;
  CHECK(Directory.noteEntry(TimePoint(seconds(5)), Entry));
}
