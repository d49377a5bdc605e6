#include "codec/messagecodec.h"

#include "codec/tablecodec.h"
#include "core/tablecheck.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace monsoon {

namespace {

/// Runs a decoder on a JSON object and returns its exceptions, which report a
/// value of the wrong type, as AnswerMismatch. Errors begin with the name.
template <typename Message, typename Decoder>
Outcome<Message> decodeObject(const char *Name, const Json::Value &Value,
                              Decoder Decode) {
  if (!Value.isObject())
    return Failure{ErrorKind::AnswerMismatch,
                   absl::StrCat(Name, ": not a JSON object")};
  try {
    return Decode();
  } catch (const Json::Exception &Error) {
    return Failure{ErrorKind::AnswerMismatch,
                   absl::StrCat(Name, ": ", Error.what())};
  }
}

template <typename Items> Json::Value encodeItems(const Items &Values) {
  Json::Value Result(Json::arrayValue);
  for (const auto &Each : Values)
    Result.append(Each);
  return Result;
}

std::vector<RangeId> decodeRanges(const Json::Value &Value) {
  std::vector<RangeId> Result;
  for (const Json::Value &Each : Value)
    Result.push_back(Each.asUInt());
  return Result;
}

Json::Value encodeEntry(const ViewEntry &Entry) {
  Json::Value Result(Json::arrayValue);
  Result.append(Entry.m_Range);
  Result.append(Entry.m_Server);
  Result.append(Json::UInt64(Entry.m_Fence));
  Result.append(Entry.m_Pending);
  return Result;
}

} // namespace

Json::Value encodeMessage(const Hello &Message) {
  Json::Value Result;
  Result["name"] = Message.m_Name;
  Result["id"] = Message.m_Id;
  Result["heard"] = encodeItems(Message.m_Heard);
  Result["config"] = Json::UInt64(Message.m_ConfigVersion);
  Result["warmth"] = Json::UInt64(Message.m_WarmthVersion);
  Result["stopping"] = Message.m_Stopping;
  return Result;
}

Outcome<Hello> decodeHello(const Json::Value &Value) {
  return decodeObject<Hello>("hello", Value, [&Value] {
    Hello Result;
    Result.m_Name = Value["name"].asString();
    Result.m_Id = Value["id"].asString();
    for (const Json::Value &Each : Value["heard"])
      Result.m_Heard.insert(Each.asString());
    Result.m_ConfigVersion = Value["config"].asUInt64();
    Result.m_WarmthVersion = Value["warmth"].asUInt64();
    Result.m_Stopping = Value["stopping"].asBool();
    return Result;
  });
}

Json::Value encodeMessage(const Heartbeat &Message) {
  Json::Value Result;
  Result["pool"] = Message.m_Pool;
  Result["from"] = Message.m_From;
  Result["term"] = Json::UInt64(Message.m_Term);
  Result["echo"] = Json::Int64(Message.m_Echo);
  Result["view_ms"] = Json::Int64(Message.m_ViewLifetime.count());
  Result["seq"] = Json::UInt64(Message.m_ViewSeq);
  Result["base_seq"] = Json::UInt64(Message.m_BaseSeq);
  Result["ranges"] = Message.m_RangeCount;
  Result["entries"] = Json::Value(Json::arrayValue);
  for (const ViewEntry &Each : Message.m_Entries)
    Result["entries"].append(encodeEntry(Each));
  Result["handing_over"] = Message.m_HandingOver;
  return Result;
}

Outcome<Heartbeat> decodeHeartbeat(const Json::Value &Value) {
  return decodeObject<Heartbeat>("heartbeat", Value, [&Value] {
    Heartbeat Result;
    Result.m_Pool = Value["pool"].asString();
    Result.m_From = Value["from"].asString();
    Result.m_Term = Value["term"].asUInt64();
    Result.m_Echo = Value["echo"].asInt64();
    Result.m_ViewLifetime = Milliseconds(Value["view_ms"].asInt64());
    Result.m_ViewSeq = Value["seq"].asUInt64();
    Result.m_BaseSeq = Value["base_seq"].asUInt64();
    Result.m_RangeCount = Value["ranges"].asUInt();
    for (const Json::Value &Each : Value["entries"])
      Result.m_Entries.push_back({Each[0].asUInt(), Each[1].asString(),
                                  Each[2].asUInt64(), Each[3].asBool()});
    Result.m_HandingOver = Value["handing_over"].asBool();
    return Result;
  });
}

Json::Value encodeMessage(const HeartbeatReply &Message) {
  Json::Value Result;
  Result["from"] = Message.m_From;
  Result["term"] = Json::UInt64(Message.m_Term);
  Result["promised"] = Message.m_Promised;
  Result["stamp"] = Json::Int64(Message.m_Stamp);
  Result["ack_seq"] = Json::UInt64(Message.m_AckSeq);
  Result["busy"] = encodeItems(Message.m_Busy);
  Result["stopping"] = Message.m_Stopping;
  return Result;
}

Outcome<HeartbeatReply> decodeHeartbeatReply(const Json::Value &Value) {
  return decodeObject<HeartbeatReply>("heartbeat reply", Value, [&Value] {
    HeartbeatReply Result;
    Result.m_From = Value["from"].asString();
    Result.m_Term = Value["term"].asUInt64();
    Result.m_Promised = Value["promised"].asBool();
    Result.m_Stamp = Value["stamp"].asInt64();
    Result.m_AckSeq = Value["ack_seq"].asUInt64();
    Result.m_Busy = decodeRanges(Value["busy"]);
    Result.m_Stopping = Value["stopping"].asBool();
    return Result;
  });
}

Json::Value encodeMessage(const Canvass &Message) {
  Json::Value Result;
  Result["pool"] = Message.m_Pool;
  Result["from"] = Message.m_From;
  Result["term"] = Json::UInt64(Message.m_Term);
  return Result;
}

Outcome<Canvass> decodeCanvass(const Json::Value &Value) {
  return decodeObject<Canvass>("canvass", Value, [&Value] {
    Canvass Result;
    Result.m_Pool = Value["pool"].asString();
    Result.m_From = Value["from"].asString();
    Result.m_Term = Value["term"].asUInt64();
    return Result;
  });
}

Json::Value encodeMessage(const CanvassReply &Message) {
  Json::Value Result;
  Result["from"] = Message.m_From;
  Result["term"] = Json::UInt64(Message.m_Term);
  Result["would_promise"] = Message.m_WouldPromise;
  return Result;
}

Outcome<CanvassReply> decodeCanvassReply(const Json::Value &Value) {
  return decodeObject<CanvassReply>("canvass reply", Value, [&Value] {
    CanvassReply Result;
    Result.m_From = Value["from"].asString();
    Result.m_Term = Value["term"].asUInt64();
    Result.m_WouldPromise = Value["would_promise"].asBool();
    return Result;
  });
}

Json::Value encodeMessage(const GrantOrder &Message) {
  Json::Value Result;
  Result["pool"] = Message.m_Pool;
  Result["server"] = Message.m_Server;
  Result["term"] = Json::UInt64(Message.m_Term);
  Result["seq"] = Json::UInt64(Message.m_Seq);
  Result["instance"] = Message.m_Instance;
  Result["echo"] = Json::Int64(Message.m_Echo);
  Result["lifetime_ms"] = Json::Int64(Message.m_Lifetime.count());
  Result["set_version"] = Json::UInt64(Message.m_SetVersion);
  if (!Message.m_Ranges)
    return Result;
  Result["ranges"] = Json::Value(Json::arrayValue);
  for (const RangeGrant &Each : *Message.m_Ranges) {
    Json::Value Item(Json::arrayValue);
    Item.append(Each.m_Range);
    Item.append(Json::UInt64(Each.m_Fence));
    Result["ranges"].append(Item);
  }
  return Result;
}

Outcome<GrantOrder> decodeGrantOrder(const Json::Value &Value) {
  return decodeObject<GrantOrder>("grant", Value, [&Value] {
    GrantOrder Result;
    Result.m_Pool = Value["pool"].asString();
    Result.m_Server = Value["server"].asString();
    Result.m_Term = Value["term"].asUInt64();
    Result.m_Seq = Value["seq"].asUInt64();
    Result.m_Instance = Value["instance"].asString();
    Result.m_Echo = Value["echo"].asInt64();
    Result.m_Lifetime = Milliseconds(Value["lifetime_ms"].asInt64());
    Result.m_SetVersion = Value["set_version"].asUInt64();
    if (!Value.isMember("ranges"))
      return Result;
    Result.m_Ranges.emplace();
    for (const Json::Value &Each : Value["ranges"])
      Result.m_Ranges->push_back({Each[0].asUInt(), Each[1].asUInt64()});
    return Result;
  });
}

Json::Value encodeMessage(const GrantReply &Message) {
  Json::Value Result;
  Result["accepted"] = Message.m_Accepted;
  Result["term"] = Json::UInt64(Message.m_Term);
  Result["instance"] = Message.m_Instance;
  Result["stamp"] = Json::Int64(Message.m_Stamp);
  Result["set_version"] = Json::UInt64(Message.m_SetVersion);
  Result["draining"] = encodeItems(Message.m_Draining);
  return Result;
}

Outcome<GrantReply> decodeGrantReply(const Json::Value &Value) {
  return decodeObject<GrantReply>("grant reply", Value, [&Value] {
    GrantReply Result;
    Result.m_Accepted = Value["accepted"].asBool();
    Result.m_Term = Value["term"].asUInt64();
    Result.m_Instance = Value["instance"].asString();
    Result.m_Stamp = Value["stamp"].asInt64();
    Result.m_SetVersion = Value["set_version"].asUInt64();
    Result.m_Draining = decodeRanges(Value["draining"]);
    return Result;
  });
}

Json::Value encodeMessage(const PeerConfig &Message) {
  Json::Value Result;
  Result["version"] = Json::UInt64(Message.m_Version);
  if (Message.m_Tables)
    Result["tables"] = encodeTables(*Message.m_Tables);
  return Result;
}

Outcome<PeerConfig> decodePeerConfig(const Json::Value &Value) {
  return decodeObject<PeerConfig>(
      "configuration", Value, [&Value]() -> Outcome<PeerConfig> {
        PeerConfig Result;
        Result.m_Version = Value["version"].asUInt64();
        if (!Value.isMember("tables"))
          return Result;
        auto Decoded = decodeTables(Value["tables"], "configuration");
        if (!Decoded)
          return Decoded.error();
        Result.m_Tables =
            std::make_shared<const Tables>(std::move(Decoded.value()));
        return Result;
      });
}

Json::Value encodeMessage(const PeerWarmth &Message) {
  Json::Value Result;
  Result["version"] = Json::UInt64(Message.m_Version);
  Result["targets"] = Json::Value(Json::arrayValue);
  for (const TargetWarmth &Each : Message.m_Targets) {
    Json::Value Item(Json::arrayValue);
    Item.append(Each.m_Pool);
    Item.append(Each.m_Target);
    Item.append(Each.m_Instance);
    Item.append(Each.m_ColdCount);
    Item.append(Each.m_Warm);
    Item.append(Json::Int64(Each.m_Age.count()));
    Result["targets"].append(Item);
  }
  return Result;
}

Outcome<PeerWarmth> decodePeerWarmth(const Json::Value &Value) {
  return decodeObject<PeerWarmth>("warmth", Value, [&Value] {
    PeerWarmth Result;
    Result.m_Version = Value["version"].asUInt64();
    for (const Json::Value &Each : Value["targets"])
      Result.m_Targets.push_back({Each[0].asString(), Each[1].asString(),
                                  Each[2].asString(), Each[3].asUInt(),
                                  Each[4].asBool(),
                                  Milliseconds(Each[5].asInt64())});
    return Result;
  });
}

} // namespace monsoon
