#include "codec/recordcodec.h"
#include "codec/messagecodec.h"

#include <doctest.h>

#include <random>

using namespace monsoon;

namespace {

template <typename Body> Body roundTrip(const Body &Value) {
  const OwnershipRecord Decoded =
      decodeOwnershipRecord(encodeRecord(OwnershipRecord{Value}));
  const auto *Result = std::get_if<Body>(&Decoded.m_Body);
  REQUIRE(Result);
  return *Result;
}

} // namespace

TEST_CASE("ownership records are unchanged by encoding and decoding") {
  CHECK(roundTrip(ClaimRecord{"id", 7, "h#1", true}).m_Cold);
  const auto Assign =
      roundTrip(AssignRecord{"id", 7, 3, 8, {{"s1", {1, 2}}, {"s2", {5}}}});
  CHECK(Assign.m_RangeCount == 8);
  CHECK(Assign.m_Moves.at("s1") == std::vector<RangeId>{1, 2});
  CHECK(roundTrip(ElectorsRecord{"id", 1, 1, {"a#1", "b#2"}}).m_Electors ==
        std::vector<HostId>{"a#1", "b#2"});
  CHECK(roundTrip(ResignRecord{"a#1"}).m_Host == "a#1");
  CHECK(roundTrip(ColdNoticeRecord{4, "a#1"}).m_Base == 4);
  CHECK(roundTrip(ColdObjectionRecord{4, 2}).m_Term == 2);
  GroupState State = GroupStateBuilder()
                         .term(3, "a#1")
                         .version(9)
                         .electors({"a#1", "b#1"})
                         .owners({{"s1", 4, ""}, {"s2", 9, "s1"}})
                         .cold(true, "b#1")
                         .build();
  const auto Snapshot = roundTrip(GroupSnapshot{12, State});
  CHECK(Snapshot.m_AsOf == 12);
  CHECK(Snapshot.m_State == State);
}

TEST_SUITE("config-in-force") {
  TEST_CASE("records of a later format or unknown kind decode as unknown") {
    CHECK(decodeConfigRecord(R"({"kind": "publish", "format": 2})")
              .m_Body.index() == 0);
    CHECK(decodeConfigRecord(R"({"kind": "merge", "format": 1})")
              .m_Body.index() == 0);
    CHECK(decodeOwnershipRecord(R"({"kind": "split", "format": 1})")
              .m_Body.index() == 0);
  }
}

TEST_CASE("malformed messages are errors and damaged records cause no crash") {
  GroupState State =
      GroupStateBuilder().version(2).owners({{"s1", 1, ""}}).build();
  const std::string Good =
      encodeRecord(OwnershipRecord{GroupSnapshot{1, State}});
  std::mt19937_64 Random(1);
  for (int Round = 0; Round < 5000; ++Round) {
    std::string Bad = Good;
    for (int Change = 0; Change < 3; ++Change)
      Bad[Random() % Bad.size()] = static_cast<char>(Random() % 128);
    decodeOwnershipRecord(Bad);
    decodeConfigRecord(Bad);
  }
  CHECK_FALSE(decodeHeartbeat(Json::Value("text")));
  Json::Value Wrong;
  Wrong["term"] = "three";
  CHECK_FALSE(decodeHeartbeat(Wrong));
  CHECK_FALSE(decodeGrantOrder(Wrong));
}
