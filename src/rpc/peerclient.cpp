#include "rpc/peerclient.h"

#include "codec/messagecodec.h"
#include "rpc/rpccaller.h"

#include "absl/strings/str_cat.h"

namespace monsoon {

namespace {

constexpr Milliseconds CallTimeout{300};

/// Carries calls as bodies of HTTP requests.
class HttpTransport : public RpcTransport {
public:
  explicit HttpTransport(JsonCall &Call) : m_Call(Call) {}

  bool carry(const std::string &Message, std::string &Reply,
             std::string &Error) override {
    auto Answer = m_Call.postText("/rpc", Message);
    if (!Answer) {
      Error = Answer.error().m_Message;
      return false;
    }
    Reply = Answer.value();
    return true;
  }

private:
  JsonCall &m_Call;
};

} // namespace

PeerClient::PeerClient(const std::vector<PeerSettings> &Peers) {
  for (const PeerSettings &Each : Peers)
    m_Calls[Each.m_Name] =
        std::make_unique<JsonCall>(Each.m_Address, CallTimeout);
}

Outcome<Json::Value> PeerClient::call(const std::string &Peer,
                                      const char *Method,
                                      const Json::Value &Message) {
  const auto It = m_Calls.find(Peer);
  if (It == m_Calls.end())
    return Failure{
        ErrorKind::ConnectFailed,
        absl::StrCat("peer \"", Peer, "\" does not exist in the settings")};
  HttpTransport Transport(*It->second);
  Json::Value Parameters;
  Parameters["message"] = Message;
  Json::Value Result;
  std::string Error;
  if (callRpc(Transport, Method, Parameters, Result, Error))
    return Result;
  return Failure{ErrorKind::AnswerLost,
                 absl::StrCat("peer \"", Peer, "\": ", Error)};
}

Outcome<Hello> PeerClient::hello(const std::string &Peer,
                                 const Hello &Message) {
  const auto Result = call(Peer, "hello", encodeMessage(Message));
  return Result ? decodeHello(Result.value()) : Result.error();
}

Outcome<HeartbeatReply> PeerClient::heartbeat(const std::string &Peer,
                                              const Heartbeat &Message) {
  const auto Result = call(Peer, "heartbeat", encodeMessage(Message));
  return Result ? decodeHeartbeatReply(Result.value()) : Result.error();
}

Outcome<CanvassReply> PeerClient::canvass(const std::string &Peer,
                                          const Canvass &Message) {
  const auto Result = call(Peer, "canvass", encodeMessage(Message));
  return Result ? decodeCanvassReply(Result.value()) : Result.error();
}

Outcome<PeerConfig> PeerClient::fetchConfig(const std::string &Peer) {
  const auto Result = call(Peer, "config", Json::objectValue);
  return Result ? decodePeerConfig(Result.value()) : Result.error();
}

Outcome<PeerWarmth> PeerClient::fetchWarmth(const std::string &Peer) {
  const auto Result = call(Peer, "warmth", Json::objectValue);
  return Result ? decodePeerWarmth(Result.value()) : Result.error();
}

} // namespace monsoon
