#ifndef MONSOON_ENTRY_KEEPERSET_H
#define MONSOON_ENTRY_KEEPERSET_H

#include "core/hostreport.h"
#include "core/routeindex.h"
#include "entry/targetregistry.h"
#include "keyowner/rangekeeper.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace monsoon {

/// The keepers of all pools whose targets own keys.
class KeeperSet {
public:
  KeeperSet(std::string Host, KeeperTimes Times, RangeKeeper::Parts Ports,
            const TargetRegistry &Targets);

  /// Called when the owners of some pool changed.
  void onChange(std::function<void()> Callback) {
    m_Changed = std::move(Callback);
  }

  /// Starts and ends keepers as the tables ask for.
  void setRoutes(const RouteIndex &Routes);
  /// The membership or the domains that are out changed.
  void targetsChanged(const TargetMap &Known);
  void tick();
  /// Tells what a pool's targets bear: the time that a request usually takes,
  /// and how many times as many requests there are as are known of.
  void setUsualTime(const std::string &Pool, Duration Usual, double Unknown);
  void setHosts(size_t Count);
  /// Called with the follower of each pool's topic.
  void forEachFollower(const std::function<void(const std::string &Topic,
                                                TopicFollower &)> &Call);
  /// True when this host has recorded changes that the others don't know yet.
  bool hasNews() const;
  /// Adds the requests that arrived since the last call to a report.
  void fillCounts(HostReport &Report);
  /// Adds what changed since the last call, and the terms that are over.
  void fillNews(HostReport &Report);
  void noteReport(const HostReport &Report);
  /// Some host has read the log at that moment.
  void noteLogSeen(TimePoint At);

  RangeKeeper *find(const std::string &Pool) const;
  /// True once the owners of every pool are known.
  bool areOwnersKnown() const;

private:
  void pass(RangeKeeper &Keeper) const;
  /// Slots, weighted with the speed that this host measures.
  double capacityOf(const TargetInfo &Info) const;

  const std::string m_Host;
  const KeeperTimes m_Times;
  const RangeKeeper::Parts m_Ports;
  const TargetRegistry &m_Targets;
  std::function<void()> m_Changed;
  TargetMap m_Known;
  double m_SpeedExponent = 1;
  std::map<std::string, std::unique_ptr<RangeKeeper>> m_Keepers;
};

} // namespace monsoon

#endif
