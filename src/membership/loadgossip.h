#ifndef MONSOON_MEMBERSHIP_LOADGOSSIP_H
#define MONSOON_MEMBERSHIP_LOADGOSSIP_H

#include "core/hostreport.h"
#include "ports/clock.h"
#include "ports/peerchannel.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace monsoon {

/// Load of the peers by target, summed over their recent reports.
struct PeerLoad {
  /// Requests in flight by target.
  std::map<std::string, int> m_InFlight;
  /// Requests that wait for a target, by target.
  std::map<std::string, int> m_Waiting;
  /// Fraction of the peers whose reports are recent.
  double m_Coverage = 0;
};

/// Load gossip between the entry hosts: each sends a report to all peers every
/// 200 ms; a report is used for 700 ms. Reports influence the choice of targets
/// only and carry no guarantees, so a lost report costs quality and never
/// correctness.
class LoadGossip {
public:
  /// Returns the report of this host: its read progress, recorded updates
  /// and, unless Brief is set, its requests in flight and the counts since the
  /// last call.
  using Source = std::function<HostReport(bool Brief)>;
  /// Called for each new report of a peer.
  using Sink = std::function<void(const HostReport &)>;

  LoadGossip(std::string Host, PeerChannel &Channel, const Clock &Time,
             Source WriteReport, Sink OnReport);

  /// Sets the names and addresses of the peers.
  void setPeers(std::map<std::string, Endpoint> Peers);
  /// Sends a report if one is due; called several times a second.
  void tick();
  /// Requests a brief report at the next tick, regardless of the interval.
  void requestBriefReport() { m_IsBriefReportDue = true; }

  /// Number of hosts whose reports are recent, including this one.
  size_t reportingHosts() const;
  /// Load of the peers, from their recent reports.
  PeerLoad peerLoad() const;

private:
  struct PeerState {
    uint64_t m_Sequence = 0;
    HostReport m_Report;
    TimePoint m_ReceivedAt{};
  };
  void receive(const std::string &Message);

  const std::string m_Host;
  PeerChannel &m_Channel;
  const Clock &m_Clock;
  Source m_Source;
  Sink m_Sink;
  std::map<std::string, Endpoint> m_Peers;
  std::map<std::string, PeerState> m_PeerStates;
  uint64_t m_Sequence = 0;
  TimePoint m_NextReport{};
  bool m_IsBriefReportDue = false;
};

} // namespace monsoon

#endif
