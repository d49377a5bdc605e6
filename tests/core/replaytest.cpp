#include "core/configlog.h"
#include "core/ownershiplog.h"

#include <doctest.h>

#include <random>

using namespace monsoon;

namespace {

TablesPtr emptyTables() { return std::make_shared<const Tables>(); }

ConfigRecord publish(const std::string &Id, ConfigVersion Base) {
  return {PublishRecord{Id, Base, "author", "", emptyTables()}};
}

std::vector<ConfigReplay::Entry>
entriesFrom(const std::vector<ConfigRecord> &Log, uint64_t First) {
  std::vector<ConfigReplay::Entry> Result;
  for (uint64_t Offset = First; Offset < Log.size(); ++Offset)
    Result.push_back({Offset, Log[Offset]});
  return Result;
}

} // namespace

TEST_SUITE("config-in-force") {
  TEST_CASE("only the first of two publications on one version is accepted") {
    ConfigReplay Replay;
    const auto Applied =
        Replay.take(0, entriesFrom({publish("a", 0), publish("b", 0)}, 0));
    REQUIRE(Applied.size() == 2);
    CHECK(Applied[0].m_Verdict == Verdict::Accepted);
    CHECK(Applied[1].m_Verdict == Verdict::Rejected);
    CHECK(Replay.state().version() == 1);
    CHECK(Replay.state().history().back().m_Id == "a");
  }

  TEST_CASE("a record that was appended twice is accepted once") {
    ConfigReplay Replay;
    Replay.take(0, entriesFrom({publish("a", 0), publish("a", 0),
                                publish("b", 1), publish("a", 0)},
                               0));
    CHECK(Replay.state().version() == 2);
    CHECK(Replay.state().history().back().m_Id == "b");
  }

  TEST_CASE("invalid tables and unknown records do not change the state") {
    ConfigReplay Replay;
    ConfigRecord Invalid{PublishRecord{"x", 0, "author", "", nullptr}};
    const auto Applied =
        Replay.take(0, entriesFrom({Invalid, ConfigRecord()}, 0));
    CHECK(Applied[0].m_Verdict == Verdict::Rejected);
    CHECK(Applied[1].m_Verdict == Verdict::Ignored);
    CHECK(Replay.state().version() == 0);
  }

  TEST_CASE("a snapshot is used only if all records after it are readable") {
    std::vector<ConfigRecord> Log = {publish("a", 0), publish("b", 1)};
    ConfigReplay Full;
    Full.take(0, entriesFrom(Log, 0));
    // The snapshot is appended after a publication that it does not include.
    const ConfigSnapshot Snapshot{2, Full.state()};
    Log.push_back(publish("c", 2));
    Log.push_back(ConfigRecord{Snapshot});
    Log.push_back(publish("d", 3));

    ConfigReplay Late;
    Late.take(2, entriesFrom(Log, 2));
    CHECK(Late.isComplete());
    CHECK(Late.state().version() == 4);

    ConfigReplay TooLate;
    TooLate.take(3, entriesFrom(Log, 3));
    CHECK_FALSE(TooLate.isComplete());
    CHECK(TooLate.state().version() == 0);
  }

  TEST_CASE("a reader that lags behind the retention starts from a snapshot") {
    std::vector<ConfigRecord> Log = {publish("a", 0), publish("b", 1)};
    ConfigReplay Reader;
    Reader.take(0, entriesFrom(Log, 0));
    ConfigReplay Writer = Reader;
    Log.push_back(publish("c", 2));
    Writer.take(0, entriesFrom(Log, 2));
    Log.push_back(ConfigRecord{ConfigSnapshot{3, Writer.state()}});
    Reader.take(3, entriesFrom(Log, 3));
    CHECK(Reader.isComplete());
    CHECK(Reader.state().version() == 3);
  }

  TEST_CASE("late readers reach the same state as one that reads everything") {
    for (uint64_t Seed = 1; Seed <= 300; ++Seed) {
      std::mt19937_64 Random(Seed);
      std::vector<ConfigRecord> Log;
      ConfigReplay Full;
      uint64_t Applied = 0;
      for (int Step = 0; Step < 60; ++Step) {
        // Writers publish on the newest version or one of the two before it,
        // and append some records again.
        const ConfigVersion Newest = Full.state().version();
        const ConfigVersion Base = Newest - Random() % (Newest + 1) % 3;
        Log.push_back(Random() % 5 == 0 && !Log.empty()
                          ? Log[Random() % Log.size()]
                          : publish(std::to_string(Step), Base));
        if (Random() % 7 == 0)
          Log.push_back(ConfigRecord{ConfigSnapshot{Applied, Full.state()}});
        Full.take(0, entriesFrom(Log, Applied));
        Applied = Log.size();
      }
      const uint64_t First = Random() % Log.size();
      ConfigReplay Late;
      Late.take(First, entriesFrom(Log, First));
      if (!Late.isComplete())
        continue;
      CHECK(Late.state().version() == Full.state().version());
      CHECK(Late.state().history() == Full.state().history());
    }
  }
}

TEST_CASE("a claim is accepted only on the version that it is based on") {
  GroupState State;
  const auto Claim = [](GroupVersion Base, const HostId &Host) {
    return OwnershipRecord{ClaimRecord{"id", Base, Host, false}};
  };
  CHECK(State.apply(Claim(0, "a")) == Verdict::Accepted);
  CHECK(State.apply(Claim(0, "b")) == Verdict::Rejected);
  CHECK(State.holder() == "a");
  CHECK(State.term() == 1);
}

TEST_CASE("a decider of an earlier term can't assign") {
  GroupState State;
  State.apply(OwnershipRecord{ClaimRecord{"1", 0, "a", false}});
  State.apply(OwnershipRecord{ClaimRecord{"2", 1, "b", false}});
  AssignRecord Assign{"3", 2, 1, 4, {{"s1", {0, 1}}}};
  CHECK(State.apply(OwnershipRecord{Assign}) == Verdict::Rejected);
  Assign.m_Term = 2;
  CHECK(State.apply(OwnershipRecord{Assign}) == Verdict::Accepted);
  CHECK(State.owners()[1] == RangeOwner{"s1", 3, ""});
}

TEST_CASE("a cold claim requires a notice without an objection") {
  GroupState State;
  State.apply(OwnershipRecord{ClaimRecord{"1", 0, "a", false}});
  const OwnershipRecord Cold{ClaimRecord{"2", 2, "b", true}};
  State.apply(OwnershipRecord{ColdNoticeRecord{1, "b"}});
  SUBCASE("unopposed") {
    CHECK(State.apply(Cold) == Verdict::Accepted);
    CHECK(State.isCold());
  }
  SUBCASE("opposed") {
    State.apply(OwnershipRecord{ColdObjectionRecord{2, 1}});
    CHECK(State.apply(OwnershipRecord{ClaimRecord{"2", 3, "b", true}}) ==
          Verdict::Rejected);
  }
}
