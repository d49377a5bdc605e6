#include "entry/targetregistry.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Least fraction of the peers that must have reported. With fewer reports, the
/// load reports in a target's own answers are the better estimate.
constexpr double MinCoverage = 0.5;
/// For so long after a failure domain is back its targets are watched closely.
constexpr Milliseconds DomainBackWatch{2500};
/// Enough to move the keys of a leaving owner, and half of the time for which
/// targets serve after they have said that they leave.
constexpr Milliseconds LeavingOwnerTime{1500};

std::string millisecondsText(Duration Value) {
  return absl::StrCat(std::chrono::duration_cast<Milliseconds>(Value).count());
}

} // namespace

TargetRegistry::TargetRegistry(const Clock &Time, LinkPoolFactory MakeLinkPool,
                               EventSink &Events)
    : m_Clock(Time), m_MakeLinkPool(std::move(MakeLinkPool)), m_Events(Events) {
}

void TargetRegistry::noteLeave(const char *Event, TargetNode &Node,
                               const MembershipOrigin &Origin) {
  const TimePoint Now = m_Clock.now();
  Node.noteLeave(Now, Origin.m_Source);
  EventSink::Details Fields{
      {"target", Node.info().m_Id},
      {"pool", Node.info().m_Pool},
      {"source", Origin.m_Source},
      {"membership_age_ms", millisecondsText(Origin.m_Age)}};
  if (Node.pace().lastSent() != TimePoint{})
    Fields.emplace_back("last_sent_ms",
                        millisecondsText(Now - Node.pace().lastSent()));
  m_Events.event(Severity::Info, Event, Fields);
}

void TargetRegistry::setTargets(const TargetMap &Targets,
                                const MembershipOrigin &Origin) {
  const TimePoint Now = m_Clock.now();
  for (auto It = m_Nodes.begin(); It != m_Nodes.end();) {
    if (Targets.count(It->first) > 0) {
      ++It;
      continue;
    }
    noteLeave("target_gone", *It->second, Origin);
    It = m_Nodes.erase(It);
  }
  for (const auto &[Id, Info] : Targets) {
    TargetNodePtr &Node = m_Nodes[Id];
    if (Node && Node->info().isSameIncarnation(Info)) {
      if (Info.m_Draining && !Node->info().m_Draining)
        noteLeave("target_draining", *Node, Origin);
      Node->update(Info, Now);
      continue;
    }
    Node =
        std::make_shared<TargetNode>(Info, Now, m_MakeLinkPool(Info.m_Address));
    Node->setLeavingSince(m_Notices.leavingSince(Id, Info.m_Incarnation));
    Node->setRequestLimit(m_Notices.limitOf(Id, Info.m_Incarnation));
    m_Events.event(
        Severity::Info, "target_joined",
        {{"target", Id},
         {"pool", Info.m_Pool},
         {"warmup_ms", absl::StrCat(std::chrono::duration_cast<Milliseconds>(
                                        Info.m_WarmupLeft)
                                        .count())}});
  }
  m_Notices.forgetUnknown(
      Now, [this](const std::string &Id) { return m_Nodes.count(Id) > 0; });
  m_ByPool.clear();
  for (const auto &[Id, Node] : m_Nodes)
    m_ByPool[Node->info().m_Pool].push_back(Node);
}

void TargetRegistry::noteAnswer(const TargetInfo &From,
                                const AnswerMetadata &Facts, TimePoint SentAt) {
  // Another target may have sent it.
  if (Facts.m_IsMisdirected)
    return;
  if (Facts.m_IsLeaving && noteLeaving(From.m_Id, From.m_Incarnation, "") &&
      m_OnLeaving)
    m_OnLeaving();
  if (!Facts.m_RequestLimit.m_IsUnreadable)
    noteLimit(From, Facts.m_RequestLimit.m_PerSecond, SentAt);
}

void TargetRegistry::noteLimit(const TargetInfo &From,
                               std::optional<double> PerSecond,
                               TimePoint SentAt) {
  if (!m_Notices.noteLimit(m_Clock.now(), From.m_Id, From.m_Incarnation,
                           PerSecond, SentAt))
    return;
  const TargetNodePtr Node = find(From.m_Id);
  if (Node && Node->info().m_Incarnation == From.m_Incarnation)
    Node->setRequestLimit(PerSecond);
  EventSink::Details Fields{{"target", From.m_Id},
                            {"pool", From.m_Pool},
                            {"incarnation", absl::StrCat(From.m_Incarnation)}};
  if (PerSecond)
    Fields.emplace_back("per_s", absl::StrCat(*PerSecond));
  m_Events.event(Severity::Info,
                 PerSecond ? "target_limited" : "target_unlimited", Fields);
}

bool TargetRegistry::noteLeaving(const std::string &Id, int64_t Incarnation,
                                 const std::string &Peer) {
  const TimePoint Now = m_Clock.now();
  if (!m_Notices.noteLeaving(Now, Id, Incarnation, !Peer.empty()))
    return false;
  const TargetNodePtr Node = find(Id);
  if (Node && Node->info().m_Incarnation == Incarnation) {
    Node->setLeavingSince(Now);
    Node->noteLeave(Now, Peer.empty() ? "answer" : "peer");
  }
  m_Events.event(
      Severity::Info, "target_leaving",
      {{"target", Id},
       {"pool", Node ? Node->info().m_Pool : ""},
       {"incarnation", absl::StrCat(Incarnation)},
       {"source", Peer.empty() ? "answer" : Peer},
       {"draining", Node && Node->info().m_Draining ? "yes" : "no"}});
  return true;
}

std::map<std::string, int64_t> TargetRegistry::leavingToReport() const {
  std::map<std::string, int64_t> Result =
      m_Notices.leavingToReport(m_Clock.now());
  for (auto It = Result.begin(); It != Result.end();) {
    const TargetNodePtr Node = find(It->first);
    It = Node && Node->info().m_Draining ? Result.erase(It) : std::next(It);
  }
  return Result;
}

void TargetRegistry::setDomainOut(const std::string &Domain, bool Out) {
  const bool WasOut = isDomainOut(Domain);
  if (Out == WasOut)
    return;
  m_Events.event(Severity::Info, Out ? "domain_out" : "domain_back",
                 {{"domain", Domain}});
  if (Out) {
    m_DomainsOut.insert(Domain);
    return;
  }
  m_DomainsOut.erase(Domain);
  m_DomainBackAt = m_Clock.now();
  for (const auto &[Id, Node] : m_Nodes)
    if (Node->info().m_FailureDomain == Domain)
      Node->invalidateWarmup(m_DomainBackAt);
}

void TargetRegistry::setDomainsOut(const std::set<std::string> &Domains) {
  const std::set<std::string> Before = m_DomainsOut;
  for (const std::string &Each : Before)
    if (Domains.count(Each) == 0)
      setDomainOut(Each, false);
  for (const std::string &Each : Domains)
    setDomainOut(Each, true);
}

TargetNodePtr TargetRegistry::find(const std::string &Id) const {
  const auto It = m_Nodes.find(Id);
  return It == m_Nodes.end() ? nullptr : It->second;
}

const std::vector<TargetNodePtr> &
TargetRegistry::findByPool(const std::string &Pool) const {
  static const std::vector<TargetNodePtr> None;
  const auto Found = m_ByPool.find(Pool);
  return Found == m_ByPool.end() ? None : Found->second;
}

std::map<std::string, int> TargetRegistry::inFlight() const {
  std::map<std::string, int> Result;
  for (const auto &[Id, Node] : m_Nodes)
    if (Node->load().inFlight() > 0)
      Result.emplace(Id, Node->load().inFlight());
  return Result;
}

void TargetRegistry::updatePeerLoad(const std::map<std::string, int> &InFlight,
                                    const std::map<std::string, int> &Waiting,
                                    double Coverage) {
  // Peers without a report are assumed to have as much load as the others.
  if (Coverage < MinCoverage)
    return;
  const auto Scaled = [Coverage](const std::map<std::string, int> &Counts,
                                 const std::string &Id) {
    const auto Found = Counts.find(Id);
    return Found == Counts.end() ? 0 : Found->second / Coverage;
  };
  const TimePoint Now = m_Clock.now();
  for (const auto &[Id, Node] : m_Nodes)
    Node->load().setPeerLoad(Now, Scaled(InFlight, Id), Scaled(Waiting, Id));
}

void TargetRegistry::confirmWarmup(TimePoint KnownAt) {
  if (m_DomainBackAt == TimePoint{})
    return;
  for (const auto &[Id, Node] : m_Nodes)
    Node->confirmWarmup(KnownAt);
}

bool TargetRegistry::expectsHeartbeats() const {
  if (m_DomainBackAt == TimePoint{} ||
      m_Clock.now() - m_DomainBackAt >= DomainBackWatch)
    return false;
  return std::any_of(m_Nodes.begin(), m_Nodes.end(), [](const auto &Each) {
    return Each.second->isWarmupUnknown();
  });
}

bool TargetRegistry::isUsable(const TargetNode &Node) const {
  return isInService(Node) && !Node.leavingSince();
}

bool TargetRegistry::isUsableOwner(const TargetNode &Node) const {
  return isInService(Node) &&
         (!Node.leavingSince() ||
          m_Clock.now() - *Node.leavingSince() < LeavingOwnerTime);
}

bool TargetRegistry::hasUsable(const std::string &Pool) const {
  const auto &Nodes = findByPool(Pool);
  return std::any_of(Nodes.begin(), Nodes.end(),
                     [this](const auto &Each) { return isUsable(*Each); });
}

bool TargetRegistry::isInService(const TargetNode &Node) const {
  return !Node.info().m_Draining && !isDomainOut(Node.info().m_FailureDomain);
}

} // namespace monsoon
