#ifndef MONSOON_PORTS_PEERSERVICE_H
#define MONSOON_PORTS_PEERSERVICE_H

#include "core/configlog.h"
#include "core/membership.h"
#include "core/outcome.h"
#include "core/ownershipmessages.h"
#include "core/targetbalancer.h"

#include <string>
#include <vector>

namespace monsoon {

/// The configuration that another entry host uses.
struct PeerConfig {
  ConfigVersion m_Version = 0;
  TablesPtr m_Tables;
};

/// The warm-up state of targets as another entry host knows it.
struct PeerWarmth {
  uint64_t m_Version = 0;
  std::vector<TargetWarmth> m_Targets;
};

/// Calls to the other entry hosts, by their names in the settings.
class PeerService {
public:
  virtual ~PeerService() = default;

  virtual Outcome<Hello> hello(const std::string &Peer,
                               const Hello &Message) = 0;
  virtual Outcome<HeartbeatReply> heartbeat(const std::string &Peer,
                                            const Heartbeat &Message) = 0;
  virtual Outcome<CanvassReply> canvass(const std::string &Peer,
                                        const Canvass &Message) = 0;
  virtual Outcome<PeerConfig> fetchConfig(const std::string &Peer) = 0;
  virtual Outcome<PeerWarmth> fetchWarmth(const std::string &Peer) = 0;
};

/// Handles the calls of other entry hosts.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;

  virtual Hello onHello(const Hello &Message) = 0;
  virtual Outcome<HeartbeatReply> onHeartbeat(const Heartbeat &Message) = 0;
  virtual Outcome<CanvassReply> onCanvass(const Canvass &Message) = 0;
  virtual PeerConfig onFetchConfig() = 0;
  virtual PeerWarmth onFetchWarmth() = 0;
};

} // namespace monsoon

#endif
