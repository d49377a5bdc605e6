#ifndef MONSOON_MONSOONSTAND_GATEWAY_H
#define MONSOON_MONSOONSTAND_GATEWAY_H

#include "core/gatewaysettings.h"

#include <memory>

namespace monsoon {

/// An entry host on a platform. One event loop on one thread serves callers,
/// follows the topics of the platform's log, exchanges load gossip with the
/// other entry hosts (peers) and assigns the keys of keyed pools.
///
/// On SIGTERM or SIGINT the host reports not ready and gives its duties back to
/// the host group, but goes on accepting requests until the balancer has
/// noticed. Then it refuses new requests and ends once no connection is left,
/// or shortly before the stop limit of the settings. SIGHUP is only logged.
class Gateway {
public:
  explicit Gateway(GatewaySettings Config);
  ~Gateway();

  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Runs until the host has stopped after a signal. Returns ExitOk,
  /// ExitRequestsAborted if requests were cut off, or ExitFailed if an address
  /// could not be bound.
  int run();

private:
  struct Components;

  const GatewaySettings m_Settings;
  std::unique_ptr<Components> m_Components;
};

} // namespace monsoon

#endif
