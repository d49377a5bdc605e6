#include "codec/tablecodec.h"

#include "codec/jsonreader.h"
#include "codec/jsontext.h"
#include "core/tablecheck.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace monsoon {

namespace {

constexpr int64_t MaxDeadlineMs = 600'000;
constexpr int64_t MaxRanges = 1'000'000;
constexpr int64_t MaxSlots = 10'000;
constexpr int64_t MaxConnections = 100'000;
constexpr int64_t MaxPort = 65'535;

/// Indexed by KeyPlace.
constexpr std::pair<KeyPlace, const char *> KeyPlaceNames[] = {
    {KeyPlace::None, "none"},
    {KeyPlace::PathParameter, "path"},
    {KeyPlace::Header, "header"},
    {KeyPlace::Query, "query"}};

const char *keyPlaceName(KeyPlace Place) {
  return KeyPlaceNames[static_cast<size_t>(Place)].second;
}

KeySource decodeKey(JsonReader &Outer, JsonFaults &Faults) {
  KeySource Result;
  if (!Outer.has("key"))
    return Result;
  const Json::Value Value = Outer.object("key");
  JsonReader Reader(Value, Outer.where("key"), Faults);
  const std::string Place = Reader.text("in");
  Result.m_Name = Reader.text("name");
  Reader.rejectUnknown();
  for (const auto &[Each, Name] : KeyPlaceNames) {
    if (Each != KeyPlace::None && Place == Name) {
      Result.m_Place = Each;
      return Result;
    }
  }
  if (!Place.empty())
    Reader.fault("in", absl::StrCat("\"", Place, "\""),
                 "\"path\", \"header\" or \"query\"");
  return Result;
}

TrafficClass decodeClass(JsonReader &Reader) {
  const std::string Name = Reader.text("class");
  if (const auto Class = trafficClassFromName(Name))
    return *Class;
  if (!Name.empty())
    Reader.fault("class", absl::StrCat("\"", Name, "\""),
                 "\"download\", \"lookup\", \"order\" or \"confirmation\"");
  return TrafficClass::Lookup;
}

/// Returns nothing if the route has a fault; its faults are added to Faults.
std::optional<Route> decodeRoute(const Json::Value &Value,
                                 const std::string &Where, JsonFaults &Faults) {
  const size_t FaultsBefore = Faults.size();
  JsonReader Reader(Value, Where, Faults);
  const std::string Name = Reader.text("name");
  const std::string PathText = Reader.text("path");
  const std::string Pool = Reader.text("pool");
  const auto Path = PathTemplate::parse(PathText);
  if (!Path && !PathText.empty())
    Reader.fault("path", absl::StrCat("\"", PathText, "\""),
                 "a pattern like \"/ledger/{shop}\" or \"/prices/*\"");
  const auto Methods = Reader.texts("methods");
  const KeySource Key = decodeKey(Reader, Faults);
  const TrafficClass Class = decodeClass(Reader);
  const std::string Tenant = Reader.text("tenant_header", "");
  const bool Idempotent = Reader.flag("idempotent", false);
  const bool Streamed = Reader.flag("streamed", false);
  const Duration Deadline =
      Reader.milliseconds("deadline_ms", 1, MaxDeadlineMs, Milliseconds(1000));
  Reader.rejectUnknown();
  if (Faults.size() != FaultsBefore || !Path)
    return std::nullopt;
  return Route::Builder(Name, *Path, Pool)
      .methods(Methods)
      .key(Key)
      .trafficClass(Class)
      .tenantHeader(Tenant)
      .idempotent(Idempotent)
      .streamed(Streamed)
      .deadline(Deadline)
      .build();
}

Target decodeTarget(const Json::Value &Value, const std::string &Where,
                    JsonFaults &Faults) {
  JsonReader Reader(Value, Where, Faults);
  Target Result;
  Result.m_Name = Reader.text("name");
  Result.m_Host = Reader.text("host");
  Result.m_Port = static_cast<int>(Reader.count("port", 1, MaxPort));
  Result.m_FailureDomain = Reader.text("failure_domain");
  Result.m_Slots = static_cast<int>(Reader.count("slots", 1, MaxSlots, 4));
  Result.m_Connections =
      static_cast<int>(Reader.count("connections", 1, MaxConnections, 100));
  Reader.rejectUnknown();
  return Result;
}

PoolPolicy decodePolicy(JsonReader &Outer, JsonFaults &Faults) {
  PoolPolicy Result;
  if (!Outer.has("policy"))
    return Result;
  const Json::Value Value = Outer.object("policy");
  JsonReader Reader(Value, Outer.where("policy"), Faults);
  Result.m_ColdLimit = static_cast<int>(
      Reader.count("cold_limit", 1, MaxSlots, Result.m_ColdLimit));
  Result.m_WarmStep =
      Reader.milliseconds("warm_step_ms", 10, MaxDeadlineMs, Result.m_WarmStep);
  Result.m_RetryPercent =
      Reader.measure("retry_percent", 0, 100, Result.m_RetryPercent);
  Result.m_QueuePerSlot =
      Reader.measure("queue_per_slot", 1, 100, Result.m_QueuePerSlot);
  Result.m_HedgePercent =
      Reader.measure("hedge_percent", 0, 100, Result.m_HedgePercent);
  Reader.rejectUnknown();
  return Result;
}

Pool decodePool(const Json::Value &Value, const std::string &Where,
                JsonFaults &Faults) {
  JsonReader Reader(Value, Where, Faults);
  Pool::Builder Builder(Reader.text("name"));
  Builder.ownedByKey(Reader.flag("owned_by_key", false));
  Builder.checksFences(Reader.flag("checks_fences", true));
  Builder.ranges(
      static_cast<uint32_t>(Reader.count("ranges", 1, MaxRanges, 64)));
  Builder.domainsOut(Reader.texts("failure_domains_out"));
  Builder.policy(decodePolicy(Reader, Faults));
  size_t Index = 0;
  for (const Json::Value &Each : Reader.objects("targets"))
    Builder.addTarget(decodeTarget(
        Each, absl::StrCat(Reader.where("targets"), "[", Index++, "]"),
        Faults));
  Reader.rejectUnknown();
  return Builder.build();
}

Json::Value encodeNames(const std::vector<std::string> &Names) {
  Json::Value Result(Json::arrayValue);
  for (const std::string &Each : Names)
    Result.append(Each);
  return Result;
}

Json::Value encodeRoute(const Route &Value) {
  Json::Value Result;
  Result["name"] = Value.name();
  Result["path"] = Value.path().text();
  Result["methods"] = encodeNames(Value.methods());
  if (Value.key().m_Place != KeyPlace::None) {
    Result["key"]["in"] = keyPlaceName(Value.key().m_Place);
    Result["key"]["name"] = Value.key().m_Name;
  }
  Result["class"] = std::string(trafficClassName(Value.trafficClass()));
  Result["tenant_header"] = Value.tenantHeader();
  Result["idempotent"] = Value.isIdempotent();
  Result["streamed"] = Value.isStreamed();
  Result["deadline_ms"] = encodeMilliseconds(Value.deadline());
  Result["pool"] = Value.pool();
  return Result;
}

Json::Value encodePool(const Pool &Value) {
  Json::Value Result;
  Result["name"] = Value.name();
  Result["owned_by_key"] = Value.isOwnedByKey();
  Result["checks_fences"] = Value.checksFences();
  Result["ranges"] = Value.ranges();
  Result["failure_domains_out"] = encodeNames(Value.domainsOut());
  Json::Value &Policy = Result["policy"];
  Policy["cold_limit"] = Value.policy().m_ColdLimit;
  Policy["warm_step_ms"] = encodeMilliseconds(Value.policy().m_WarmStep);
  Policy["retry_percent"] = Value.policy().m_RetryPercent;
  Policy["queue_per_slot"] = Value.policy().m_QueuePerSlot;
  Policy["hedge_percent"] = Value.policy().m_HedgePercent;
  Result["targets"] = Json::Value(Json::arrayValue);
  for (const Target &Member : Value.targets()) {
    Json::Value Item;
    Item["name"] = Member.m_Name;
    Item["host"] = Member.m_Host;
    Item["port"] = Member.m_Port;
    Item["failure_domain"] = Member.m_FailureDomain;
    Item["slots"] = Member.m_Slots;
    Item["connections"] = Member.m_Connections;
    Result["targets"].append(Item);
  }
  return Result;
}

/// Returns the array in the only field of a table file. Source, the file's
/// path, is named in faults.
std::vector<Json::Value> readTable(const Json::Value &File,
                                   const std::string &Source,
                                   const std::string &Field,
                                   JsonFaults &Faults) {
  JsonReader Reader(File, Source, Faults);
  std::vector<Json::Value> Items = Reader.objects(Field);
  Reader.rejectUnknown();
  return Items;
}

/// Decodes the elements of both tables. Fails if Faults, which holds the faults
/// of the enclosing documents, is not empty or an element has a fault.
Outcome<Tables> decodeItems(const std::vector<Json::Value> &RouteItems,
                            const std::string &RouteSource,
                            const std::vector<Json::Value> &PoolItems,
                            const std::string &PoolSource, JsonFaults Faults) {
  std::vector<Route> Routes;
  for (size_t Index = 0; Index < RouteItems.size(); ++Index) {
    const auto Each =
        decodeRoute(RouteItems[Index],
                    absl::StrCat(RouteSource, ": routes[", Index, "]"), Faults);
    if (Each)
      Routes.push_back(*Each);
  }
  std::vector<Pool> Pools;
  for (size_t Index = 0; Index < PoolItems.size(); ++Index)
    Pools.push_back(decodePool(PoolItems[Index],
                               absl::StrCat(PoolSource, ": pools[", Index, "]"),
                               Faults));
  if (!Faults.empty())
    return Failure{ErrorKind::TableInvalid, absl::StrJoin(Faults, "\n")};
  return Tables(std::move(Routes), std::move(Pools));
}

} // namespace

Outcome<Tables> decodeTables(const Json::Value &Value,
                             const std::string &Source) {
  JsonFaults Faults;
  JsonReader Reader(Value, Source, Faults);
  const auto RouteItems = Reader.objects("routes");
  const auto PoolItems = Reader.objects("pools");
  Reader.rejectUnknown();
  return decodeItems(RouteItems, Source, PoolItems, Source, Faults);
}

Json::Value encodeTables(const Tables &Value) {
  Json::Value Result;
  Result["routes"] = Json::Value(Json::arrayValue);
  for (const Route &Each : Value.routes())
    Result["routes"].append(encodeRoute(Each));
  Result["pools"] = Json::Value(Json::arrayValue);
  for (const Pool &Each : Value.pools())
    Result["pools"].append(encodePool(Each));
  return Result;
}

Outcome<Tables> loadTables(const std::string &RoutesPath,
                           const std::string &PoolsPath) {
  const auto RoutesFile = parseJsonFile(RoutesPath, ErrorKind::TableInvalid);
  if (!RoutesFile)
    return RoutesFile.error();
  const auto PoolsFile = parseJsonFile(PoolsPath, ErrorKind::TableInvalid);
  if (!PoolsFile)
    return PoolsFile.error();
  JsonFaults Faults;
  const auto RouteItems =
      readTable(RoutesFile.value(), RoutesPath, "routes", Faults);
  const auto PoolItems =
      readTable(PoolsFile.value(), PoolsPath, "pools", Faults);
  const auto Loaded =
      decodeItems(RouteItems, RoutesPath, PoolItems, PoolsPath, Faults);
  if (!Loaded)
    return Loaded.error();
  const auto Inconsistent = checkTables(Loaded.value());
  if (!Inconsistent.empty())
    return Failure{ErrorKind::TableInvalid, absl::StrJoin(Inconsistent, "\n")};
  return Loaded.value();
}

} // namespace monsoon
