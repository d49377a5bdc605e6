#ifndef MONSOON_MONSOONSTAND_ADMINHANDLER_H
#define MONSOON_MONSOONSTAND_ADMINHANDLER_H

#include "engine/entryhost.h"
#include "telemetry/requestmetrics.h"

#include <httplib.h>

namespace monsoon {

/// Serves the admin port for operators and the balancer: /healthz, /readyz,
/// /metrics and /status. Any other path gets a 404.
class AdminHandler {
public:
  AdminHandler(const EntryHost &Host, const RequestMetrics &Metrics)
      : m_Host(Host), m_Metrics(Metrics) {}

  void handle(const httplib::Request &Request,
              httplib::Response &Response) const;

private:
  const EntryHost &m_Host;
  const RequestMetrics &m_Metrics;
};

} // namespace monsoon

#endif
