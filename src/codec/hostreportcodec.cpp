#include "codec/hostreportcodec.h"

#include "codec/jsontext.h"

namespace monsoon {

namespace {

const Failure Unreadable{ErrorKind::RecordUnreadable,
                         "a report of a host can't be read"};

/// Rows of a name or number and a count.
bool isPairs(const Json::Value &Rows) {
  if (!Rows.isArray())
    return false;
  for (const Json::Value &Row : Rows)
    if (!Row.isArray() || Row.size() != 2 || !Row[1].isUInt())
      return false;
  return true;
}

} // namespace

std::string encodeHostReport(const HostReport &Report) {
  Json::Value Value;
  Value["h"] = Report.m_Host;
  Value["n"] = Json::UInt64(Report.m_Sequence);
  Value["f"] = Json::arrayValue;
  for (const auto &[Target, Count] : Report.m_InFlight) {
    Json::Value Row(Json::arrayValue);
    Row.append(Target);
    Row.append(Count);
    Value["f"].append(Row);
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
  return writeJson(Value);
}

Outcome<HostReport> decodeHostReport(const std::string &Text) {
  const auto Parsed = parseJson(Text, "report", ErrorKind::RecordUnreadable);
  if (!Parsed)
    return Parsed.error();
  const Json::Value &Value = Parsed.value();
  if (!Value.isObject() || !Value["h"].isString() || !Value["n"].isUInt64() ||
      !isPairs(Value["f"]) || !Value["k"].isObject())
    return Unreadable;
  HostReport Report;
  Report.m_Host = Value["h"].asString();
  Report.m_Sequence = Value["n"].asUInt64();
  for (const Json::Value &Row : Value["f"]) {
    if (!Row[0].isString())
      return Unreadable;
    Report.m_InFlight[Row[0].asString()] = Row[1].asInt();
  }
  for (const std::string &Pool : Value["k"].getMemberNames()) {
    const Json::Value &Rows = Value["k"][Pool];
    if (!isPairs(Rows))
      return Unreadable;
    for (const Json::Value &Row : Rows) {
      if (!Row[0].isUInt())
        return Unreadable;
      Report.m_KeyCounts[Pool][Row[0].asUInt()] = Row[1].asUInt();
    }
  }
  return Report;
}

} // namespace monsoon
