#include "engine/router.h"

#include <utility>

namespace monsoon {

std::shared_ptr<PoolRuntime>
RoutingTable::runtime(const std::string &Pool) const {
  const auto It = m_Pools.find(Pool);
  return It == m_Pools.end() ? nullptr : It->second;
}

bool Router::install(ConfigVersion Version, TablesPtr Value) {
  const absl::MutexLock Lock(&m_Mutex);
  if (Version <= m_Current->m_Version)
    return false;
  auto Next = std::make_shared<RoutingTable>();
  Next->m_Version = Version;
  Next->m_Tables = std::move(Value);
  for (const Pool &Each : Next->m_Tables->pools()) {
    auto Runtime = m_Current->runtime(Each.name());
    if (Runtime) {
      Runtime->m_Targets.setPool(Each);
      Runtime->m_Retries.setPercent(Each.policy().m_RetryPercent);
    } else {
      Runtime = std::make_shared<PoolRuntime>(Each);
      if (m_Share)
        Runtime->m_Targets.setShare(*m_Share);
      Runtime->m_Targets.setLeaving(m_Leaving);
    }
    Next->m_Pools[Each.name()] = std::move(Runtime);
  }
  m_Current = std::move(Next);
  return true;
}

std::shared_ptr<const RoutingTable> Router::current() const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  return m_Current;
}

void Router::setShare(const HostShare &Value) {
  const absl::MutexLock Lock(&m_Mutex);
  m_Share = std::make_unique<HostShare>(Value);
  for (const auto &[Name, Runtime] : m_Current->m_Pools)
    Runtime->m_Targets.setShare(Value);
}

void Router::setLeaving(const std::set<std::string> &Names) {
  const absl::MutexLock Lock(&m_Mutex);
  m_Leaving = Names;
  for (const auto &[Name, Runtime] : m_Current->m_Pools)
    Runtime->m_Targets.setLeaving(Names);
}

std::vector<TargetWarmth> Router::warmth(TimePoint Now) const {
  std::vector<TargetWarmth> Result;
  for (const auto &[Name, Runtime] : current()->m_Pools)
    for (TargetWarmth &Each : Runtime->m_Targets.warmth(Now))
      Result.push_back(std::move(Each));
  return Result;
}

void Router::learnWarmth(const std::vector<TargetWarmth> &Updates,
                         TimePoint Now) {
  const auto Table = current();
  for (const TargetWarmth &Each : Updates)
    if (const auto Runtime = Table->runtime(Each.m_Pool))
      Runtime->m_Targets.learnWarmth(Each, Now);
}

} // namespace monsoon
