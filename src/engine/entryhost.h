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

/// The outside that an entry host works with.
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

/// A report on the whole entry host, for operators.
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

/// One entry host without its transports: follows the log, knows the other
/// hosts, takes part in ownership, and serves requests.
///
/// Lock order: m_Mutex is never held while another component is called.
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

  /// True once there is a configuration to serve by, until a stop begins.
  bool isReady() const;

  /// Begins a planned stop: isReady() turns false.
  void beginStop();
  /// Hands over what this host decides; true once that is done.
  bool handOver() { return m_Ownership.stopDeciding(); }

  EntryHostReport report() const;

private:
  void followLog();
  void greetPeers();
  void greet(const std::string &Peer);
  void takeHello(const Hello &Message);
  void fetchNewerConfig();
  void noteOwnWarmth();
  void fetchWarmth();
  void readHostList();
  Hello ownHello() const;

  const Settings m_Settings;
  const HostId m_Self;
  const EntryHostPorts m_Ports;
  Router m_Routes;
  Admission m_Gate;
  RequestPath m_Requests;
  ConfigFollower m_Follower;
  OwnershipLoop m_Ownership;
  mutable absl::Mutex m_Mutex;
  Membership m_Membership ABSL_GUARDED_BY(m_Mutex);
  std::set<std::string> m_Leaving ABSL_GUARDED_BY(m_Mutex);
  std::vector<TargetWarmth> m_Warmth ABSL_GUARDED_BY(m_Mutex);
  /// Starts at a value that no earlier process of this host has used.
  uint64_t m_WarmthVersion ABSL_GUARDED_BY(m_Mutex);
  std::atomic<bool> m_Stopping{false};
  WorkerPool m_Greeters;
  PeriodicTask m_LogTask;
  PeriodicTask m_PeerTask;
  PeriodicTask m_HostListTask;
};

} // namespace monsoon

#endif
