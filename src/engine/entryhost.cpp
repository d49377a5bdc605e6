#include "engine/entryhost.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

constexpr Milliseconds HelloInterval{250};
constexpr Milliseconds HostListInterval{1000};
constexpr Milliseconds ConfigSnapshotInterval{60'000};
constexpr int HelloWorkers = 8;
constexpr size_t HelloQueueLimit = 64;
/// Percentage of the workers that may serve requests; the rest stay free to
/// reject excess requests quickly.
constexpr int AdmittedPercent = 75;

std::set<std::string> peerNames(const Settings &Config) {
  std::set<std::string> Result;
  for (const PeerSettings &Each : Config.m_Peers)
    Result.insert(Each.m_Name);
  return Result;
}

/// Position of this host by name among the configured peers; staggers the
/// writing of snapshots.
int rankOf(const Settings &Config) {
  const auto Names = peerNames(Config);
  return static_cast<int>(
      std::distance(Names.begin(), Names.lower_bound(Config.m_Host)));
}

} // namespace

EntryHost::EntryHost(const Settings &Config, HostId Self,
                     const EntryHostPorts &Ports)
    : m_Settings(Config), m_Self(std::move(Self)), m_Ports(Ports),
      m_Admission(
          std::max(1, Config.m_Limits.m_Workers * AdmittedPercent / 100)),
      m_Requests(m_Self, m_Routes, m_Admission, Ports.m_Targets, Ports.m_Time,
                 Ports.m_Metrics),
      m_Follower(Ports.m_Config, m_Routes, Ports.m_Time, ConfigSnapshotInterval,
                 rankOf(Config)),
      m_Ownership(
          m_Self, OwnershipTiming(),
          {Ports.m_Ownership, Ports.m_Grants, Ports.m_Peers, Ports.m_Time}),
      m_Membership(Config.m_Host, peerNames(Config), Ports.m_Time.now()),
      m_WarmthVersion(stableHash(m_Self) | 1),
      m_HelloWorkers(HelloWorkers, HelloQueueLimit),
      m_LogTask(Config.m_LogPoll, [this] { followLog(); }),
      m_PeerTask(HelloInterval, [this] { syncWithPeers(); }),
      m_HostListTask(HostListInterval, [this] { readHostList(); }) {}

EntryHost::~EntryHost() {
  m_HostListTask.stop();
  m_PeerTask.stop();
  m_LogTask.stop();
  m_HelloWorkers.stop();
}

void EntryHost::followLog() {
  m_Follower.poll();
  std::set<std::string> Leaving;
  {
    const absl::MutexLock Lock(&m_Mutex);
    Leaving = m_Leaving;
  }
  m_Routes.setLeaving(Leaving);
  m_Ownership.setTable(m_Routes.current(), Leaving);
}

Hello EntryHost::ownHello() const {
  Hello Message;
  Message.m_Name = m_Settings.m_Host;
  Message.m_Id = m_Self;
  Message.m_ConfigVersion = m_Routes.current()->m_Version;
  Message.m_Stopping = m_Stopping;
  const absl::MutexLock Lock(&m_Mutex);
  Message.m_WarmthVersion = m_WarmthVersion;
  Message.m_Heard = m_Membership.recentlyHeard(m_Ports.m_Time.now());
  return Message;
}

void EntryHost::recordHello(const Hello &Message) {
  const absl::MutexLock Lock(&m_Mutex);
  m_Membership.heard(Message, m_Ports.m_Time.now());
}

void EntryHost::exchangeHello(const std::string &Peer) {
  const auto Reply = m_Ports.m_Peers.hello(Peer, ownHello());
  if (Reply)
    recordHello(Reply.value());
}

void EntryHost::syncWithPeers() {
  for (const PeerSettings &Each : m_Settings.m_Peers)
    m_HelloWorkers.tryRun([this, Name = Each.m_Name] { exchangeHello(Name); });
  const TimePoint Now = m_Ports.m_Time.now();
  std::optional<HostShare> Share;
  std::set<HostId> Live;
  {
    const absl::MutexLock Lock(&m_Mutex);
    Share = m_Membership.share(Now);
    Live = m_Membership.liveIds(Now);
  }
  m_Routes.setShare(*Share);
  m_Ownership.setHosts(Live);
  fetchNewerConfig();
  updateOwnWarmth();
  fetchWarmth();
}

void EntryHost::updateOwnWarmth() {
  auto Warmth = m_Routes.warmth(m_Ports.m_Time.now());
  const absl::MutexLock Lock(&m_Mutex);
  if (Warmth == m_Warmth)
    return;
  m_Warmth = std::move(Warmth);
  ++m_WarmthVersion;
}

void EntryHost::fetchWarmth() {
  std::vector<std::string> Peers;
  {
    const absl::MutexLock Lock(&m_Mutex);
    Peers = m_Membership.peersWithNewWarmth();
  }
  for (const std::string &Peer : Peers) {
    const auto Update = m_Ports.m_Peers.fetchWarmth(Peer);
    if (!Update)
      continue;
    m_Routes.learnWarmth(Update.value().m_Targets, m_Ports.m_Time.now());
    const absl::MutexLock Lock(&m_Mutex);
    m_Membership.noteWarmthFetched(Peer, Update.value().m_Version);
  }
}

void EntryHost::fetchNewerConfig() {
  const ConfigVersion Own = m_Routes.current()->m_Version;
  std::string Holder;
  {
    const absl::MutexLock Lock(&m_Mutex);
    if (m_Membership.newestConfigVersion() <= Own)
      return;
    Holder = m_Membership.newestConfigPeer();
  }
  const auto Newer = m_Ports.m_Peers.fetchConfig(Holder);
  if (Newer && Newer.value().m_Tables)
    m_Routes.install(Newer.value().m_Version, Newer.value().m_Tables);
}

void EntryHost::readHostList() {
  auto Leaving = m_Ports.m_Hosts.leaving();
  if (!Leaving)
    return;
  const absl::MutexLock Lock(&m_Mutex);
  m_Leaving = std::move(Leaving.value());
}

Hello EntryHost::onHello(const Hello &Message) {
  recordHello(Message);
  return ownHello();
}

Outcome<HeartbeatReply> EntryHost::onHeartbeat(const Heartbeat &Message) {
  return m_Ownership.onHeartbeat(Message);
}

Outcome<CanvassReply> EntryHost::onCanvass(const Canvass &Message) {
  return m_Ownership.onCanvass(Message);
}

PeerConfig EntryHost::onFetchConfig() {
  const auto Table = m_Routes.current();
  return {Table->m_Version, Table->m_Tables};
}

PeerWarmth EntryHost::onFetchWarmth() {
  PeerWarmth Result;
  Result.m_Targets = m_Routes.warmth(m_Ports.m_Time.now());
  const absl::MutexLock Lock(&m_Mutex);
  Result.m_Version = m_WarmthVersion;
  return Result;
}

bool EntryHost::isReady() const {
  return !m_Stopping && m_Routes.current()->m_Version != 0;
}

void EntryHost::beginStop() { m_Stopping = true; }

EntryHostReport EntryHost::report() const {
  const TimePoint Now = m_Ports.m_Time.now();
  EntryHostReport Result;
  Result.m_Id = m_Self;
  Result.m_FailureDomain = m_Settings.m_FailureDomain;
  const auto Table = m_Routes.current();
  Result.m_ConfigVersion = Table->m_Version;
  Result.m_Follower = m_Follower.report();
  Result.m_Groups = m_Ownership.report();
  Result.m_ActiveRequests = m_Admission.active();
  if (Table->m_Tables)
    for (const Pool &Each : Table->m_Tables->pools())
      Result.m_Pools.emplace_back(
          Each.name(), Table->runtime(Each.name())->m_Targets.report(Now));
  const absl::MutexLock Lock(&m_Mutex);
  Result.m_HostsHeard = m_Membership.recentlyHeard(Now);
  Result.m_Leaving = m_Leaving;
  return Result;
}

} // namespace monsoon
