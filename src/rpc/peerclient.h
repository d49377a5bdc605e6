#ifndef MONSOON_RPC_PEERCLIENT_H
#define MONSOON_RPC_PEERCLIENT_H

#include "core/settings.h"
#include "http/jsoncall.h"
#include "ports/peerservice.h"

#include <json/value.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace monsoon {

/// Calls the other entry hosts by JSON-RPC over kept-open connections.
class PeerClient : public PeerService {
public:
  explicit PeerClient(const std::vector<PeerSettings> &Peers);

  Outcome<Hello> hello(const std::string &Peer, const Hello &Message) override;
  Outcome<HeartbeatReply> heartbeat(const std::string &Peer,
                                    const Heartbeat &Message) override;
  Outcome<CanvassReply> canvass(const std::string &Peer,
                                const Canvass &Message) override;
  Outcome<PeerConfig> fetchConfig(const std::string &Peer) override;
  Outcome<PeerWarmth> fetchWarmth(const std::string &Peer) override;

private:
  Outcome<Json::Value> call(const std::string &Peer, const char *Method,
                            const Json::Value &Message);

  std::map<std::string, std::unique_ptr<JsonCall>> m_Calls;
};

} // namespace monsoon

#endif
