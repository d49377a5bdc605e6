#ifndef MONSOON_PORTS_METRICSSINK_H
#define MONSOON_PORTS_METRICSSINK_H

#include "core/errorkind.h"
#include "core/tables.h"

#include <optional>
#include <string>

namespace monsoon {

/// One finished request, as the metrics and the request log see it.
struct RequestReport {
  std::string m_RequestId;
  std::string m_Route;
  std::string m_Pool;
  std::string m_Target;
  std::string m_Tenant;
  TrafficClass m_Class = TrafficClass::Lookup;
  int m_Status = 0;
  /// Empty when a target's answer was passed on.
  std::optional<ErrorKind> m_Error;
  /// Why it ended as it did; empty when the error kind says it all.
  std::string m_Reason;
  /// Version of the tables by which it was handled.
  int64_t m_ConfigVersion = 0;
  int m_Attempts = 0;
  Duration m_Elapsed{};
  /// Time before it was sent to the last target.
  Duration m_Waited{};
};

/// Takes a report of each finished request.
class MetricsSink {
public:
  virtual ~MetricsSink() = default;
  virtual void requestDone(const RequestReport &Report) = 0;
};

} // namespace monsoon

#endif
