#include "membership/topicfollower.h"

#include "support/fakeclock.h"

#include <doctest.h>

#include <functional>
#include <utility>
#include <vector>

using namespace monsoon;
using std::chrono::milliseconds;

namespace {

/// A topic whose reads are answered at once, or not at all.
class TopicLog : public SharedLog {
public:
  void append(const std::string & /*Topic*/,
              const std::vector<KeyedRecord> & /*Records*/,
              std::optional<LogOffset> /*At*/, AppendDone Done) override {
    Done(Failure{ErrorKind::LogUnavailable, ""});
  }
  void read(const std::string & /*Topic*/, LogOffset From,
            Milliseconds /*Wait*/, ReadDone Done) override {
    ++m_Reads;
    if (m_Down) {
      Done(Failure{ErrorKind::LogUnavailable, ""});
      return;
    }
    KeyedPage Page;
    Page.m_End = m_Records.size();
    for (LogOffset At = From; At < Page.m_End; ++At)
      Page.m_Records.push_back(m_Records[At]);
    Done(std::move(Page));
  }
  void readNewest(const std::string &Topic, ReadDone Done) override {
    ++m_WholeReads;
    read(Topic, 0, milliseconds(0), std::move(Done));
  }

  /// A heartbeat changes nothing that others need to know.
  void put(bool IsHeartbeat) {
    m_Records.push_back(
        {IsHeartbeat ? "beat" : "change", "value", m_Records.size()});
  }

  std::vector<KeyedRecord> m_Records;
  int m_Reads = 0;
  int m_WholeReads = 0;
  bool m_Down = false;
};

/// A follower on a host of its own.
struct Reader {
  Reader(TopicLog &Log, const Clock &Time, size_t Rank,
         milliseconds TellingTime = milliseconds(0))
      : m_Follower({"topic", milliseconds(0),
                    milliseconds(TellingTime.count() > 0 ? 0 : 400),
                    milliseconds(1000), TellingTime},
                   Log, Time, [this](const KeyedPage &Page, bool /*Whole*/) {
                     bool Any = false;
                     if (m_TellWithin)
                       m_TellWithin();
                     for (const KeyedRecord &Each : Page.m_Records) {
                       Any = Any || Each.m_Key == "change";
                       m_Changes += Each.m_Key == "change" ? 1 : 0;
                     }
                     return Any;
                   }) {
    m_Follower.setRank(Rank);
  }

  int m_Changes = 0;
  /// Called while records are passed on.
  std::function<void()> m_TellWithin;
  TopicFollower m_Follower;
};

/// One host that leads and two that don't.
struct ThreeReaders {
  ThreeReaders()
      : m_Lead(m_Log, m_Time, 0), m_Second(m_Log, m_Time, 1),
        m_Third(m_Log, m_Time, 2) {
    for (Reader *Each : {&m_Lead, &m_Second, &m_Third})
      Each->m_Follower.tick();
    m_Log.m_Reads = 0;
  }

  /// Hosts report every 200 ms what they have read.
  void run(milliseconds Length, bool LeadReports = true) {
    for (milliseconds Passed{0}; Passed < Length; Passed += milliseconds(50)) {
      m_Time.advance(milliseconds(50));
      for (Reader *Each : {&m_Lead, &m_Second, &m_Third})
        if (Each != &m_Lead || LeadReports)
          Each->m_Follower.tick();
      if (Passed.count() % 200 != 0)
        continue;
      for (Reader *From : {&m_Lead, &m_Second, &m_Third})
        for (Reader *To : {&m_Lead, &m_Second, &m_Third})
          if (From != To && (From != &m_Lead || LeadReports))
            To->m_Follower.notePeer(From->m_Follower.progress());
    }
  }

  FakeClock m_Time;
  TopicLog m_Log;
  Reader m_Lead;
  Reader m_Second;
  Reader m_Third;
};

} // namespace

TEST_SUITE("config-in-force") {
  TEST_CASE("only the leading host reads while nothing changes") {
    ThreeReaders Given;
    for (int Beat = 0; Beat < 20; ++Beat) {
      Given.m_Log.put(true);
      Given.run(milliseconds(200));
    }
    CHECK(Given.m_Log.m_Reads <= 4000 / 400 + 1);
  }

  TEST_CASE("a change that the leading host reads is read by all soon") {
    ThreeReaders Given;
    Given.run(milliseconds(1000));
    Given.m_Log.put(false);
    Given.run(milliseconds(800));
    CHECK(Given.m_Lead.m_Changes == 1);
    CHECK(Given.m_Second.m_Changes == 1);
    CHECK(Given.m_Third.m_Changes == 1);
  }

  TEST_CASE("heartbeats that were passed over hide no later change") {
    ThreeReaders Given;
    for (int Round = 0; Round < 10; ++Round) {
      Given.m_Log.put(true);
      Given.run(milliseconds(150));
      Given.m_Log.put(false);
      Given.m_Log.put(true);
      Given.run(milliseconds(900));
    }
    CHECK(Given.m_Second.m_Changes == 10);
    CHECK(Given.m_Third.m_Changes == 10);
  }

  TEST_CASE(
      "without word from the leading host the others read, one for both") {
    ThreeReaders Given;
    Given.run(milliseconds(1000));
    Given.m_Log.put(false);
    Given.run(milliseconds(1500), false);
    CHECK(Given.m_Second.m_Changes == 1);
    CHECK(Given.m_Third.m_Changes == 1);
  }

  TEST_CASE("what is passed on from host to host grows old all the same") {
    // Nobody reads, and all hosts tell each other: each takes the others' age.
    ThreeReaders Given;
    Given.run(milliseconds(1000));
    Given.m_Log.m_Down = true;
    const TimePoint Covered = Given.m_Third.m_Follower.coveredAt();
    Given.run(milliseconds(3000));
    CHECK(Given.m_Third.m_Follower.coveredAt() - Covered <= milliseconds(400));
    const TopicProgress Told = Given.m_Third.m_Follower.progress();
    CHECK(Told.m_Age >= milliseconds(3000));
  }

  TEST_CASE("a log that does not answer is asked less and less often") {
    ThreeReaders Given;
    Given.m_Log.m_Down = true;
    Given.run(milliseconds(6000));
    CHECK(Given.m_Log.m_Reads <= 3 * (6000 / 600 + 3));
    Given.m_Log.m_Down = false;
    Given.m_Log.put(false);
    Given.run(milliseconds(1500));
    CHECK(Given.m_Third.m_Changes == 1);
  }

  TEST_CASE("a change that is told of while it is passed on is missed by "
            "nobody") {
    ThreeReaders Given;
    Given.run(milliseconds(1000));
    Given.m_Lead.m_TellWithin = [&Given]() {
      Given.m_Second.m_Follower.notePeer(Given.m_Lead.m_Follower.progress());
    };
    for (int Round = 0; Round < 5; ++Round) {
      Given.m_Log.put(false);
      Given.run(milliseconds(700));
    }
    CHECK(Given.m_Second.m_Changes == 5);
  }

  TEST_CASE("changes that follow each other closely are read all the same") {
    ThreeReaders Given;
    Reader Waiting(Given.m_Log, Given.m_Time, 1, milliseconds(100));
    Waiting.m_Follower.tick();
    for (int Round = 0; Round < 20; ++Round) {
      Given.m_Log.put(false);
      Given.run(milliseconds(50));
      const LogOffset End = Given.m_Log.m_Records.size();
      Waiting.m_Follower.notePeer({End, End, milliseconds(0)});
      Waiting.m_Follower.tick();
    }
    CHECK(Waiting.m_Changes >= 10);
  }

  TEST_CASE("starting over reads the whole topic") {
    ThreeReaders Given;
    const int Before = Given.m_Log.m_WholeReads;
    Given.m_Third.m_Follower.startOver();
    Given.run(milliseconds(500));
    CHECK(Given.m_Log.m_WholeReads == Before + 1);
  }
}
