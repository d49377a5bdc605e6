#include "platform/storeclient.h"
#include "platform/storestandin.h"

#include "net/rawpeer.h"

#include <doctest.h>

#include <map>

using namespace monsoon;

namespace {

/// A test store, a client and the event loop that runs both.
struct StoreFixture {
  StoreFixture()
      : m_Store(m_Loop), m_Client(m_Loop, m_Time, m_Store.start(), 12) {}

  /// Runs the loop until a callback has set the value, for up to 5 s.
  template <typename T> T wait(std::optional<T> &Value) {
    const auto End = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!Value && std::chrono::steady_clock::now() < End)
      m_Loop.run_one_for(std::chrono::milliseconds(50));
    REQUIRE(Value.has_value());
    return std::move(*Value);
  }

  Outcome<LogOffset> append(const std::vector<KeyedRecord> &Records,
                            std::optional<LogOffset> At) {
    std::optional<Outcome<LogOffset>> Result;
    m_Client.append("t", Records, At,
                    [&](const Outcome<LogOffset> &End) { Result = End; });
    return wait(Result);
  }

  Outcome<KeyedPage> read(LogOffset From, Milliseconds Wait) {
    std::optional<Outcome<KeyedPage>> Result;
    m_Client.read("t", From, Wait,
                  [&](const Outcome<KeyedPage> &Page) { Result = Page; });
    return wait(Result);
  }

  Outcome<KeyedPage> readNewest() {
    std::optional<Outcome<KeyedPage>> Result;
    m_Client.readNewest("t",
                        [&](const Outcome<KeyedPage> &Page) { Result = Page; });
    return wait(Result);
  }

  boost::asio::io_context m_Loop;
  BootTimeClock m_Time;
  StoreStandIn m_Store;
  StoreClient m_Client;
};

} // namespace

TEST_CASE("appended records are read back unchanged") {
  StoreFixture Fixture;
  const std::string Binary("\x00\xff\n", 3);
  CHECK(Fixture.append({{"a", "1"}, {"b", Binary}}, std::nullopt).value() == 2);
  CHECK(Fixture.append({{"a", std::nullopt}}, 2).value() == 3);
  const auto Page = Fixture.read(0, Milliseconds(0));
  REQUIRE(Page.has_value());
  CHECK(Page.value().m_End == 3);
  REQUIRE(Page.value().m_Records.size() == 3);
  CHECK(Page.value().m_Records[1].m_Key == "b");
  CHECK(Page.value().m_Records[1].m_Value == Binary);
  CHECK(Page.value().m_Records[1].m_Offset == 1);
  CHECK(!Page.value().m_Records[2].m_Value.has_value());
}

TEST_CASE("a page that can't hold all records says where the topic ends") {
  StoreFixture Fixture;
  const std::string Large(200 << 10, 'x');
  for (int Count = 0; Count < 3; ++Count)
    REQUIRE(Fixture.append({{"a", Large}}, std::nullopt).has_value());
  const auto First = Fixture.read(0, Milliseconds(0));
  REQUIRE(First.has_value());
  CHECK(First.value().m_End < 3);
  CHECK(First.value().m_TopicEnd == 3);
  const auto Last = Fixture.read(2, Milliseconds(0));
  REQUIRE(Last.has_value());
  CHECK(Last.value().m_End == 3);
  CHECK(Last.value().m_TopicEnd == 3);
}

TEST_CASE("a conditional append at an outdated offset fails") {
  StoreFixture Fixture;
  CHECK(Fixture.append({{"a", "1"}}, 0).value() == 1);
  const auto Outdated = Fixture.append({{"a", "2"}}, 0);
  REQUIRE(!Outdated.has_value());
  CHECK(Outdated.error().m_Kind == ErrorKind::VersionLost);
}

TEST_CASE("reading the newest records continues over several pages") {
  StoreFixture Fixture;
  for (int Index = 0; Index < 8; ++Index)
    REQUIRE(Fixture.append({{"k" + std::to_string(Index), "old"}}, std::nullopt)
                .has_value());
  for (int Index = 0; Index < 8; ++Index)
    REQUIRE(Fixture
                .append({{"k" + std::to_string(Index), std::to_string(Index)}},
                        std::nullopt)
                .has_value());
  const auto Page = Fixture.readNewest();
  REQUIRE(Page.has_value());
  REQUIRE(Page.value().m_Records.size() == 8);
  CHECK(Page.value().m_Records[7].m_Value == "7");
  CHECK(Page.value().m_End == 16);
}

TEST_CASE("a long-polling read returns when a record is appended") {
  StoreFixture Fixture;
  std::optional<Outcome<KeyedPage>> Result;
  Fixture.m_Client.read("t", 0, Milliseconds(3000),
                        [&](const Outcome<KeyedPage> &Page) { Result = Page; });
  for (int Step = 0; Step < 5; ++Step)
    Fixture.m_Loop.run_one_for(std::chrono::milliseconds(20));
  CHECK(!Result.has_value());
  REQUIRE(Fixture.append({{"a", "1"}}, std::nullopt).has_value());
  const auto Page = Fixture.wait(Result);
  REQUIRE(Page.has_value());
  CHECK(Page.value().m_Records.size() == 1);
}

TEST_CASE("expired records and an unavailable store give different errors") {
  StoreFixture Fixture;
  REQUIRE(Fixture.append({{"a", "1"}}, std::nullopt).has_value());
  REQUIRE(Fixture.append({{"a", "2"}}, std::nullopt).has_value());
  Fixture.m_Store.compact("keyed.monsoon.t");
  const auto Expired = Fixture.read(0, Milliseconds(0));
  REQUIRE(!Expired.has_value());
  CHECK(Expired.error().m_Kind == ErrorKind::RecordsExpired);
  Fixture.m_Store.m_IsUnavailable = true;
  const auto Unavailable = Fixture.read(2, Milliseconds(0));
  REQUIRE(!Unavailable.has_value());
  CHECK(Unavailable.error().m_Kind == ErrorKind::LogUnavailable);
}

TEST_CASE("records may have been appended when the answer is lost") {
  StoreFixture Fixture;
  Fixture.m_Store.m_AnswersToLose = 1;
  const auto Lost = Fixture.append({{"a", "1"}}, 0);
  REQUIRE(!Lost.has_value());
  CHECK(Lost.error().m_Kind == ErrorKind::LogUnavailable);
  CHECK(Fixture.read(0, Milliseconds(0)).value().m_Records.size() == 1);
}

TEST_CASE("each of 118 members of the group is listed") {
  StoreFixture Fixture;
  std::set<std::string> Joined;
  for (int Number = 0; Number < 118; ++Number)
    Joined.insert("host-" + std::to_string(Number));
  // Twice: a duty passes on once its former holder has joined again.
  uint64_t Generation = 0;
  for (int Round = 0; Round < 2; ++Round)
    for (const std::string &Member : Joined) {
      std::optional<Outcome<GroupAssignment>> Result;
      Fixture.m_Client.join(Member, Milliseconds(60'000), Generation,
                            [&](const Outcome<GroupAssignment> &Assignment) {
                              Result = Assignment;
                            });
      Generation = Fixture.wait(Result).value().m_Generation;
    }
  std::optional<Outcome<std::set<std::string>>> Members;
  Fixture.m_Client.members(
      [&](const Outcome<std::set<std::string>> &Names) { Members = Names; });
  CHECK(Fixture.wait(Members).value() == Joined);
}

TEST_CASE("the duties are divided among the members of the group") {
  StoreFixture Fixture;
  std::map<std::string, uint64_t> Generations;
  const auto Join = [&](const std::string &Member) {
    std::optional<Outcome<GroupAssignment>> Result;
    Fixture.m_Client.join(Member, Milliseconds(1500), Generations[Member],
                          [&](const Outcome<GroupAssignment> &Assignment) {
                            Result = Assignment;
                          });
    const GroupAssignment Assignment = Fixture.wait(Result).value();
    Generations[Member] = Assignment.m_Generation;
    return Assignment;
  };
  CHECK(Join("a").m_Duties.size() == Fixture.m_Client.duties());
  // "b" gets no duty that "a" may still rely on until "a" has joined with the
  // new generation.
  CHECK(Join("b").m_Duties.empty());
  Join("a");
  const GroupAssignment A = Join("a");
  const GroupAssignment B = Join("b");
  CHECK(A.m_Duties.size() + B.m_Duties.size() == Fixture.m_Client.duties());
  CHECK(!B.m_Duties.empty());
  for (const uint32_t Duty : A.m_Duties)
    CHECK(B.m_Duties.count(Duty) == 0);
  std::optional<Outcome<std::set<std::string>>> Members;
  Fixture.m_Client.members(
      [&](const Outcome<std::set<std::string>> &Names) { Members = Names; });
  CHECK(Fixture.wait(Members).value() == std::set<std::string>{"a", "b"});
}

namespace {

GroupAssignment join(StoreFixture &Fixture, const std::string &Member,
                     uint64_t Generation) {
  std::optional<Outcome<GroupAssignment>> Result;
  Fixture.m_Client.join(
      Member, Milliseconds(5000), Generation,
      [&](const Outcome<GroupAssignment> &Joined) { Result = Joined; });
  const auto Joined = Fixture.wait(Result);
  REQUIRE(Joined.has_value());
  return Joined.value();
}

} // namespace

TEST_SUITE("restored-log") {
  TEST_CASE("offsets of a restored log are above all former ones") {
    StoreFixture Fixture;
    const LogOffset Former =
        Fixture.append({{"a", "1"}, {"b", "2"}}, 0).value();
    Fixture.m_Store.restore(1);
    const LogOffset Next = Fixture.append({{"c", "3"}}, std::nullopt).value();
    CHECK(Next > Former);
    CHECK(logEpoch(Next) == logEpoch(Former) + 1);
    const auto Page = Fixture.readNewest();
    REQUIRE(Page.has_value());
    CHECK(Page.value().m_End == Next);
    REQUIRE(Page.value().m_Records.size() == 2);
    CHECK(Page.value().m_Records[1].m_Offset == Next - 1);
    CHECK(Fixture.append({{"d", "4"}}, Next).value() == Next + 1);
  }

  TEST_CASE("a read at an offset of a former epoch fails as expired, although "
            "the log has such an offset again") {
    StoreFixture Fixture;
    const LogOffset Former = Fixture.append({{"a", "1"}}, 0).value();
    Fixture.m_Store.restore(1);
    Fixture.m_Store.put("keyed.monsoon.t", "x", "other");
    Fixture.m_Store.put("keyed.monsoon.t", "y", "other");
    const auto Page = Fixture.read(Former, Milliseconds(0));
    REQUIRE(!Page.has_value());
    CHECK(Page.error().m_Kind == ErrorKind::RecordsExpired);
  }

  TEST_CASE("a conditional append at an offset of a former epoch is not "
            "reported as done") {
    StoreFixture Fixture;
    const LogOffset Former = Fixture.append({{"a", "1"}}, 0).value();
    Fixture.m_Store.restore(1);
    Fixture.m_Store.put("keyed.monsoon.t", "x", "other");
    const auto End = Fixture.append({{"a", "2"}}, Former);
    REQUIRE(!End.has_value());
    CHECK(End.error().m_Kind == ErrorKind::LogUnavailable);
    // The epoch is known now, so nothing is sent.
    const size_t Calls = Fixture.m_Store.m_Calls.size();
    const auto Again = Fixture.append({{"a", "2"}}, Former);
    REQUIRE(!Again.has_value());
    CHECK(Again.error().m_Kind == ErrorKind::VersionLost);
    CHECK(Fixture.m_Store.m_Calls.size() == Calls);
  }

  TEST_CASE("each new epoch is reported once, before the result of the call") {
    StoreFixture Fixture;
    std::vector<uint64_t> Epochs;
    Fixture.m_Client.onNewEpoch(
        [&](uint64_t Epoch) { Epochs.push_back(Epoch); });
    CHECK(Fixture.append({{"a", "1"}}, std::nullopt).has_value());
    CHECK(Epochs.empty());
    Fixture.m_Store.restore(1);
    CHECK(Fixture.append({{"a", "1"}}, std::nullopt).has_value());
    CHECK(Fixture.readNewest().has_value());
    Fixture.m_Store.restore(1);
    CHECK(Fixture.readNewest().has_value());
    CHECK(Epochs == std::vector<uint64_t>{2, 3});
  }

  TEST_CASE(
      "an answer of a former epoch, or with one that is no number, counts "
      "as lost") {
    StoreFixture Fixture;
    Fixture.m_Store.m_EpochField = "3";
    CHECK(Fixture.readNewest().has_value());
    for (const char *Text :
         {"2", "", "-1", "three", "99999999999999999999999", "4194304"}) {
      INFO("field " << Text);
      Fixture.m_Store.m_EpochField = Text;
      const auto Page = Fixture.readNewest();
      // Without the field the epoch is the one known.
      CHECK(Page.has_value() == std::string(Text).empty());
      if (!Page)
        CHECK(Page.error().m_Kind == ErrorKind::LogUnavailable);
    }
  }

  TEST_CASE("generations of the group rise over a restoration") {
    StoreFixture Fixture;
    join(Fixture, "a", 0);
    const GroupAssignment Before = join(Fixture, "b", 0);
    Fixture.m_Store.restore(0);
    const GroupAssignment After = join(Fixture, "b", Before.m_Generation);
    CHECK(After.m_Generation > Before.m_Generation);
    CHECK(After.m_Duties.size() == Fixture.m_Client.duties());
  }
}

namespace {

/// A store at the other end of a full link: it sends the pieces of a page with
/// one record one after the other.
struct SlowStore {
  SlowStore() : m_Client(m_Loop, m_Time, m_Listener.address(), 12) {
    const std::string Record =
        std::string("\x06", 1) + "config" + std::string(PageBytes, 'x');
    m_Page = bigEndian(1, 8) + bigEndian(0, 8) + bigEndian(Record.size(), 4) +
             Record;
  }

  static std::string bigEndian(uint64_t Value, int Bytes) {
    std::string Text;
    for (int Shift = 8 * (Bytes - 1); Shift >= 0; Shift -= 8)
      Text += static_cast<char>(Value >> Shift & 0xff);
    return Text;
  }

  /// Reads the page, of which this many of ten pieces come.
  Outcome<KeyedPage> read(int Pieces, Milliseconds Pause) {
    std::optional<Outcome<KeyedPage>> Result;
    m_Client.read("t", 0, Milliseconds(0),
                  [&](const Outcome<KeyedPage> &Page) { Result = Page; });
    REQUIRE(runUntil(m_Loop, [this]() {
      return m_Listener.connections() > 0 &&
             m_Listener.peer(0).received().find("\r\n\r\n") !=
                 std::string::npos;
    }));
    RawPeer &Store = m_Listener.peer(0);
    Store.send("HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(m_Page.size()) + "\r\n\r\n");
    const size_t Piece = m_Page.size() / 10 + 1;
    for (int Number = 0; Number < Pieces && !Result; ++Number) {
      Store.send(m_Page.substr(static_cast<size_t>(Number) * Piece, Piece));
      runUntil(
          m_Loop, [&Result]() { return Result.has_value(); }, Pause);
    }
    REQUIRE(runUntil(
        m_Loop, [&Result]() { return Result.has_value(); },
        Milliseconds(8000)));
    return *Result;
  }

  static constexpr size_t PageBytes = 200 << 10;
  boost::asio::io_context m_Loop;
  BootTimeClock m_Time;
  RawListener m_Listener{m_Loop};
  StoreClient m_Client;
  std::string m_Page;
};

} // namespace

TEST_SUITE("late-news") {
  // Guards against hosts that read a large version again and again: a read
  // that took longer than the call timeout was begun anew.
  TEST_CASE("a large page is read although it arrives slowly") {
    SlowStore Store;
    const auto Page = Store.read(10, Milliseconds(150));
    REQUIRE(Page.has_value());
    REQUIRE(Page.value().m_Records.size() == 1);
    CHECK(Page.value().m_Records.front().m_Value->size() ==
          SlowStore::PageBytes);
  }

  TEST_CASE("a page that stops arriving is given up after the call timeout") {
    SlowStore Store;
    const auto Start = std::chrono::steady_clock::now();
    CHECK(!Store.read(3, Milliseconds(100)).has_value());
    const auto Taken = std::chrono::steady_clock::now() - Start;
    CHECK(Taken >= Milliseconds(700));
    CHECK(Taken <= Milliseconds(2000));
  }
}

TEST_SUITE("fractions") {
  // Guards against offsets that were cut to whole ones.
  TEST_CASE("an answer of the store with a fraction as offset is refused") {
    for (const char *Answer :
         {R"({"items":[],"end":6.5})",
          R"({"items":[{"key":"k","value":"","offset":0.5}],"end":1})"}) {
      boost::asio::io_context Loop;
      const BootTimeClock Time;
      RawListener Listener(Loop);
      StoreClient Client(Loop, Time, Listener.address(), 12);
      std::optional<Outcome<KeyedPage>> Result;
      Client.readNewest("t",
                        [&](const Outcome<KeyedPage> &Page) { Result = Page; });
      REQUIRE(runUntil(Loop, [&Listener]() {
        return Listener.connections() > 0 &&
               !Listener.peer(0).received().empty();
      }));
      Listener.peer(0).send("HTTP/1.1 200 OK\r\nContent-Length: " +
                            std::to_string(std::string(Answer).size()) +
                            "\r\n\r\n" + Answer);
      REQUIRE(runUntil(Loop, [&Result]() { return Result.has_value(); }));
      CHECK_FALSE(*Result);
    }
  }
}
