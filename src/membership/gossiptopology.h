#ifndef MONSOON_MEMBERSHIP_GOSSIPTOPOLOGY_H
#define MONSOON_MEMBERSHIP_GOSSIPTOPOLOGY_H

#include "core/settings.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// Where an entry host receives gossip, its failure domain and its link.
struct GossipPeer {
  Endpoint m_Address;
  std::string m_Domain;
  /// Capacity of the host's network link in Mbit/s; 0 if unknown.
  double m_LinkMbps = 0;
};

/// Decides which hosts exchange gossip directly.
///
/// Few hosts form a mesh: everyone sends to everyone. Among many hosts, those
/// of one failure domain form a mesh, and two relays of each domain pass on
/// what the other domains report. A host then receives as many messages as its
/// domain has hosts, not as there are hosts at all. The relays are the hosts
/// with the fastest links, by their names among equals, so all hosts with the
/// same list choose the same ones; a wrong list costs freshness only.
class GossipTopology {
public:
  GossipTopology() = default;
  /// Peers are all known hosts, including Self.
  GossipTopology(const std::string &Self,
                 std::map<std::string, GossipPeer> Peers);

  /// True if all hosts exchange reports directly.
  bool isMesh() const { return m_IsMesh; }
  bool isKnown(const std::string &Host) const {
    return m_Peers.count(Host) > 0;
  }
  /// True if both hosts exchange reports directly.
  bool isNeighbor(const std::string &Host) const {
    return m_Neighbors.count(Host) > 0;
  }
  /// Hosts, without this one, that get every report of this host.
  const std::set<std::string> &neighbors() const { return m_Neighbors; }
  /// Relays of the other failure domains; empty in a mesh.
  const std::set<std::string> &otherRelays() const { return m_OtherRelays; }
  /// Relays of this host's failure domain in order of rank; empty in a mesh.
  const std::vector<std::string> &ownRelays() const { return m_OwnRelays; }
  bool isRelay() const { return m_IsRelay; }
  /// Number of known hosts without this one.
  size_t peerCount() const { return m_Peers.size(); }
  const std::string &domainOf(const std::string &Host) const {
    return m_Peers.at(Host).m_Domain;
  }
  const Endpoint &addressOf(const std::string &Host) const {
    return m_Peers.at(Host).m_Address;
  }

private:
  /// All known hosts without this one.
  std::map<std::string, GossipPeer> m_Peers;
  bool m_IsMesh = true;
  bool m_IsRelay = false;
  std::set<std::string> m_Neighbors;
  std::set<std::string> m_OtherRelays;
  std::vector<std::string> m_OwnRelays;
};

} // namespace monsoon

#endif
