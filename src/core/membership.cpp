#include "core/membership.h"

#include <utility>

namespace monsoon {

Membership::Membership(std::string Self, const std::set<std::string> &Peers,
                       TimePoint Now)
    : m_Self(std::move(Self)) {
  // A peer may be sending requests until it has been silent for GoneAfter.
  for (const std::string &Name : Peers)
    m_Peers[Name].m_LastKnownAlive = Now;
}

void Membership::updateConnectivity(TimePoint Now) {
  if (recentlyHeard(Now).size() * 2 < m_Peers.size())
    m_ConnectedSince.reset();
  else if (!m_ConnectedSince)
    m_ConnectedSince = Now;
}

void Membership::heard(const Hello &Message, TimePoint Now) {
  // Detect a gap in contact before this message ends it.
  updateConnectivity(Now);
  const auto It = m_Peers.find(Message.m_Name);
  if (It == m_Peers.end())
    return;
  Peer &Sender = It->second;
  Sender.m_Id = Message.m_Id;
  Sender.m_LastKnownAlive = Now;
  Sender.m_LastHeard = Now;
  Sender.m_WasHeard = true;
  Sender.m_ConfigVersion = Message.m_ConfigVersion;
  Sender.m_WarmthVersion = Message.m_WarmthVersion;
  for (const std::string &Name : Message.m_Heard) {
    const auto Other = m_Peers.find(Name);
    if (Other != m_Peers.end())
      Other->second.m_LastKnownAlive = Now;
  }
}

std::set<std::string> Membership::recentlyHeard(TimePoint Now) const {
  std::set<std::string> Result;
  for (const auto &[Name, Each] : m_Peers)
    if (Each.m_WasHeard && Now - Each.m_LastHeard < HeardWithin)
      Result.insert(Name);
  return Result;
}

std::set<HostId> Membership::liveIds(TimePoint Now) const {
  std::set<HostId> Result;
  for (const std::string &Name : recentlyHeard(Now))
    Result.insert(m_Peers.at(Name).m_Id);
  return Result;
}

HostShare Membership::share(TimePoint Now) {
  updateConnectivity(Now);
  std::set<std::string> Hosts;
  for (const auto &[Name, Each] : m_Peers)
    if (Now - Each.m_LastKnownAlive < GoneAfter)
      Hosts.insert(Name);
  const bool IsConnected =
      m_ConnectedSince && Now - *m_ConnectedSince >= RejoinDelay;
  return HostShare(m_Self, std::move(Hosts), IsConnected);
}

std::vector<std::string> Membership::peersWithNewWarmth() const {
  std::vector<std::string> Result;
  for (const auto &[Name, Each] : m_Peers)
    if (Each.m_WarmthVersion != Each.m_FetchedWarmthVersion)
      Result.push_back(Name);
  return Result;
}

void Membership::noteWarmthFetched(const std::string &Peer, uint64_t Version) {
  const auto It = m_Peers.find(Peer);
  if (It != m_Peers.end())
    It->second.m_FetchedWarmthVersion = Version;
}

uint64_t Membership::newestConfigVersion() const {
  uint64_t Newest = 0;
  for (const auto &[Name, Each] : m_Peers)
    Newest = std::max(Newest, Each.m_ConfigVersion);
  return Newest;
}

std::string Membership::newestConfigPeer() const {
  for (const auto &[Name, Each] : m_Peers)
    if (Each.m_ConfigVersion == newestConfigVersion())
      return Name;
  return {};
}

} // namespace monsoon
