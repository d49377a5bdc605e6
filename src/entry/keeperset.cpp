#include "entry/keeperset.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace monsoon {

KeeperSet::KeeperSet(std::string Host, KeeperTimes Times,
                     RangeKeeper::Parts Ports, const TargetRegistry &Targets)
    : m_Host(std::move(Host)), m_Times(Times), m_Ports(Ports),
      m_Targets(Targets) {}

void KeeperSet::setRoutes(const RouteIndex &Routes) {
  for (const Pool &Each : Routes.tables().pools()) {
    auto &Keeper = m_Keepers[Each.name()];
    if (!Each.isOwnedByKey() || Keeper)
      continue;
    Keeper = std::make_unique<RangeKeeper>(
        m_Host, Each.name(), absl::StrCat("owners.", Each.name()), m_Times,
        m_Ports);
    Keeper->onChange([this]() {
      if (m_Changed)
        m_Changed();
    });
    pass(*Keeper);
  }
  for (auto It = m_Keepers.begin(); It != m_Keepers.end();) {
    const Pool *Found = Routes.tables().findPool(It->first);
    const bool Needed = Found && Found->isOwnedByKey();
    It = Needed ? std::next(It) : m_Keepers.erase(It);
  }
}

void KeeperSet::targetsChanged(const TargetMap &Known) {
  m_Known = Known;
  for (const auto &[Pool, Keeper] : m_Keepers)
    pass(*Keeper);
}

void KeeperSet::pass(RangeKeeper &Keeper) const {
  std::map<std::string, TargetInfo> Known;
  std::map<std::string, double> Usable;
  for (const auto &[Id, Info] : m_Known) {
    if (Info.m_Pool != Keeper.pool())
      continue;
    Known.emplace(Id, Info);
    const bool MayOwn = !Info.m_Draining &&
                        !m_Targets.isDomainOut(Info.m_FailureDomain);
    if (MayOwn)
      Usable.emplace(Id, Info.m_Slots);
  }
  Keeper.setTargets(Known, Usable);
}

void KeeperSet::tick() {
  for (const auto &[Pool, Keeper] : m_Keepers)
    Keeper->tick();
}

void KeeperSet::resign() {
  for (const auto &[Pool, Keeper] : m_Keepers)
    Keeper->resign();
}

RangeKeeper *KeeperSet::find(const std::string &Pool) const {
  const auto It = m_Keepers.find(Pool);
  return It == m_Keepers.end() ? nullptr : It->second.get();
}

bool KeeperSet::areOwnersKnown() const {
  return std::all_of(m_Keepers.begin(), m_Keepers.end(), [](const auto &Each) {
    return Each.second->table() && !Each.second->table()->ranges().empty();
  });
}

bool KeeperSet::holdsAny() const {
  return std::any_of(
      m_Keepers.begin(), m_Keepers.end(),
      [](const auto &Each) { return Each.second->isHolder(); });
}

} // namespace monsoon
