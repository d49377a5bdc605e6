#ifndef MONSOON_MONSOONSTAND_GATEWAY_H
#define MONSOON_MONSOONSTAND_GATEWAY_H

#include "core/gatewaysettings.h"

#include <memory>

namespace monsoon {

/// An entry host on a platform: one event loop that serves callers, follows
/// the platform's log and keeps keys assigned.
class Gateway {
public:
  explicit Gateway(GatewaySettings Config);
  ~Gateway();

  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Runs until a stop signal; returns the exit code.
  int run();

private:
  struct Parts;

  const GatewaySettings m_Settings;
  std::unique_ptr<Parts> m_Parts;
};

} // namespace monsoon

#endif
