#include "entry/ownershipmanager.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoon {

namespace {

/// Slot utilization from which a target counts as overloaded.
constexpr double OverloadUtilization = 0.7;
/// Added to the exponent 1 of a target's speed in its capacity when no slot is
/// in use, so that fast targets get more than a proportional share of the keys.
constexpr double IdleSpeedExponent = 2;
/// Largest factor by which a target counts as faster or slower than ordinary.
constexpr double MaxSpeedRatio = 2;

} // namespace

OwnershipManager::OwnershipManager(std::string Host, AssignerTimes Times,
                                   RangeAssigner::Parts Ports,
                                   const TargetRegistry &Targets)
    : m_Host(std::move(Host)), m_Times(Times), m_Ports(Ports),
      m_Targets(Targets) {}

void OwnershipManager::setRoutes(const RouteIndex &Routes) {
  for (const Pool &Each : Routes.tables().pools()) {
    if (!Each.isOwnedByKey() || find(Each.name()))
      continue;
    auto &Ownership = m_ByPool[Each.name()];
    Ownership = std::make_shared<RangeAssigner>(
        m_Host, Each.name(), absl::StrCat("owners.", Each.name()), m_Times,
        m_Ports);
    Ownership->onChange([this]() {
      if (m_Changed)
        m_Changed();
    });
    Ownership->noteLogEpoch(m_LogEpoch, m_LogEpochKnownAt);
    passTargets(*Ownership);
  }
  for (auto It = m_ByPool.begin(); It != m_ByPool.end();) {
    const Pool *Found = Routes.tables().findPool(It->first);
    const bool Needed = Found && Found->isOwnedByKey();
    It = Needed ? std::next(It) : m_ByPool.erase(It);
  }
}

void OwnershipManager::refreshTargets(const TargetMap &Known) {
  m_KnownTargets = Known;
  for (const auto &[Pool, Ownership] : m_ByPool)
    passTargets(*Ownership);
}

void OwnershipManager::passTargets(RangeAssigner &Ownership) const {
  std::map<std::string, TargetInfo> Known;
  std::map<std::string, double> Usable;
  for (const auto &[Id, Info] : m_KnownTargets) {
    if (Info.m_Pool != Ownership.pool())
      continue;
    Known.emplace(Id, Info);
    const TargetNodePtr Node = m_Targets.find(Id);
    const bool IsLeaving = Node && Node->leavingSince();
    const bool MayOwn = !Info.m_Draining && !IsLeaving &&
                        !m_Targets.isDomainOut(Info.m_FailureDomain);
    if (MayOwn)
      Usable.emplace(Id, capacityOf(Info));
  }
  Ownership.setTargets(Known, Usable);
}

double OwnershipManager::capacityOf(const TargetInfo &Info) const {
  const TargetNodePtr Node = m_Targets.find(Info.m_Id);
  if (!Node)
    return Info.m_Slots;
  // Requests of a limited target take as many slots on average as their number
  // a second times their length.
  if (Node->requestLimit())
    return std::min<double>(Info.m_Slots,
                            *Node->requestLimit() * m_ServiceSeconds);
  const double Speed =
      std::clamp(1 / Node->load().baselineSlowdown(m_Ports.m_Clock.now()),
                 1 / MaxSpeedRatio, MaxSpeedRatio);
  return Info.m_Slots * std::pow(Speed, m_SpeedExponent);
}

void OwnershipManager::updateServiceTime(const std::string &Pool,
                                         Duration ServiceTime,
                                         double RequestScale) {
  const auto Ownership = find(Pool);
  if (!Ownership)
    return;
  const double Seconds = std::chrono::duration<double>(ServiceTime).count();
  m_ServiceSeconds = Seconds;
  // With free capacity, keys go to the targets that answer fastest; near
  // overload, to each target in proportion to its capacity.
  double Slots = 0;
  for (const auto &[Id, Info] : m_KnownTargets)
    if (Info.m_Pool == Pool)
      Slots += Info.m_Slots;
  const double Utilization =
      Ownership->requestRate() * RequestScale * Seconds / std::max(1.0, Slots);
  m_SpeedExponent =
      1 +
      IdleSpeedExponent * std::max(0.0, 1 - Utilization / OverloadUtilization);
  Ownership->setOverloadThreshold(OverloadUtilization / Seconds / RequestScale);
  passTargets(*Ownership);
}

void OwnershipManager::setHosts(size_t Count) {
  for (const auto &[Pool, Ownership] : m_ByPool)
    Ownership->setHosts(Count);
}

void OwnershipManager::forEachFollower(
    const std::function<void(const std::string &Topic, TopicFollower &)>
        &Call) {
  for (const auto &[Pool, Ownership] : m_ByPool)
    Call(Ownership->topic(), Ownership->follower());
}

bool OwnershipManager::hasUnreportedChanges() const {
  return std::any_of(m_ByPool.begin(), m_ByPool.end(), [](const auto &Each) {
    return Each.second->hasUpdates();
  });
}

void OwnershipManager::addKeyCounts(HostReport &Report) {
  for (const auto &[Pool, Ownership] : m_ByPool) {
    auto Counts = Ownership->takeRequestCounts();
    if (!Counts.empty())
      Report.m_KeyCounts.emplace(Pool, std::move(Counts));
  }
}

void OwnershipManager::addOwnerChanges(HostReport &Report) {
  for (const auto &[Pool, Ownership] : m_ByPool) {
    for (OwnerTableUpdate &Each : Ownership->takeUpdates())
      Report.m_OwnerUpdates.push_back(std::move(Each));
    if (const auto Ended = Ownership->endedTerm())
      Report.m_EndedTerms.emplace(Pool, *Ended);
    if (const auto Former = Ownership->formerOwners())
      Report.m_FormerOwners.emplace(Pool, *Former);
  }
}

void OwnershipManager::noteLogEpoch(uint64_t Epoch) {
  m_LogEpoch = Epoch;
  m_LogEpochKnownAt = m_Ports.m_Clock.now();
  for (const auto &[Pool, Ownership] : m_ByPool)
    Ownership->noteLogEpoch(m_LogEpoch, m_LogEpochKnownAt);
}

void OwnershipManager::setHostNames(const std::set<std::string> &Names) {
  for (const auto &[Pool, Ownership] : m_ByPool)
    Ownership->setHostNames(Names);
}

void OwnershipManager::noteLogSeen(TimePoint At) {
  for (const auto &[Pool, Ownership] : m_ByPool)
    Ownership->noteLogReachable(At);
}

void OwnershipManager::applyReport(const HostReport &Report) {
  for (const auto &[Pool, Counts] : Report.m_KeyCounts)
    if (const auto Ownership = find(Pool))
      for (const auto &[Key, Count] : Counts)
        Ownership->countPeerRequests(Key, Count);
  for (const OwnerTableUpdate &Each : Report.m_OwnerUpdates)
    if (const auto Ownership = find(Each.m_Pool))
      Ownership->applyUpdate(Each);
  for (const auto &[Pool, Ended] : Report.m_EndedTerms)
    if (const auto Ownership = find(Pool))
      Ownership->applyEndedTerm(Report.m_Host, Ended);
  for (const auto &[Pool, Former] : Report.m_FormerOwners)
    if (const auto Ownership = find(Pool))
      Ownership->applyFormerOwners(Report.m_Host, Former);
}

void OwnershipManager::tick() {
  for (const auto &[Pool, Ownership] : m_ByPool)
    Ownership->tick();
}

std::shared_ptr<RangeAssigner>
OwnershipManager::find(const std::string &Pool) const {
  const auto It = m_ByPool.find(Pool);
  return It == m_ByPool.end() ? nullptr : It->second;
}

std::set<std::string> OwnershipManager::pools() const {
  std::set<std::string> Result;
  for (const auto &[Pool, Ownership] : m_ByPool)
    Result.insert(Pool);
  return Result;
}

std::set<std::string> OwnershipManager::leaseHolders() const {
  std::set<std::string> Result;
  for (const auto &[Pool, Ownership] : m_ByPool)
    if (!Ownership->lease().m_Holder.empty())
      Result.insert(Ownership->lease().m_Holder);
  return Result;
}

bool OwnershipManager::areOwnersKnown() const {
  return std::all_of(m_ByPool.begin(), m_ByPool.end(), [](const auto &Each) {
    return Each.second->table() && !Each.second->table()->ranges().empty();
  });
}

} // namespace monsoon
