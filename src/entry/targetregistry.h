#ifndef MONSOON_ENTRY_TARGETREGISTRY_H
#define MONSOON_ENTRY_TARGETREGISTRY_H

#include "entry/targetnode.h"
#include "ports/eventsink.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// The targets of all pools with the state that this host keeps of each, and
/// the failure domains that operators have taken out. Follows the membership.
/// Logs target_joined, target_draining, target_leaving, target_gone, domain_out
/// and domain_back.
class TargetRegistry {
public:
  using LinkPoolFactory =
      std::function<std::unique_ptr<LinkPool>(const Endpoint &)>;

  TargetRegistry(const Clock &Time, LinkPoolFactory MakeLinkPool,
                 EventSink &Events);

  /// Replaces all targets. One with a new incarnation starts with fresh state.
  void setTargets(const TargetMap &Targets);
  /// Notes that an answer of this target states that it is leaving.
  void noteLeaving(TargetNode &Node);
  /// Takes a failure domain out or back. Targets of a domain that is back are
  /// not used before their next heartbeat.
  void setDomainOut(const std::string &Domain, bool Out);
  /// Replaces the set of failure domains that are out.
  void setDomainsOut(const std::set<std::string> &Domains);

  /// The target with that id, or null.
  TargetNodePtr find(const std::string &Id) const;
  /// All targets of a pool, including those that are not isUsable().
  const std::vector<TargetNodePtr> &findByPool(const std::string &Pool) const;

  /// Number of requests that this host has in flight, by target id.
  std::map<std::string, int> inFlight() const;
  /// Updates the load from peers: requests in flight and queued, by target id.
  /// Coverage is the fraction of the peers that reported; the counts are scaled
  /// up by it, and ignored if it is too small.
  void updatePeerLoad(const std::map<std::string, int> &InFlight,
                      const std::map<std::string, int> &Waiting,
                      double Coverage);

  /// True while heartbeats of a domain that has just come back are expected,
  /// and some of its targets are out of use until then. A target that is silent
  /// for longer may be gone.
  bool expectsHeartbeats() const;
  /// True if the target may get new requests: it is not draining, its failure
  /// domain is not out, and no heartbeat is awaited.
  bool isUsable(const TargetNode &Node) const;
  bool isDomainOut(const std::string &Domain) const {
    return m_DomainsOut.count(Domain) > 0;
  }

private:
  const Clock &m_Clock;
  LinkPoolFactory m_MakeLinkPool;
  EventSink &m_Events;
  std::map<std::string, TargetNodePtr> m_Nodes;
  std::map<std::string, std::vector<TargetNodePtr>> m_ByPool;
  std::set<std::string> m_DomainsOut;
  /// When a failure domain last came back.
  TimePoint m_DomainBackAt{};
};

} // namespace monsoon

#endif
