#include "membership/gossiptopology.h"

#include "core/keyspace.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace monsoon {

namespace {

/// Largest number of hosts that form one mesh. With more, the reports of all
/// peers cost a host more than relaying does.
constexpr size_t MaxMeshHosts = 12;
/// Relays of a failure domain; the second takes over when the first is lost.
constexpr size_t RelaysPerDomain = 2;

std::vector<std::string>
chooseRelays(std::vector<std::string> Hosts,
             const std::map<std::string, GossipPeer> &Peers) {
  const auto Order = [&Peers](const std::string &Host) {
    return std::tuple(-Peers.at(Host).m_LinkMbps, stableHash(Host), Host);
  };
  const auto IsBefore = [&Order](const std::string &A, const std::string &B) {
    return Order(A) < Order(B);
  };
  const size_t Count = std::min(RelaysPerDomain, Hosts.size());
  const auto Middle =
      Hosts.begin() +
      static_cast<std::vector<std::string>::difference_type>(Count);
  std::partial_sort(Hosts.begin(), Middle, Hosts.end(), IsBefore);
  Hosts.resize(Count);
  return Hosts;
}

} // namespace

GossipTopology::GossipTopology(const std::string &Self,
                               std::map<std::string, GossipPeer> Peers)
    : m_Peers(std::move(Peers)) {
  const auto Own = m_Peers.find(Self);
  const std::string OwnDomain =
      Own == m_Peers.end() ? std::string() : Own->second.m_Domain;
  std::map<std::string, std::vector<std::string>> ByDomain;
  for (const auto &[Host, Each] : m_Peers)
    ByDomain[Each.m_Domain].push_back(Host);
  m_IsMesh = m_Peers.size() <= MaxMeshHosts || ByDomain.size() < 2;
  const std::map<std::string, GossipPeer> All = m_Peers;
  m_Peers.erase(Self);
  for (const auto &[Host, Each] : m_Peers)
    if (m_IsMesh || Each.m_Domain == OwnDomain)
      m_Neighbors.insert(Host);
  if (m_IsMesh)
    return;
  for (auto &[Domain, Hosts] : ByDomain) {
    const std::vector<std::string> Relays = chooseRelays(std::move(Hosts), All);
    if (Domain == OwnDomain)
      m_OwnRelays = Relays;
    else
      m_OtherRelays.insert(Relays.begin(), Relays.end());
  }
  m_IsRelay = std::find(m_OwnRelays.begin(), m_OwnRelays.end(), Self) !=
              m_OwnRelays.end();
}

} // namespace monsoon
