#include "platform/storeclient.h"
#include "platform/storestandin.h"

#include <doctest.h>

#include <map>

using namespace monsoon;

namespace {

/// A store, a client and the loop that runs both.
struct StoreBench {
  StoreBench() : m_Store(m_Loop), m_Client(m_Loop, m_Time, m_Store.start()) {}

  /// Runs the loop until a callback has set the value.
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

TEST_CASE("records come back as they were appended") {
  StoreBench Bench;
  const std::string Binary("\x00\xff\n", 3);
  CHECK(Bench.append({{"a", "1"}, {"b", Binary}}, std::nullopt).value() == 2);
  CHECK(Bench.append({{"a", std::nullopt}}, 2).value() == 3);
  const auto Page = Bench.read(0, Milliseconds(0));
  REQUIRE(Page.has_value());
  CHECK(Page.value().m_End == 3);
  REQUIRE(Page.value().m_Records.size() == 3);
  CHECK(Page.value().m_Records[1].m_Key == "b");
  CHECK(Page.value().m_Records[1].m_Value == Binary);
  CHECK(Page.value().m_Records[1].m_Offset == 1);
  CHECK(!Page.value().m_Records[2].m_Value.has_value());
}

TEST_CASE("an append on an older state is refused") {
  StoreBench Bench;
  CHECK(Bench.append({{"a", "1"}}, 0).value() == 1);
  const auto Late = Bench.append({{"a", "2"}}, 0);
  REQUIRE(!Late.has_value());
  CHECK(Late.error().m_Kind == ErrorKind::VersionLost);
}

TEST_CASE("the newest records are read over several pages") {
  StoreBench Bench;
  for (int Index = 0; Index < 8; ++Index)
    REQUIRE(Bench.append({{"k" + std::to_string(Index), "old"}}, std::nullopt)
                .has_value());
  for (int Index = 0; Index < 8; ++Index)
    REQUIRE(Bench
                .append({{"k" + std::to_string(Index), std::to_string(Index)}},
                        std::nullopt)
                .has_value());
  const auto Page = Bench.readNewest();
  REQUIRE(Page.has_value());
  REQUIRE(Page.value().m_Records.size() == 8);
  CHECK(Page.value().m_Records[7].m_Value == "7");
  CHECK(Page.value().m_End == 16);
}

TEST_CASE("a waiting read ends with the next record") {
  StoreBench Bench;
  std::optional<Outcome<KeyedPage>> Result;
  Bench.m_Client.read("t", 0, Milliseconds(3000),
                      [&](const Outcome<KeyedPage> &Page) { Result = Page; });
  for (int Step = 0; Step < 5; ++Step)
    Bench.m_Loop.run_one_for(std::chrono::milliseconds(20));
  CHECK(!Result.has_value());
  REQUIRE(Bench.append({{"a", "1"}}, std::nullopt).has_value());
  const auto Page = Bench.wait(Result);
  REQUIRE(Page.has_value());
  CHECK(Page.value().m_Records.size() == 1);
}

TEST_CASE(
    "records that were dropped are told apart from a store that is away") {
  StoreBench Bench;
  REQUIRE(Bench.append({{"a", "1"}}, std::nullopt).has_value());
  REQUIRE(Bench.append({{"a", "2"}}, std::nullopt).has_value());
  Bench.m_Store.compact("keyed.monsoon.t");
  const auto Dropped = Bench.read(0, Milliseconds(0));
  REQUIRE(!Dropped.has_value());
  CHECK(Dropped.error().m_Kind == ErrorKind::RecordsExpired);
  Bench.m_Store.m_Busy = true;
  const auto Away = Bench.read(2, Milliseconds(0));
  REQUIRE(!Away.has_value());
  CHECK(Away.error().m_Kind == ErrorKind::LogUnavailable);
}

TEST_CASE("a lost answer leaves it open whether records were appended") {
  StoreBench Bench;
  Bench.m_Store.m_LoseAnswers = 1;
  const auto Lost = Bench.append({{"a", "1"}}, 0);
  REQUIRE(!Lost.has_value());
  CHECK(Lost.error().m_Kind == ErrorKind::LogUnavailable);
  CHECK(Bench.read(0, Milliseconds(0)).value().m_Records.size() == 1);
}

TEST_CASE("members of the group share its duties") {
  StoreBench Bench;
  std::map<std::string, uint64_t> Generations;
  const auto Join = [&](const std::string &Member) {
    std::optional<Outcome<GroupShare>> Result;
    Bench.m_Client.join(
        Member, Milliseconds(1500), Generations[Member],
        [&](const Outcome<GroupShare> &Share) { Result = Share; });
    const GroupShare Share = Bench.wait(Result).value();
    Generations[Member] = Share.m_Generation;
    return Share;
  };
  CHECK(Join("a").m_Duties.size() == Bench.m_Client.duties());
  // What "a" may still count on is nobody else's until it has seen the change.
  CHECK(Join("b").m_Duties.empty());
  Join("a");
  const GroupShare A = Join("a");
  const GroupShare B = Join("b");
  CHECK(A.m_Duties.size() + B.m_Duties.size() == Bench.m_Client.duties());
  CHECK(!B.m_Duties.empty());
  for (const uint32_t Duty : A.m_Duties)
    CHECK(B.m_Duties.count(Duty) == 0);
  std::optional<Outcome<std::set<std::string>>> Members;
  Bench.m_Client.members(
      [&](const Outcome<std::set<std::string>> &Names) { Members = Names; });
  CHECK(Bench.wait(Members).value() == std::set<std::string>{"a", "b"});
}
