#include "codec/hostreportcodec.h"

#include "codec/jsontext.h"

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

#include <algorithm>

namespace monsoon {

namespace {

const Failure MalformedReport{ErrorKind::RecordUnreadable,
                              "the report of an entry host is malformed"};

constexpr const char *StampField = "x";
/// More than a host can have of anything that is counted.
constexpr int MaxReportedCount = 1'000'000;

/// True for an array of rows that each have a name or number and a count.
bool isCountArray(const Json::Value &Rows) {
  if (!Rows.isArray())
    return false;
  for (const Json::Value &Row : Rows)
    if (!Row.isArray() || Row.size() != 2 || !Row[1].isInt() ||
        Row[1].asInt() < 0)
      return false;
  return true;
}

Json::Value encodeCounts(const std::map<std::string, int> &Counts) {
  Json::Value Rows(Json::arrayValue);
  for (const auto &[Target, Count] : Counts) {
    Json::Value Row(Json::arrayValue);
    Row.append(Target);
    Row.append(Count);
    Rows.append(std::move(Row));
  }
  return Rows;
}

bool decodeCounts(const Json::Value &Rows, std::map<std::string, int> &Counts) {
  if (!isCountArray(Rows))
    return false;
  for (const Json::Value &Row : Rows) {
    if (!Row[0].isString())
      return false;
    // Sums of many reports stay within the type.
    Counts[Row[0].asString()] = std::min(MaxReportedCount, Row[1].asInt());
  }
  return true;
}

Json::Value encodeTopics(const std::map<std::string, TopicProgress> &Topics) {
  Json::Value Rows(Json::arrayValue);
  for (const auto &[Topic, Progress] : Topics) {
    Json::Value Row(Json::arrayValue);
    Row.append(Topic);
    Row.append(Json::UInt64(Progress.m_End));
    Row.append(Json::UInt64(Progress.m_LastChangeEnd));
    Row.append(Json::Int64(Progress.m_Age.count()));
    Rows.append(std::move(Row));
  }
  return Rows;
}

bool decodeTopics(const Json::Value &Rows,
                  std::map<std::string, TopicProgress> &Topics) {
  if (!Rows.isArray())
    return false;
  for (const Json::Value &Row : Rows) {
    if (!Row.isArray() || Row.size() != 4 || !Row[0].isString() ||
        !Row[1].isUInt64() || !Row[2].isUInt64() || !Row[3].isInt64())
      return false;
    Topics[Row[0].asString()] = {Row[1].asUInt64(), Row[2].asUInt64(),
                                 Milliseconds(Row[3].asInt64())};
  }
  return true;
}

Json::Value encodeOwnerUpdate(const OwnerTableUpdate &Update) {
  Json::Value Value;
  Value["p"] = Update.m_Pool;
  Value["f"] = Json::UInt64(Update.m_From);
  Value["e"] = Json::UInt64(Update.m_End);
  Value["n"] = Json::UInt64(Update.m_NextFence);
  Json::Value &Rows = Value["c"] = Json::arrayValue;
  for (const OwnerChange &Each : Update.m_Changes) {
    Json::Value Row(Json::arrayValue);
    Row.append(Each.m_First);
    Row.append(Each.m_Last);
    Row.append(Each.m_Owner);
    Row.append(Json::Int64(Each.m_Incarnation));
    Row.append(Json::UInt64(Each.m_Fence));
    Rows.append(std::move(Row));
  }
  return Value;
}

bool decodeOwnerUpdate(const Json::Value &Value, OwnerTableUpdate &Update) {
  if (!Value.isObject() || !Value["p"].isString() || !Value["f"].isUInt64() ||
      !Value["e"].isUInt64() || !Value["n"].isUInt64() || !Value["c"].isArray())
    return false;
  Update.m_Pool = Value["p"].asString();
  Update.m_From = Value["f"].asUInt64();
  Update.m_End = Value["e"].asUInt64();
  Update.m_NextFence = Value["n"].asUInt64();
  for (const Json::Value &Row : Value["c"]) {
    if (!Row.isArray() || Row.size() != 5 || !Row[0].isUInt() ||
        !Row[1].isUInt() || !Row[2].isString() || !Row[3].isInt64() ||
        !Row[4].isUInt64() || Row[0].asUInt() > Row[1].asUInt())
      return false;
    Update.m_Changes.push_back({Row[0].asUInt(), Row[1].asUInt(),
                                Row[2].asString(), Row[3].asInt64(),
                                Row[4].asUInt64()});
  }
  return true;
}

Json::Value encodeTopicRecords(const TopicRecords &Records) {
  Json::Value Value;
  Value["t"] = Records.m_Topic;
  Value["f"] = Json::UInt64(Records.m_From);
  Value["e"] = Json::UInt64(Records.m_End);
  Json::Value &Rows = Value["r"] = Json::arrayValue;
  for (const TopicRecord &Each : Records.m_Records) {
    Json::Value Row(Json::arrayValue);
    Row.append(Json::UInt64(Each.m_Offset));
    Row.append(Each.m_Key);
    // Values are arbitrary bytes, which JSON strings can't hold.
    if (Each.m_Value)
      Row.append(absl::Base64Escape(*Each.m_Value));
    Rows.append(std::move(Row));
  }
  return Value;
}

bool decodeTopicRecords(const Json::Value &Value, TopicRecords &Records) {
  if (!Value.isObject() || !Value["t"].isString() || !Value["f"].isUInt64() ||
      !Value["e"].isUInt64() || !Value["r"].isArray())
    return false;
  Records.m_Topic = Value["t"].asString();
  Records.m_From = Value["f"].asUInt64();
  Records.m_End = Value["e"].asUInt64();
  for (const Json::Value &Row : Value["r"]) {
    if (!Row.isArray() || Row.size() < 2 || Row.size() > 3 ||
        !Row[0].isUInt64() || !Row[1].isString())
      return false;
    TopicRecord Record;
    Record.m_Offset = Row[0].asUInt64();
    Record.m_Key = Row[1].asString();
    if (Row.size() == 3) {
      std::string Bytes;
      if (!Row[2].isString() ||
          !absl::Base64Unescape(Row[2].asString(), &Bytes))
        return false;
      Record.m_Value = std::move(Bytes);
    }
    Records.m_Records.push_back(std::move(Record));
  }
  return true;
}

Json::Value encodeMembers(const MemberList &Members) {
  Json::Value Value;
  Value["g"] = Json::UInt64(Members.m_Generation);
  Json::Value &Names = Value["n"] = Json::arrayValue;
  for (const std::string &Each : Members.m_Names)
    Names.append(Each);
  return Value;
}

bool decodeMembers(const Json::Value &Value, MemberList &Members) {
  if (!Value.isObject() || !Value["g"].isUInt64() || !Value["n"].isArray())
    return false;
  Members.m_Generation = Value["g"].asUInt64();
  for (const Json::Value &Name : Value["n"]) {
    if (!Name.isString())
      return false;
    Members.m_Names.insert(Name.asString());
  }
  return true;
}

/// Adds the fields that only relays and hosts with news send.
void encodeOptionalFields(const HostReport &Report, Json::Value &Value) {
  for (const TopicRecords &Each : Report.m_TopicRecords)
    Value["r"].append(encodeTopicRecords(Each));
  if (Report.m_Members)
    Value["m"] = encodeMembers(*Report.m_Members);
  if (!Report.m_CustomerDemand.empty())
    Value["c"] = encodeCounts(Report.m_CustomerDemand);
  if (Report.m_SummedHosts != 1)
    Value["s"] = Report.m_SummedHosts;
  if (Report.m_OtherDomains.m_Hosts > 0) {
    Json::Value &Other = Value["d"];
    Other["n"] = Report.m_OtherDomains.m_Hosts;
    Other["f"] = encodeCounts(Report.m_OtherDomains.m_InFlight);
    Other["w"] = encodeCounts(Report.m_OtherDomains.m_Waiting);
    if (!Report.m_OtherDomains.m_CustomerDemand.empty())
      Other["c"] = encodeCounts(Report.m_OtherDomains.m_CustomerDemand);
  }
  for (const auto &[Pool, Former] : Report.m_FormerOwners) {
    Json::Value &Row = Value["z"][Pool] = Json::arrayValue;
    Row.append(Json::UInt64(Former.m_Epoch));
    Row.append(Json::UInt64(Former.m_NextFence));
  }
  for (const auto &[Id, Incarnation] : Report.m_LeavingTargets)
    Value["l"][Id] = Json::Int64(Incarnation);
  if (!Report.m_RelayedTopics.empty())
    Value["u"] = encodeTopics(Report.m_RelayedTopics);
  if (Report.m_ConfigVersion > 0)
    Value["v"] = Json::Int64(Report.m_ConfigVersion);
}

bool decodeStamp(const Json::Value &Row, MessageStamp &Stamp) {
  if (!Row.isArray() || Row.empty() || !Row[0].isInt64())
    return false;
  Stamp.m_SentAt = Milliseconds(Row[0].asInt64());
  if (Row.size() == 1)
    return true;
  if (Row.size() != 3 || !Row[1].isInt64() || !Row[2].isInt64())
    return false;
  Stamp.m_Echo = Milliseconds(Row[1].asInt64());
  Stamp.m_EchoHeldFor = Milliseconds(Row[2].asInt64());
  return true;
}

bool decodeFormerOwners(const Json::Value &Value,
                        std::map<std::string, FormerOwners> &Former) {
  if (!Value.isObject())
    return false;
  for (const std::string &Pool : Value.getMemberNames()) {
    const Json::Value &Row = Value[Pool];
    if (!Row.isArray() || Row.size() != 2 || !Row[0].isUInt64() ||
        !Row[1].isUInt64())
      return false;
    Former[Pool] = {Row[0].asUInt64(), Row[1].asUInt64()};
  }
  return true;
}

bool decodeLeavingTargets(const Json::Value &Value,
                          std::map<std::string, int64_t> &Targets) {
  if (!Value.isObject())
    return false;
  for (const std::string &Id : Value.getMemberNames()) {
    if (!Value[Id].isInt64())
      return false;
    Targets[Id] = Value[Id].asInt64();
  }
  return true;
}

bool decodeOptionalFields(const Json::Value &Value, HostReport &Report) {
  if (Value.isMember("r")) {
    if (!Value["r"].isArray())
      return false;
    for (const Json::Value &Each : Value["r"]) {
      Report.m_TopicRecords.emplace_back();
      if (!decodeTopicRecords(Each, Report.m_TopicRecords.back()))
        return false;
    }
  }
  if (Value.isMember("m") &&
      !decodeMembers(Value["m"], Report.m_Members.emplace()))
    return false;
  if (Value.isMember("s")) {
    if (!Value["s"].isUInt() || Value["s"].asUInt() == 0)
      return false;
    Report.m_SummedHosts = Value["s"].asUInt();
  }
  if (Value.isMember("d")) {
    const Json::Value &Other = Value["d"];
    if (!Other.isObject() || !Other["n"].isUInt() ||
        !decodeCounts(Other["f"], Report.m_OtherDomains.m_InFlight) ||
        !decodeCounts(Other["w"], Report.m_OtherDomains.m_Waiting) ||
        (Other.isMember("c") &&
         !decodeCounts(Other["c"], Report.m_OtherDomains.m_CustomerDemand)))
      return false;
    Report.m_OtherDomains.m_Hosts = Other["n"].asUInt();
  }
  if (Value.isMember("c") && !decodeCounts(Value["c"], Report.m_CustomerDemand))
    return false;
  if (Value.isMember("z") &&
      !decodeFormerOwners(Value["z"], Report.m_FormerOwners))
    return false;
  if (Value.isMember("l") &&
      !decodeLeavingTargets(Value["l"], Report.m_LeavingTargets))
    return false;
  if (Value.isMember("v")) {
    if (!Value["v"].isInt64())
      return false;
    Report.m_ConfigVersion = Value["v"].asInt64();
  }
  if (Value.isMember(StampField) &&
      !decodeStamp(Value[StampField], Report.m_Stamp.emplace()))
    return false;
  return !Value.isMember("u") ||
         decodeTopics(Value["u"], Report.m_RelayedTopics);
}

} // namespace

std::string encodeHostReport(const HostReport &Report) {
  Json::Value Value;
  Value["h"] = Report.m_Host;
  Value["n"] = Json::UInt64(Report.m_Sequence);
  Value["b"] = Report.m_OmitsLoad;
  Value["f"] = encodeCounts(Report.m_InFlight);
  Value["w"] = encodeCounts(Report.m_Waiting);
  Value["t"] = encodeTopics(Report.m_Topics);
  Value["o"] = Json::arrayValue;
  for (const OwnerTableUpdate &Each : Report.m_OwnerUpdates)
    Value["o"].append(encodeOwnerUpdate(Each));
  Value["e"] = Json::objectValue;
  for (const auto &[Pool, Ended] : Report.m_EndedTerms) {
    Json::Value &Row = Value["e"][Pool] = Json::arrayValue;
    Row.append(Json::UInt64(Ended.m_Term));
    Row.append(Json::Int64(Ended.m_RemainingHoldTime.count()));
  }
  Value["k"] = Json::objectValue;
  for (const auto &[Pool, Counts] : Report.m_KeyCounts) {
    Json::Value &Rows = Value["k"][Pool] = Json::arrayValue;
    for (const auto &[Key, Count] : Counts) {
      Json::Value Row(Json::arrayValue);
      Row.append(Key);
      Row.append(Count);
      Rows.append(Row);
    }
  }
  encodeOptionalFields(Report, Value);
  return writeJson(Value);
}

std::string encodeStamped(const std::string &Encoded,
                          const MessageStamp &Stamp) {
  std::string Result =
      absl::StrCat("{\"", StampField, "\":[", Stamp.m_SentAt.count());
  if (Stamp.m_Echo)
    absl::StrAppend(&Result, ",", Stamp.m_Echo->count(), ",",
                    Stamp.m_EchoHeldFor.count());
  absl::StrAppend(&Result, "],", Encoded.substr(1));
  return Result;
}

Outcome<HostReport> decodeHostReport(const std::string &Text) {
  const auto Parsed = parseJson(Text, "report", ErrorKind::RecordUnreadable);
  if (!Parsed)
    return Parsed.error();
  const Json::Value &Value = Parsed.value();
  if (!Value.isObject() || !Value["h"].isString() || !Value["n"].isUInt64() ||
      !Value["k"].isObject() || !Value["o"].isArray() || !Value["e"].isObject())
    return MalformedReport;
  HostReport Report;
  Report.m_Host = Value["h"].asString();
  Report.m_Sequence = Value["n"].asUInt64();
  Report.m_OmitsLoad = Value["b"].isBool() && Value["b"].asBool();
  if (!decodeCounts(Value["f"], Report.m_InFlight) ||
      !decodeCounts(Value["w"], Report.m_Waiting) ||
      !decodeTopics(Value["t"], Report.m_Topics))
    return MalformedReport;
  for (const Json::Value &Each : Value["o"]) {
    Report.m_OwnerUpdates.emplace_back();
    if (!decodeOwnerUpdate(Each, Report.m_OwnerUpdates.back()))
      return MalformedReport;
  }
  for (const std::string &Pool : Value["e"].getMemberNames()) {
    const Json::Value &Row = Value["e"][Pool];
    if (!Row.isArray() || Row.size() != 2 || !Row[0].isUInt64() ||
        !Row[1].isInt64())
      return MalformedReport;
    Report.m_EndedTerms[Pool] = {Row[0].asUInt64(),
                                 Milliseconds(Row[1].asInt64())};
  }
  for (const std::string &Pool : Value["k"].getMemberNames()) {
    const Json::Value &Rows = Value["k"][Pool];
    if (!isCountArray(Rows))
      return MalformedReport;
    for (const Json::Value &Row : Rows) {
      if (!Row[0].isUInt())
        return MalformedReport;
      Report.m_KeyCounts[Pool][Row[0].asUInt()] = Row[1].asUInt();
    }
  }
  if (!decodeOptionalFields(Value, Report))
    return MalformedReport;
  return Report;
}

} // namespace monsoon
