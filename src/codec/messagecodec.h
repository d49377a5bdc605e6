#ifndef MONSOON_CODEC_MESSAGECODEC_H
#define MONSOON_CODEC_MESSAGECODEC_H

#include "core/membership.h"
#include "core/outcome.h"
#include "core/ownershipmessages.h"
#include "ports/peerservice.h"

#include <json/value.h>

namespace monsoon {

/// JSON encoding of the messages between entry hosts and between the decider
/// and servers. Decoding fails with AnswerMismatch if the value is not an
/// object or a field cannot be converted to its type; decodePeerConfig() fails
/// with TableInvalid if the tables are malformed. A missing field decodes to
/// zero, false or empty, and the type of an array field is not checked.
Json::Value encodeMessage(const Hello &Message);
Json::Value encodeMessage(const Heartbeat &Message);
Json::Value encodeMessage(const HeartbeatReply &Message);
Json::Value encodeMessage(const Canvass &Message);
Json::Value encodeMessage(const CanvassReply &Message);
Json::Value encodeMessage(const GrantOrder &Message);
Json::Value encodeMessage(const GrantReply &Message);
Json::Value encodeMessage(const PeerConfig &Message);
Json::Value encodeMessage(const PeerWarmth &Message);

Outcome<Hello> decodeHello(const Json::Value &Value);
Outcome<Heartbeat> decodeHeartbeat(const Json::Value &Value);
Outcome<HeartbeatReply> decodeHeartbeatReply(const Json::Value &Value);
Outcome<Canvass> decodeCanvass(const Json::Value &Value);
Outcome<CanvassReply> decodeCanvassReply(const Json::Value &Value);
Outcome<GrantOrder> decodeGrantOrder(const Json::Value &Value);
Outcome<GrantReply> decodeGrantReply(const Json::Value &Value);
Outcome<PeerConfig> decodePeerConfig(const Json::Value &Value);
Outcome<PeerWarmth> decodePeerWarmth(const Json::Value &Value);

} // namespace monsoon

#endif
