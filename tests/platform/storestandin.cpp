#include "platform/storestandin.h"

#include "codec/jsontext.h"

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

constexpr size_t OffsetBytes = 8;
constexpr size_t LengthBytes = 4;
constexpr uint64_t DefaultPageKilobytes = 1024;
constexpr unsigned DutyTopics = 16;
constexpr unsigned PartitionsPerTopic = 12;

std::string encodeBigEndian(uint64_t Value, size_t Bytes) {
  std::string Text;
  for (size_t Index = Bytes; Index > 0; --Index)
    Text += static_cast<char>(Value >> (8 * (Index - 1)) & 0xff);
  return Text;
}

uint64_t readBigEndian(const std::string &Text, size_t At, size_t Bytes) {
  uint64_t Value = 0;
  for (size_t Index = 0; Index < Bytes; ++Index)
    Value = Value << 8 | static_cast<unsigned char>(Text[At + Index]);
  return Value;
}

std::map<std::string, std::string> parseQuery(const std::string &Target) {
  std::map<std::string, std::string> Result;
  const size_t Mark = Target.find('?');
  if (Mark == std::string::npos)
    return Result;
  for (const absl::string_view Part :
       absl::StrSplit(absl::string_view(Target).substr(Mark + 1), '&')) {
    const std::pair<std::string, std::string> Pair =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    Result.insert(Pair);
  }
  return Result;
}

uint64_t queryNumber(const std::map<std::string, std::string> &Query,
                     const std::string &Name) {
  const auto It = Query.find(Name);
  uint64_t Value = 0;
  if (It != Query.end() && !absl::SimpleAtoi(It->second, &Value))
    return 0;
  return Value;
}

HttpResponse jsonAnswer(int Status, const Json::Value &Value) {
  HttpResponse Answer;
  Answer.m_Status = Status;
  Answer.m_Fields.add("Content-Type", "application/json");
  Answer.m_Body = writeJson(Value);
  return Answer;
}

HttpResponse plainAnswer(int Status) {
  HttpResponse Answer;
  Answer.m_Status = Status;
  return Answer;
}

} // namespace

/// A long-polling read that waits for a record or its time limit.
class StoreStandIn::PendingRead : public PendingRequest {
public:
  PendingRead(StoreStandIn &Store, std::string Topic, uint64_t From,
              uint64_t MaxKilobytes, Reply Done)
      : m_Store(Store), m_Topic(std::move(Topic)), m_From(From),
        m_MaxKilobytes(MaxKilobytes), m_Done(std::move(Done)),
        m_Timer(Store.m_Loop) {}

  void cancel() override { m_Done = nullptr; }
  bool mayOverlap() const override { return true; }

  void answer() {
    if (!m_Done)
      return;
    std::exchange(m_Done, nullptr)(
        m_Store.m_IsUnavailable ? plainAnswer(503)
                                : m_Store.readPage(m_Store.m_Topics[m_Topic],
                                                   m_From, m_MaxKilobytes));
  }

  StoreStandIn &m_Store;
  const std::string m_Topic;
  const uint64_t m_From;
  const uint64_t m_MaxKilobytes;
  Reply m_Done;
  boost::asio::steady_timer m_Timer;
};

StoreStandIn::StoreStandIn(boost::asio::io_context &Loop)
    : m_Loop(Loop), m_Acceptor(Loop, m_Time, *this) {}

Endpoint StoreStandIn::start() {
  const auto Listening = m_Acceptor.listen({"127.0.0.1", 0});
  return Listening ? m_Acceptor.address() : Endpoint();
}

void StoreStandIn::put(const std::string &Topic, const std::string &Key,
                       const std::string &Value) {
  append(m_Topics[Topic], {Key, Value, {}});
}

void StoreStandIn::remove(const std::string &Topic, const std::string &Key) {
  append(m_Topics[Topic], {Key, "", {}});
}

void StoreStandIn::compact(const std::string &Topic) {
  m_Topics[Topic].m_First = m_Topics[Topic].m_Records.size();
}

void StoreStandIn::restore(size_t LostRecords) {
  for (auto &[Name, Log] : m_Topics)
    truncate(Log, Log.m_Records.size() -
                      std::min(LostRecords, Log.m_Records.size()));
  startEpoch();
}

void StoreStandIn::restoreCopy(Duration Age) {
  const TimePoint CopiedAt = m_Time.now() - Age;
  for (auto &[Name, Log] : m_Topics)
    truncate(Log, static_cast<size_t>(
                      std::count_if(Log.m_Records.begin(), Log.m_Records.end(),
                                    [CopiedAt](const Record &Each) {
                                      return Each.m_WrittenAt <= CopiedAt;
                                    })));
  startEpoch();
}

std::optional<std::string> StoreStandIn::newest(const std::string &Topic,
                                                const std::string &Key) const {
  const auto Log = m_Topics.find(Topic);
  if (Log == m_Topics.end() || Log->second.m_Newest.count(Key) == 0)
    return std::nullopt;
  return Log->second.m_Records[Log->second.m_Newest.at(Key)].m_Value;
}

void StoreStandIn::truncate(Topic &Log, size_t Kept) {
  Log.m_Records.resize(Kept);
  Log.m_First = std::min<uint64_t>(Log.m_First, Kept);
  Log.m_Newest.clear();
  for (size_t Offset = 0; Offset < Kept; ++Offset) {
    const Record &Each = Log.m_Records[Offset];
    if (Each.m_Value.empty())
      Log.m_Newest.erase(Each.m_Key);
    else
      Log.m_Newest[Each.m_Key] = Offset;
  }
}

void StoreStandIn::startEpoch() {
  m_Members.clear();
  m_Duties.clear();
  m_Generation = 0;
  uint64_t Epoch = 0;
  if (absl::SimpleAtoi(m_EpochField, &Epoch))
    m_EpochField = std::to_string(Epoch + 1);
}

void StoreStandIn::append(Topic &Log, Record Added) {
  Added.m_WrittenAt = m_Time.now();
  if (Added.m_Value.empty())
    Log.m_Newest.erase(Added.m_Key);
  else
    Log.m_Newest[Added.m_Key] = Log.m_Records.size();
  Log.m_Records.push_back(std::move(Added));
  for (const auto &Each : std::exchange(m_PendingReads, {}))
    if (const auto Read = Each.lock())
      Read->answer();
}

std::shared_ptr<PendingRequest> StoreStandIn::handle(HttpRequest Request,
                                                     Reply Done) {
  m_Calls.emplace_back(Request.path());
  if (m_IsUnavailable) {
    Done(plainAnswer(503));
    return nullptr;
  }
  Done = [this, Answered = std::move(Done)](HttpResponse Answer) {
    if (!m_EpochField.empty())
      Answer.m_Fields.add("Store-Era", m_EpochField);
    Answered(std::move(Answer));
  };
  const bool LosesAnswer = m_AnswersToLose > 0;
  if (LosesAnswer) {
    --m_AnswersToLose;
    Done = [](const HttpResponse & /*Answer*/) {};
  }
  const std::string_view Path = Request.path();
  if (Path == "/v1/log-append") {
    Done(appendCall(Request));
  } else if (Path == "/v1/log-newest") {
    Done(newestCall(Request));
  } else if (Path == "/v1/log-read") {
    const auto Query = parseQuery(Request.m_Target);
    const std::string Name = Query.at("topic");
    const uint64_t From = queryNumber(Query, "from");
    const uint64_t Wait = queryNumber(Query, "wait_ms");
    const uint64_t MaxKilobytes = Query.count("max_kb") > 0
                                      ? queryNumber(Query, "max_kb")
                                      : DefaultPageKilobytes;
    if (Wait == 0 || m_Topics[Name].m_Records.size() > From ||
        m_Topics[Name].m_First > From) {
      Done(readPage(m_Topics[Name], From, MaxKilobytes));
      return nullptr;
    }
    const auto Read = std::make_shared<PendingRead>(
        *this, Name, From, MaxKilobytes, std::move(Done));
    Read->m_Timer.expires_after(Milliseconds(Wait));
    Read->m_Timer.async_wait(
        [Read](const boost::system::error_code & /*Error*/) {
          Read->answer();
        });
    m_PendingReads.push_back(Read);
    return Read;
  } else {
    Done(groupCall(Request));
  }
  return nullptr;
}

HttpResponse StoreStandIn::refuse(ErrorKind Kind, const std::string &Detail) {
  HttpResponse Answer = plainAnswer(errorRule(Kind).m_Status);
  Answer.m_Body = Detail;
  return Answer;
}

HttpResponse StoreStandIn::appendCall(const HttpRequest &Request) {
  const auto Query = parseQuery(Request.m_Target);
  Topic &Log = m_Topics[Query.at("topic")];
  Json::Value Value;
  if (Query.count("at") > 0 &&
      queryNumber(Query, "at") != Log.m_Records.size()) {
    Value["end"] = Json::UInt64(Log.m_Records.size());
    return jsonAnswer(412, Value);
  }
  Value["offset"] = Json::UInt64(Log.m_Records.size());
  const std::string &Body = Request.m_Body;
  size_t At = 0;
  while (At + LengthBytes <= Body.size()) {
    const size_t Length = readBigEndian(Body, At, LengthBytes);
    At += LengthBytes;
    if (Length == 0 || At + Length > Body.size())
      return plainAnswer(400);
    const size_t KeyLength = static_cast<unsigned char>(Body[At]);
    append(Log, {Body.substr(At + 1, KeyLength),
                 Body.substr(At + 1 + KeyLength, Length - 1 - KeyLength),
                 {}});
    At += Length;
  }
  Value["end"] = Json::UInt64(Log.m_Records.size());
  return jsonAnswer(200, Value);
}

HttpResponse StoreStandIn::readPage(const Topic &Log, uint64_t From,
                                    uint64_t MaxKilobytes) const {
  if (From < Log.m_First || From > Log.m_Records.size()) {
    Json::Value Value;
    Value["first"] = Json::UInt64(Log.m_First);
    return jsonAnswer(410, Value);
  }
  HttpResponse Answer = plainAnswer(200);
  Answer.m_Body = encodeBigEndian(Log.m_Records.size(), OffsetBytes) +
                  encodeBigEndian(Log.m_First, OffsetBytes);
  for (uint64_t Index = From; Index < Log.m_Records.size(); ++Index) {
    const Record &Each = Log.m_Records[Index];
    const std::string Encoded =
        encodeBigEndian(1 + Each.m_Key.size() + Each.m_Value.size(),
                        LengthBytes) +
        static_cast<char>(Each.m_Key.size()) + Each.m_Key + Each.m_Value;
    if (Index > From && Answer.m_Body.size() + Encoded.size() > MaxKilobytes
                                                                    << 10)
      break;
    Answer.m_Body += Encoded;
  }
  return Answer;
}

HttpResponse StoreStandIn::newestCall(const HttpRequest &Request) {
  // Short pages make clients read several of them.
  constexpr size_t PageItems = 3;
  const auto Query = parseQuery(Request.m_Target);
  const Topic &Log = m_Topics[Query.at("topic")];
  const auto After = Query.find("after");
  Json::Value Value;
  Value["items"] = Json::arrayValue;
  Value["has_more"] = false;
  Value["end"] = Json::UInt64(Log.m_Records.size());
  for (const auto &[Key, Offset] : Log.m_Newest) {
    if (After != Query.end() && Key <= After->second)
      continue;
    if (Value["items"].size() == PageItems) {
      Value["has_more"] = true;
      break;
    }
    Json::Value Item;
    Item["key"] = Key;
    Item["value"] = absl::Base64Escape(Log.m_Records[Offset].m_Value);
    Item["offset"] = Json::UInt64(Offset);
    Value["items"].append(Item);
  }
  return jsonAnswer(200, Value);
}

void StoreStandIn::removeExpiredMembers() {
  const TimePoint Now = m_Time.now();
  bool AnyRemoved = false;
  for (auto It = m_Members.begin(); It != m_Members.end();) {
    const bool IsExpired = Now >= It->second.m_Expiry;
    AnyRemoved = AnyRemoved || IsExpired;
    It = IsExpired ? m_Members.erase(It) : std::next(It);
  }
  if (AnyRemoved)
    assignDuties();
}

void StoreStandIn::assignDuties() {
  ++m_Generation;
  auto Next = m_Members.begin();
  for (unsigned Number = 0; Number < DutyTopics * PartitionsPerTopic;
       ++Number) {
    if (Next == m_Members.end())
      Next = m_Members.begin();
    Duty &Each = m_Duties[Number];
    const std::string Former = holderOf(Number);
    if (!Former.empty())
      Each.m_Former = Former;
    Each.m_Assigned = Next == m_Members.end() ? "" : (Next++)->first;
  }
}

std::string StoreStandIn::holderOf(unsigned Number) {
  // The former holder gives up a duty by joining with the current generation.
  Duty &Each = m_Duties[Number];
  const auto Former = m_Members.find(Each.m_Former);
  if (Former != m_Members.end() && Each.m_Former != Each.m_Assigned &&
      Former->second.m_Generation < m_Generation)
    return "";
  Each.m_Former.clear();
  return Each.m_Assigned;
}

HttpResponse StoreStandIn::groupCall(const HttpRequest &Request) {
  const auto Body = parseJson(Request.m_Body.empty() ? "{}" : Request.m_Body,
                              "call", ErrorKind::BadRequest);
  if (!Body)
    return plainAnswer(400);
  const std::string Member = Body.value()["member"].asString();
  removeExpiredMembers();
  if (Request.path() == "/v1/log-leave") {
    if (m_Members.erase(Member) > 0)
      assignDuties();
    return jsonAnswer(200, Json::objectValue);
  }
  if (Request.path() == "/v1/log-join") {
    const Milliseconds TimeToLive(Body.value()["ttl_ms"].asInt64());
    const bool IsNew = m_Members.count(Member) == 0;
    m_Members[Member] = {m_Time.now() + TimeToLive,
                         Body.value()["generation"].asUInt64()};
    if (IsNew)
      assignDuties();
  }
  Json::Value Value;
  Value["generation"] = Json::UInt64(m_Generation);
  Value["parts"] = Json::arrayValue;
  for (unsigned Number = 0; Number < DutyTopics * PartitionsPerTopic;
       ++Number) {
    const std::string Holder = holderOf(Number);
    if (Holder.empty())
      continue;
    Json::Value Row(Json::arrayValue);
    Row.append("monsoon.duties-" + std::to_string(Number / PartitionsPerTopic));
    Row.append(Number % PartitionsPerTopic);
    if (Request.path() == "/v1/log-owners")
      Row.append(Holder);
    else if (Holder != Member)
      continue;
    Row.append(0);
    Value["parts"].append(Row);
  }
  return jsonAnswer(200, Value);
}

} // namespace monsoon
