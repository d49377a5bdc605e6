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

/// The targets of all pools as this host uses them, kept in step with the
/// membership and with the failure domains that operators have taken out.
class TargetRegistry {
public:
  using LinkMaker = std::function<std::unique_ptr<LinkPool>(const Endpoint &)>;

  TargetRegistry(const Clock &Time, LinkMaker Links, EventSink &Events);

  void setTargets(const TargetMap &Targets);
  void setDomainOut(const std::string &Domain, bool Out);
  /// Replaces all domains that are out.
  void setDomainsOut(const std::set<std::string> &Domains);

  /// The target with that id, or null.
  TargetNodePtr find(const std::string &Id) const;
  /// The targets of a pool, those that may not be used included.
  std::vector<TargetNodePtr> ofPool(const std::string &Pool) const;

  /// Requests that this host has in flight, by target.
  std::map<std::string, int> inFlight() const;
  /// Passes on what the other hosts have in flight and waiting, by target.
  void noteOthers(const std::map<std::string, int> &InFlight,
                  const std::map<std::string, int> &Waiting, double Coverage);

  /// True while some target's next entry is waited for.
  bool isWarmthDoubted() const;
  /// True if new work may go to the target at all.
  bool isUsable(const TargetNode &Node) const;
  bool isDomainOut(const std::string &Domain) const {
    return m_DomainsOut.count(Domain) > 0;
  }

private:
  const Clock &m_Clock;
  LinkMaker m_MakeLinks;
  EventSink &m_Events;
  std::map<std::string, TargetNodePtr> m_Nodes;
  std::set<std::string> m_DomainsOut;
};

} // namespace monsoon

#endif
