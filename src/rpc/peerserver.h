#ifndef MONSOON_RPC_PEERSERVER_H
#define MONSOON_RPC_PEERSERVER_H

#include "core/settings.h"
#include "http/httpserver.h"
#include "ports/peerservice.h"

#include <memory>

namespace monsoon {

/// Answers the JSON-RPC calls of the other entry hosts.
class PeerServer {
public:
  PeerServer(const Endpoint &Address, PeerHandler &Handler);
  ~PeerServer();

  /// False when the address can't be bound.
  bool start();
  void stop();

private:
  class Dispatcher;

  std::unique_ptr<Dispatcher> m_Dispatcher;
  HttpServer m_Server;
};

} // namespace monsoon

#endif
