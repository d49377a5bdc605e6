#ifndef MONSOON_ENGINE_ENTRYHOST_H
#define MONSOON_ENGINE_ENTRYHOST_H

#include "concurrency/periodictask.h"
#include "core/admission.h"
#include "core/membership.h"
#include "core/settings.h"
#include "engine/configfollower.h"
#include "engine/ownershiploop.h"
#include "engine/requestpath.h"
#include "ports/hostlist.h"

#include "absl/synchronization/mutex.h"

#include <memory>
#include <string>

namespace monsoon {

/// External services that an entry host depends on.
struct EntryHostPorts {
  ConfigStream &m_Config;
  OwnershipStreams &m_Ownership;
  HostList &m_Hosts;
  GrantService &m_Grants;
  TargetService &m_Targets;
  PeerService &m_Peers;
  MetricsSink &m_Metrics;
  WaitingClock &m_Time;
};

/// State of an entry host, for operators.
struct EntryHostReport {
  HostId m_Id;
  std::string m_FailureDomain;
  ConfigVersion m_ConfigVersion = 0;
  FollowerReport m_Follower;
  std::set<std::string> m_HostsHeard;
  std::set<std::string> m_Leaving;
  std::vector<GroupReport> m_Groups;
  std::vector<std::pair<std::string, std::vector<TargetReport>>> m_Pools;
  int m_ActiveRequests = 0;
};

/// One entry host without its transports: reads the configuration log, tracks
/// its peers, takes part in the ownership protocol, and serves requests.
///
/// Locking: m_Mutex is never held while another component is called.
class EntryHost : public PeerHandler {
public:
  EntryHost(const Settings &Config, HostId Self, const EntryHostPorts &Ports);
  ~EntryHost() override;

  RequestPath &requests() { return m_Requests; }
  const Router &routes() const { return m_Routes; }

  Hello onHello(const Hello &Message) override;
  Outcome<HeartbeatReply> onHeartbeat(const Heartbeat &Message) override;
  Outcome<CanvassReply> onCanvass(const Canvass &Message) override;
  PeerConfig onFetchConfig() override;
  PeerWarmth onFetchWarmth() override;

  /// True from the first installed configuration until a stop begins.
  bool isReady() const;

  /// Begins a planned stop: isReady() turns false.
  void beginStop();
  /// Completes the handovers in progress, then gives up the lease and the vote
  /// of this host in each group. Call repeatedly; true once that is done.
  bool handOver() { return m_Ownership.stopDeciding(); }

  EntryHostReport report() const;

private:
  void followLog();
  void syncWithPeers();
  void exchangeHello(const std::string &Peer);
  void recordHello(const Hello &Message);
  void fetchNewerConfig();
  void updateOwnWarmth();
  void fetchWarmth();
  void readHostList();
  Hello ownHello() const;

  const Settings m_Settings;
  const HostId m_Self;
  const EntryHostPorts m_Ports;
  Router m_Routes;
  Admission m_Admission;
  RequestPath m_Requests;
  ConfigFollower m_Follower;
  OwnershipLoop m_Ownership;
  mutable absl::Mutex m_Mutex;
  Membership m_Membership ABSL_GUARDED_BY(m_Mutex);
  std::set<std::string> m_Leaving ABSL_GUARDED_BY(m_Mutex);
  std::vector<TargetWarmth> m_Warmth ABSL_GUARDED_BY(m_Mutex);
  /// Starts at a hash of the host id, which differs for each incarnation, so
  /// that peers do not mistake it for a version of an earlier process.
  uint64_t m_WarmthVersion ABSL_GUARDED_BY(m_Mutex);
  std::atomic<bool> m_Stopping{false};
  WorkerPool m_HelloWorkers;
  PeriodicTask m_LogTask;
  PeriodicTask m_PeerTask;
  PeriodicTask m_HostListTask;
};

} // namespace monsoon

#endif
