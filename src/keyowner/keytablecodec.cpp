#include "keyowner/keytablecodec.h"

#include "codec/jsonreader.h"
#include "codec/jsontext.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <limits>

namespace monsoon {

namespace {

constexpr int64_t MaxCount = std::numeric_limits<int64_t>::max();

Failure unreadable(const JsonFaults &Faults) {
  return {ErrorKind::RecordUnreadable, absl::StrJoin(Faults, "; ")};
}

} // namespace

std::string encodeLease(const OwnerLease &Lease) {
  Json::Value Value;
  Value["holder"] = Lease.m_Holder;
  Value["term"] = Json::UInt64(Lease.m_Term);
  return writeJson(Value);
}

Outcome<OwnerLease> decodeLease(const std::string &Text) {
  const auto Value = parseJson(Text, "lease", ErrorKind::RecordUnreadable);
  if (!Value)
    return Value.error();
  JsonFaults Faults;
  JsonReader Reader(Value.value(), "lease", Faults);
  OwnerLease Result;
  Result.m_Holder = Reader.text("holder");
  Result.m_Term = static_cast<uint64_t>(Reader.count("term", 0, MaxCount));
  if (!Faults.empty())
    return unreadable(Faults);
  return Result;
}

std::string encodeKeyTable(const KeyTable &Table) {
  Json::Value Value;
  Value["next_fence"] = Json::UInt64(Table.nextFence());
  Json::Value &Ranges = Value["ranges"] = Json::arrayValue;
  for (const OwnedRange &Each : Table.ranges()) {
    Json::Value Row;
    Row["first"] = Each.m_Keys.m_First;
    Row["last"] = Each.m_Keys.m_Last;
    Row["owner"] = Each.m_Owner;
    Row["life"] = Json::Int64(Each.m_Incarnation);
    Row["fence"] = Json::UInt64(Each.m_Fence);
    Ranges.append(Row);
  }
  return writeJson(Value);
}

Outcome<KeyTable> decodeKeyTable(const std::string &Text) {
  const auto Value = parseJson(Text, "key table", ErrorKind::RecordUnreadable);
  if (!Value)
    return Value.error();
  JsonFaults Faults;
  JsonReader Reader(Value.value(), "key table", Faults);
  KeyTable::Builder Result;
  Result.nextFence(
      static_cast<uint64_t>(Reader.count("next_fence", 1, MaxCount)));
  int64_t NextKey = 0;
  for (const Json::Value &Row : Reader.objects("ranges")) {
    JsonReader Range(Row, "key table: range", Faults);
    OwnedRange Each;
    // Keys have to ascend, which excludes overlapping ranges.
    Each.m_Keys.m_First =
        static_cast<uint32_t>(Range.count("first", NextKey, KeyCount - 1));
    Each.m_Keys.m_Last = static_cast<uint32_t>(
        Range.count("last", Each.m_Keys.m_First, KeyCount - 1));
    Each.m_Owner = Range.text("owner");
    Each.m_Incarnation = Range.count("life", 0, MaxCount);
    Each.m_Fence = static_cast<uint64_t>(Range.count("fence", 1, MaxCount));
    NextKey = int64_t(Each.m_Keys.m_Last) + 1;
    Result.addRecorded(std::move(Each));
  }
  if (!Faults.empty())
    return unreadable(Faults);
  return Result.build();
}

} // namespace monsoon
