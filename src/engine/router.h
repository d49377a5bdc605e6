#ifndef MONSOON_ENGINE_ROUTER_H
#define MONSOON_ENGINE_ROUTER_H

#include "core/configlog.h"
#include "core/retrybudget.h"
#include "core/routingview.h"
#include "core/targetbalancer.h"

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// State of one pool on this entry host. It is kept when a new version of the
/// configuration is installed.
struct PoolRuntime {
  explicit PoolRuntime(const Pool &Value)
      : m_Targets(Value), m_Retries(Value.policy().m_RetryPercent) {}

  TargetBalancer m_Targets;
  RetryBudget m_Retries;
  RoutingView m_View;
};

/// One version of the configuration, with the runtime state of its pools.
struct RoutingTable {
  ConfigVersion m_Version = 0;
  TablesPtr m_Tables;
  absl::flat_hash_map<std::string, std::shared_ptr<PoolRuntime>> m_Pools;

  std::shared_ptr<PoolRuntime> runtime(const std::string &Pool) const;
};

/// Holds the current configuration. Its version only ever increases. Safe for
/// concurrent use.
class Router {
public:
  /// Makes this configuration the current one; returns false, and changes
  /// nothing, if it is not newer.
  bool install(ConfigVersion Version, TablesPtr Value);

  /// The current configuration; version 0 and no tables before the first one.
  std::shared_ptr<const RoutingTable> current() const;

  void setShare(const HostShare &Value);
  void setLeaving(const std::set<std::string> &Names);

  /// The warm-up state of all targets, as known on this host.
  std::vector<TargetWarmth> warmth(TimePoint Now) const;
  void learnWarmth(const std::vector<TargetWarmth> &Updates, TimePoint Now);

private:
  mutable absl::Mutex m_Mutex;
  std::shared_ptr<const RoutingTable>
      m_Current ABSL_GUARDED_BY(m_Mutex) = std::make_shared<RoutingTable>();
  std::unique_ptr<HostShare> m_Share ABSL_GUARDED_BY(m_Mutex);
  std::set<std::string> m_Leaving ABSL_GUARDED_BY(m_Mutex);
};

} // namespace monsoon

#endif
