#ifndef MONSOON_MONSOONSTAND_SERVICE_H
#define MONSOON_MONSOONSTAND_SERVICE_H

#include "core/settings.h"
#include "monsoonstand/stopsignal.h"

#include <memory>

namespace monsoon {

/// The process of an entry host that runs without a platform. Creates the
/// adapters, the engine and the servers, runs until a stop signal, and then
/// drains: it accepts requests until the grace period ends and lets those in
/// flight finish. At the stop limit or a second signal it cuts off the rest.
class Service {
public:
  Service(const Settings &Config, const StopSignal &Signal);
  ~Service();

  /// Runs until the host has stopped after a signal. Returns ExitOk,
  /// ExitRequestsAborted if requests were cut off, or ExitFailed if a server
  /// could not start.
  int run();

private:
  struct Components;

  bool start();
  int stop();
  /// Stops accepting at GraceEnd, and waits until this host's decider roles are
  /// handed over and no request is active. False when a second signal or the
  /// limit comes first.
  bool drain(TimePoint GraceEnd, TimePoint Limit);

  const Settings m_Settings;
  const StopSignal &m_Signal;
  std::unique_ptr<Components> m_Components;
};

} // namespace monsoon

#endif
