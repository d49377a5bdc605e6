#ifndef MONSOON_ENTRY_OWNERSHIPMANAGER_H
#define MONSOON_ENTRY_OWNERSHIPMANAGER_H

#include "core/hostreport.h"
#include "core/routeindex.h"
#include "entry/targetregistry.h"
#include "keyowner/rangeassigner.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace monsoon {

/// Runs one RangeAssigner for each pool whose targets own keys, passes targets,
/// load and gossip on to them and collects what they have for the peers.
///
/// Assigners are shared with those who route by them. That of a removed pool
/// decides nothing any more, but goes on reading its table while it is in use.
class OwnershipManager {
public:
  OwnershipManager(std::string Host, AssignerTimes Times,
                   RangeAssigner::Parts Ports, const TargetRegistry &Targets);

  /// Called when the owners of some pool changed.
  void onChange(std::function<void()> Callback) {
    m_Changed = std::move(Callback);
  }

  /// Adds and removes pools according to the routing tables.
  void setRoutes(const RouteIndex &Routes);
  /// Passes on the targets. Called when the membership or the failure domains
  /// that are out have changed.
  void refreshTargets(const TargetMap &Known);
  /// Runs all periodic work; called several times a second.
  void tick();
  /// Updates a pool's capacity estimate from the typical time that a request
  /// takes and the ratio of all requests to those that this host knows of.
  void updateServiceTime(const std::string &Pool, Duration ServiceTime,
                         double RequestScale);
  /// Sets the number of entry hosts.
  void setHosts(size_t Count);
  /// Calls back with the topic and follower of each pool.
  void forEachFollower(const std::function<void(const std::string &Topic,
                                                TopicFollower &)> &Call);
  /// True if this host has recorded ownership changes that no report contains
  /// yet.
  bool hasUnreportedChanges() const;
  /// Adds the requests per key since the last call to a report.
  void addKeyCounts(HostReport &Report);
  /// Adds the ownership changes since the last call and the ended terms to a
  /// report.
  void addOwnerChanges(HostReport &Report);
  /// Applies the report of a peer.
  void applyReport(const HostReport &Report);
  /// The log has answered with this epoch; see RangeAssigner.
  void noteLogEpoch(uint64_t Epoch);
  /// Sets the names of the entry hosts; see RangeAssigner.
  void setHostNames(const std::set<std::string> &Names);
  /// A host has read the log at that moment, so the log was reachable then.
  void noteLogSeen(TimePoint At);

  /// The key ownership of a pool, or null.
  std::shared_ptr<RangeAssigner> find(const std::string &Pool) const;
  /// Names of the pools whose targets own keys.
  std::set<std::string> pools() const;
  /// Hosts that hold the lease of some pool, as far as this host has read.
  std::set<std::string> leaseHolders() const;
  /// True once the key table of every pool is known and has ranges.
  bool areOwnersKnown() const;

private:
  /// Passes on the pool's targets and their capacities.
  void passTargets(RangeAssigner &Ownership) const;
  /// Slots, weighted by the target's speed as measured by this host.
  double capacityOf(const TargetInfo &Info) const;

  const std::string m_Host;
  const AssignerTimes m_Times;
  const RangeAssigner::Parts m_Ports;
  const TargetRegistry &m_Targets;
  std::function<void()> m_Changed;
  TargetMap m_KnownTargets;
  /// The latest epoch of the log, and when this process learnt it.
  uint64_t m_LogEpoch = FirstLogEpoch;
  TimePoint m_LogEpochKnownAt{};
  double m_SpeedExponent = 1;
  /// Mean time to serve a request, in seconds.
  double m_ServiceSeconds = 0;
  std::map<std::string, std::shared_ptr<RangeAssigner>> m_ByPool;
};

} // namespace monsoon

#endif
