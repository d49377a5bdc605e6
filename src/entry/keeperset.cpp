#include "entry/keeperset.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoon {

namespace {

/// Part of its slots in use from which a target counts as crowded.
constexpr double CrowdedUse = 0.7;
/// How much more than in proportion fast targets are preferred when nothing is
/// in use.
constexpr double IdleSpeedExponent = 2;
/// Targets count as at most this much faster or slower than usual.
constexpr double MostSpeed = 2;

} // namespace

KeeperSet::KeeperSet(std::string Host, KeeperTimes Times,
                     RangeKeeper::Parts Ports, const TargetRegistry &Targets)
    : m_Host(std::move(Host)), m_Times(Times), m_Ports(Ports),
      m_Targets(Targets) {}

void KeeperSet::setRoutes(const RouteIndex &Routes) {
  for (const Pool &Each : Routes.tables().pools()) {
    if (!Each.isOwnedByKey() || find(Each.name()))
      continue;
    auto &Keeper = m_Keepers[Each.name()];
    Keeper = std::make_unique<RangeKeeper>(m_Host, Each.name(),
                                           absl::StrCat("owners.", Each.name()),
                                           m_Times, m_Ports);
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
    const bool MayOwn =
        !Info.m_Draining && !m_Targets.isDomainOut(Info.m_FailureDomain);
    if (MayOwn)
      Usable.emplace(Id, capacityOf(Info));
  }
  Keeper.setTargets(Known, Usable);
}

double KeeperSet::capacityOf(const TargetInfo &Info) const {
  const TargetNodePtr Node = m_Targets.find(Info.m_Id);
  if (!Node)
    return Info.m_Slots;
  const double Speed =
      std::clamp(1 / Node->load().steadySlowness(m_Ports.m_Clock.now()),
                 1 / MostSpeed, MostSpeed);
  return Info.m_Slots * std::pow(Speed, m_SpeedExponent);
}

void KeeperSet::setUsualTime(const std::string &Pool, Duration Usual,
                             double Unknown) {
  RangeKeeper *Keeper = find(Pool);
  if (!Keeper)
    return;
  const double Seconds = std::chrono::duration<double>(Usual).count();
  // With room to spare, keys belong where answers are fast; without, every
  // target gets what it can do.
  double Slots = 0;
  for (const auto &[Id, Info] : m_Known)
    if (Info.m_Pool == Pool)
      Slots += Info.m_Slots;
  const double Use =
      Keeper->requestRate() * Unknown * Seconds / std::max(1.0, Slots);
  m_SpeedExponent = 1 + IdleSpeedExponent * std::max(0.0, 1 - Use / CrowdedUse);
  Keeper->setCrowdedLoad(CrowdedUse / Seconds / Unknown);
  pass(*Keeper);
}

void KeeperSet::setHosts(size_t Count) {
  for (const auto &[Pool, Keeper] : m_Keepers)
    Keeper->setHosts(Count);
}

void KeeperSet::forEachFollower(
    const std::function<void(const std::string &Topic, TopicFollower &)>
        &Call) {
  for (const auto &[Pool, Keeper] : m_Keepers)
    Call(Keeper->topic(), Keeper->follower());
}

bool KeeperSet::hasNews() const {
  return std::any_of(m_Keepers.begin(), m_Keepers.end(),
                     [](const auto &Each) { return Each.second->hasNews(); });
}

void KeeperSet::fillCounts(HostReport &Report) {
  for (const auto &[Pool, Keeper] : m_Keepers) {
    auto Counts = Keeper->takeCounts();
    if (!Counts.empty())
      Report.m_KeyCounts.emplace(Pool, std::move(Counts));
  }
}

void KeeperSet::fillNews(HostReport &Report) {
  for (const auto &[Pool, Keeper] : m_Keepers) {
    for (OwnersNews &Each : Keeper->takeNews())
      Report.m_News.push_back(std::move(Each));
    if (const auto Ended = Keeper->endedTerm())
      Report.m_EndedTerms.emplace(Pool, *Ended);
  }
}

void KeeperSet::noteLogSeen(TimePoint At) {
  for (const auto &[Pool, Keeper] : m_Keepers)
    Keeper->noteLogSeen(At);
}

void KeeperSet::noteReport(const HostReport &Report) {
  for (const auto &[Pool, Counts] : Report.m_KeyCounts)
    if (RangeKeeper *Keeper = find(Pool))
      for (const auto &[Key, Count] : Counts)
        Keeper->noteRequestsElsewhere(Key, Count);
  for (const OwnersNews &Each : Report.m_News)
    if (RangeKeeper *Keeper = find(Each.m_Pool))
      Keeper->noteNews(Each);
  for (const auto &[Pool, Ended] : Report.m_EndedTerms)
    if (RangeKeeper *Keeper = find(Pool))
      Keeper->noteEndedTerm(Report.m_Host, Ended);
}

void KeeperSet::tick() {
  for (const auto &[Pool, Keeper] : m_Keepers)
    Keeper->tick();
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

} // namespace monsoon
