#include "codec/recordcodec.h"

#include "codec/jsontext.h"
#include "codec/tablecodec.h"
#include "core/tablecheck.h"

#include <optional>
#include <utility>

namespace monsoon {

namespace {

/// The latest record format that this version reads, and the one it writes.
constexpr unsigned FormatVersion = 1;

Json::Value newRecord(const char *Kind) {
  Json::Value Result;
  Result["kind"] = Kind;
  Result["format"] = FormatVersion;
  return Result;
}

/// Parses a record. Returns nothing if the text is not a JSON object with a
/// kind and a supported format.
std::optional<Json::Value> parseRecord(const std::string &Data) {
  const auto Parsed = parseJson(Data, "record", ErrorKind::RecordUnreadable);
  if (!Parsed || !Parsed.value().isObject())
    return std::nullopt;
  const Json::Value &Value = Parsed.value();
  if (!Value["kind"].isString() || !Value["format"].isUInt() ||
      Value["format"].asUInt() > FormatVersion)
    return std::nullopt;
  return Value;
}

/// Returns the tables, or null if they are malformed or inconsistent.
TablesPtr decodeValidTables(const Json::Value &Value) {
  auto Decoded = decodeTables(Value, "record");
  if (!Decoded || !checkTables(Decoded.value()).empty())
    return nullptr;
  return std::make_shared<const Tables>(std::move(Decoded.value()));
}

Json::Value encodeHistory(const std::deque<ConfigChange> &History) {
  Json::Value Result(Json::arrayValue);
  for (const ConfigChange &Each : History) {
    Json::Value Item;
    Item["version"] = Json::UInt64(Each.m_Version);
    Item["id"] = Each.m_Id;
    Item["author"] = Each.m_Author;
    Item["note"] = Each.m_Note;
    Result.append(Item);
  }
  return Result;
}

std::deque<ConfigChange> decodeHistory(const Json::Value &Value) {
  std::deque<ConfigChange> Result;
  for (const Json::Value &Each : Value)
    Result.push_back({Each["version"].asUInt64(), Each["id"].asString(),
                      Each["author"].asString(), Each["note"].asString()});
  return Result;
}

class ConfigEncoder {
public:
  Json::Value operator()(const UnknownRecord & /*Record*/) const {
    return newRecord("unknown");
  }
  Json::Value operator()(const PublishRecord &Record) const {
    Json::Value Result = newRecord("publish");
    Result["id"] = Record.m_Id;
    Result["base"] = Json::UInt64(Record.m_Base);
    Result["author"] = Record.m_Author;
    Result["note"] = Record.m_Note;
    if (Record.m_Tables)
      Result["tables"] = encodeTables(*Record.m_Tables);
    return Result;
  }
  Json::Value operator()(const ConfigSnapshot &Record) const {
    Json::Value Result = newRecord("config_snapshot");
    Result["as_of"] = Json::UInt64(Record.m_AsOf);
    Result["version"] = Json::UInt64(Record.m_State.version());
    Result["history"] = encodeHistory(Record.m_State.history());
    if (Record.m_State.tables())
      Result["tables"] = encodeTables(*Record.m_State.tables());
    return Result;
  }
};

Json::Value encodeIds(const std::vector<std::string> &Ids) {
  Json::Value Result(Json::arrayValue);
  for (const std::string &Each : Ids)
    Result.append(Each);
  return Result;
}

std::vector<std::string> decodeIds(const Json::Value &Value) {
  std::vector<std::string> Result;
  for (const Json::Value &Each : Value)
    Result.push_back(Each.asString());
  return Result;
}

Json::Value encodeMoves(const AssignRecord &Record) {
  Json::Value Result(Json::objectValue);
  for (const auto &[Server, Ranges] : Record.m_Moves)
    for (const RangeId Range : Ranges)
      Result[Server].append(Range);
  return Result;
}

/// Writes `servers`, the distinct server names, and `owners`, three numbers per
/// range: index of the server, fence, index of the previous server.
void encodeOwners(const std::vector<RangeOwner> &Owners, Json::Value &Result) {
  std::map<std::string, unsigned> Indexes;
  for (const RangeOwner &Each : Owners) {
    Indexes.emplace(Each.m_Server, 0);
    Indexes.emplace(Each.m_Former, 0);
  }
  Result["servers"] = Json::Value(Json::arrayValue);
  for (auto &[Name, Index] : Indexes) {
    Index = Result["servers"].size();
    Result["servers"].append(Name);
  }
  Result["owners"] = Json::Value(Json::arrayValue);
  for (const RangeOwner &Each : Owners) {
    Result["owners"].append(Indexes[Each.m_Server]);
    Result["owners"].append(Json::UInt64(Each.m_Fence));
    Result["owners"].append(Indexes[Each.m_Former]);
  }
}

/// The inverse of encodeOwners(). Throws if an index is out of range.
std::vector<RangeOwner> decodeOwners(const Json::Value &Value) {
  const std::vector<std::string> Names = decodeIds(Value["servers"]);
  const Json::Value &Owners = Value["owners"];
  std::vector<RangeOwner> Result;
  for (Json::ArrayIndex Index = 0; Index + 2 < Owners.size(); Index += 3)
    Result.push_back({Names.at(Owners[Index].asUInt()),
                      Owners[Index + 1].asUInt64(),
                      Names.at(Owners[Index + 2].asUInt())});
  return Result;
}

class OwnershipEncoder {
public:
  Json::Value operator()(const UnknownRecord & /*Record*/) const {
    return newRecord("unknown");
  }
  Json::Value operator()(const ClaimRecord &Record) const {
    Json::Value Result = newRecord("claim");
    Result["id"] = Record.m_Id;
    Result["base"] = Json::UInt64(Record.m_Base);
    Result["host"] = Record.m_Host;
    Result["cold"] = Record.m_Cold;
    return Result;
  }
  Json::Value operator()(const AssignRecord &Record) const {
    Json::Value Result = newRecord("assign");
    Result["id"] = Record.m_Id;
    Result["base"] = Json::UInt64(Record.m_Base);
    Result["term"] = Json::UInt64(Record.m_Term);
    Result["ranges"] = Record.m_RangeCount;
    Result["moves"] = encodeMoves(Record);
    return Result;
  }
  Json::Value operator()(const ElectorsRecord &Record) const {
    Json::Value Result = newRecord("electors");
    Result["id"] = Record.m_Id;
    Result["base"] = Json::UInt64(Record.m_Base);
    Result["term"] = Json::UInt64(Record.m_Term);
    Result["electors"] = encodeIds(Record.m_Electors);
    return Result;
  }
  Json::Value operator()(const ResignRecord &Record) const {
    Json::Value Result = newRecord("resign");
    Result["host"] = Record.m_Host;
    return Result;
  }
  Json::Value operator()(const ColdNoticeRecord &Record) const {
    Json::Value Result = newRecord("cold_notice");
    Result["base"] = Json::UInt64(Record.m_Base);
    Result["host"] = Record.m_Host;
    return Result;
  }
  Json::Value operator()(const ColdObjectionRecord &Record) const {
    Json::Value Result = newRecord("alive");
    Result["base"] = Json::UInt64(Record.m_Base);
    Result["term"] = Json::UInt64(Record.m_Term);
    return Result;
  }
  Json::Value operator()(const ColdConfirmRecord &Record) const {
    Json::Value Result = newRecord("cold_confirm");
    Result["author"] = Record.m_Author;
    return Result;
  }
  Json::Value operator()(const GroupSnapshot &Record) const {
    const GroupState &State = Record.m_State;
    Json::Value Result = newRecord("group_snapshot");
    Result["as_of"] = Json::UInt64(Record.m_AsOf);
    Result["term"] = Json::UInt64(State.term());
    Result["version"] = Json::UInt64(State.version());
    Result["holder"] = State.holder();
    Result["electors"] = encodeIds(State.electors());
    Result["cold"] = State.isCold();
    Result["cold_notice"] = State.coldNotice();
    encodeOwners(State.owners(), Result);
    return Result;
  }
};

AssignRecord decodeAssign(const Json::Value &Value) {
  AssignRecord Result;
  Result.m_Id = Value["id"].asString();
  Result.m_Base = Value["base"].asUInt64();
  Result.m_Term = Value["term"].asUInt64();
  Result.m_RangeCount = Value["ranges"].asUInt();
  const Json::Value &Moves = Value["moves"];
  for (const std::string &Server : Moves.getMemberNames())
    for (const Json::Value &Range : Moves[Server])
      Result.m_Moves[Server].push_back(Range.asUInt());
  return Result;
}

GroupSnapshot decodeGroupSnapshot(const Json::Value &Value) {
  GroupStateBuilder Builder;
  Builder.term(Value["term"].asUInt64(), Value["holder"].asString())
      .version(Value["version"].asUInt64())
      .electors(decodeIds(Value["electors"]))
      .owners(decodeOwners(Value))
      .cold(Value["cold"].asBool(), Value["cold_notice"].asString());
  return {Value["as_of"].asUInt64(), Builder.build()};
}

ConfigRecord decodeConfig(const Json::Value &Value) {
  const std::string Kind = Value["kind"].asString();
  if (Kind == "publish")
    return {PublishRecord{Value["id"].asString(), Value["base"].asUInt64(),
                          Value["author"].asString(), Value["note"].asString(),
                          decodeValidTables(Value["tables"])}};
  if (Kind != "config_snapshot")
    return {};
  TablesPtr Decoded = decodeValidTables(Value["tables"]);
  if (!Decoded)
    return {};
  return {ConfigSnapshot{Value["as_of"].asUInt64(),
                         ConfigState(Value["version"].asUInt64(), Decoded,
                                     decodeHistory(Value["history"]))}};
}

OwnershipRecord decodeOwnership(const Json::Value &Value) {
  const std::string Kind = Value["kind"].asString();
  if (Kind == "claim")
    return {ClaimRecord{Value["id"].asString(), Value["base"].asUInt64(),
                        Value["host"].asString(), Value["cold"].asBool()}};
  if (Kind == "assign")
    return {decodeAssign(Value)};
  if (Kind == "electors")
    return {ElectorsRecord{Value["id"].asString(), Value["base"].asUInt64(),
                           Value["term"].asUInt64(),
                           decodeIds(Value["electors"])}};
  if (Kind == "resign")
    return {ResignRecord{Value["host"].asString()}};
  if (Kind == "cold_notice")
    return {
        ColdNoticeRecord{Value["base"].asUInt64(), Value["host"].asString()}};
  if (Kind == "alive")
    return {ColdObjectionRecord{Value["base"].asUInt64(),
                                Value["term"].asUInt64()}};
  if (Kind == "cold_confirm")
    return {ColdConfirmRecord{Value["author"].asString()}};
  if (Kind == "group_snapshot")
    return {decodeGroupSnapshot(Value)};
  return {};
}

/// Decodes a record. Returns an UnknownRecord if the record cannot be parsed or
/// a field has the wrong type.
template <typename Record, typename Decoder>
Record decodeOrUnknown(const std::string &Data, Decoder Decode) {
  const auto Value = parseRecord(Data);
  if (!Value)
    return {};
  try {
    return Decode(*Value);
  } catch (const std::exception &) {
    return {};
  }
}

} // namespace

std::string encodeRecord(const ConfigRecord &Record) {
  return writeJson(std::visit(ConfigEncoder(), Record.m_Body));
}

ConfigRecord decodeConfigRecord(const std::string &Data) {
  return decodeOrUnknown<ConfigRecord>(Data, decodeConfig);
}

std::string encodeRecord(const OwnershipRecord &Record) {
  return writeJson(std::visit(OwnershipEncoder(), Record.m_Body));
}

OwnershipRecord decodeOwnershipRecord(const std::string &Data) {
  return decodeOrUnknown<OwnershipRecord>(Data, decodeOwnership);
}

} // namespace monsoon
