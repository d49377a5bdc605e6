#ifndef MONSOON_TELEMETRY_REQUESTMETRICS_H
#define MONSOON_TELEMETRY_REQUESTMETRICS_H

#include "ports/clock.h"
#include "ports/metricssink.h"
#include "telemetry/linebudget.h"

#include "absl/synchronization/mutex.h"

#include <boost/histogram.hpp>

#include <array>
#include <map>
#include <string>
#include <tuple>

namespace monsoon {

/// Counts finished requests in latency histograms, one per route, class, tenant
/// and outcome, and writes a rate-limited log line for each. The number of
/// distinct tenants is bounded. Safe for concurrent use.
class RequestMetrics : public MetricsSink {
public:
  /// Tenants of a shard beyond this number are counted together as "other".
  static constexpr size_t MaxTenants = 64;

  explicit RequestMetrics(const Clock &Time);

  void requestDone(const RequestReport &Report) override;

  /// Returns all histograms in the Prometheus text format.
  std::string render() const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram =
      decltype(boost::histogram::make_histogram(std::declval<Axis>()));
  /// Route, class, tenant, outcome.
  using SeriesKey =
      std::tuple<std::string, std::string, std::string, std::string>;
  struct Series {
    Histogram m_Histogram;
    double m_SumSeconds = 0;
  };
  struct Shard {
    mutable absl::Mutex m_Mutex;
    std::map<SeriesKey, Series> m_Series ABSL_GUARDED_BY(m_Mutex);
    std::map<std::string, int> m_Tenants ABSL_GUARDED_BY(m_Mutex);
  };

  static Histogram newHistogram();
  /// Writes the log line of a request: at debug level if it succeeded with at
  /// most one attempt by a confirmed configuration, else at info level.
  void logRequest(const RequestReport &Report);
  /// Returns the series of all shards, added up.
  std::map<SeriesKey, Series> merged() const;

  const Clock &m_Clock;
  absl::Mutex m_BudgetMutex;
  LineBudget m_Budget ABSL_GUARDED_BY(m_BudgetMutex);

  // Threads are spread over the shards to reduce lock contention.
  static constexpr size_t ShardCount = 16;
  std::array<Shard, ShardCount> m_Shards;
};

} // namespace monsoon

#endif
