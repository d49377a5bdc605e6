#ifndef MONSOON_MEMBERSHIP_LOADGOSSIP_H
#define MONSOON_MEMBERSHIP_LOADGOSSIP_H

#include "core/hostreport.h"
#include "membership/gossiptopology.h"
#include "membership/transittimer.h"
#include "ports/clock.h"
#include "ports/peerchannel.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace monsoon {

/// Load of the peers by target, summed over their recent reports.
struct PeerLoad {
  /// Requests in flight by target.
  std::map<std::string, int> m_InFlight;
  /// Requests that wait for a target, by target.
  std::map<std::string, int> m_Waiting;
  /// Demand of customers, as in HostReport.
  std::map<std::string, int> m_CustomerDemand;
  /// Fraction of the peers whose load is known from recent reports.
  double m_Coverage = 0;
};

/// How late the messages of peers reach this host.
struct GossipDelay {
  /// When the newest message of any peer came; unset before the first.
  TimePoint m_HeardAt{};
  /// Bound of the time for which the last message was on its way, as far as
  /// one is known.
  Duration m_Last{};
  /// The longest such time since the last call of takeDelay().
  Duration m_Longest{};
  /// The peer whose message that was.
  std::string m_LongestFrom;
};

/// Gossip between the entry hosts: each sends a report to its neighbors every
/// 200 ms; a report is used for 700 ms. Reports influence the choice of targets
/// and when the log is read, and carry no guarantees, so a lost report costs
/// quality and never correctness.
///
/// Few hosts are all neighbors of each other. Among many, the neighbors are the
/// hosts of the same failure domain (see GossipTopology), and between domains:
/// - every 400 ms the relays of a domain send the sum of its load to the relays
///   of the others and to the lease holders, and what they have received from
///   others to their own neighbors;
/// - a host with news (changes of owners, published records, members, an ended
///   term) and each host that announces its read progress sends that to the
///   relays of the other domains and the lease holders at once, and the relays
///   pass it on to their neighbors at once.
/// No report is passed on twice, so none circulates.
///
/// A neighbor that is no longer listed but goes on sending still gets reports:
/// a host that can't reach the log loses its place in the list and depends on
/// its peers for all news. Its own reports are not used.
///
/// News that make a report too long are sent before it, in parts. A relay
/// passes on some 16 KB of records in a report, and the rest in the next ones;
/// beyond 128 KB that wait it drops new ones, which the hosts then read from
/// the log.
///
/// The read progress that a report tells gets older by the longest time for
/// which the report can have been on its way (see TransitTimer), so that late
/// reports never make a host count as up to date.
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

  /// Sets all known hosts, including this one.
  void setPeers(std::map<std::string, GossipPeer> Peers);
  /// True if all hosts exchange reports directly.
  bool isMesh() const { return m_Topology.isMesh(); }
  /// Sets whether the peers rely on this host's read progress, as on that of
  /// the designated reader of a topic.
  void setAnnouncing(bool Value) { m_IsAnnouncing = Value; }
  /// Sets the hosts that hold a lease and need the load of all hosts.
  void setLeaseHolders(std::set<std::string> Hosts) {
    m_LeaseHolders = std::move(Hosts);
  }
  /// Limits what this host sends, in bytes per second on average; 0 for no
  /// limit. Reports that would exceed it are sent later, together.
  void setByteRate(double BytesPerSecond) { m_ByteRate = BytesPerSecond; }
  /// Sends a report if one is due; called several times a second.
  void tick();
  /// Requests a brief report at the next tick, regardless of the interval.
  void requestBriefReport() { m_IsBriefReportDue = true; }

  /// Number of hosts whose load is known from recent reports, including this
  /// one.
  size_t reportingHosts() const;
  /// Load of the peers, from their recent reports.
  PeerLoad peerLoad() const;

  /// Bytes sent so far by kind of message: "report" with load, "brief" without
  /// it, "news" to other failure domains, "summary" of this one, "stamp" to
  /// hosts that get nothing else.
  const std::map<std::string, uint64_t> &sentBytes() const {
    return m_SentBytes;
  }
  /// Messages that were not sent, since they were too long for the channel, and
  /// reports whose records were not passed on, since too many waited.
  uint64_t droppedMessages() const { return m_DroppedMessages; }

  const GossipDelay &delay() const { return m_Delay; }
  /// Returns the delay of messages and starts a new maximum.
  GossipDelay takeDelay();

private:
  /// Updates the bytes that may be sent now; false if there are none.
  bool mayTransmit(TimePoint Now);

  struct PeerState {
    uint64_t m_Sequence = 0;
    /// The last report with load figures.
    HostReport m_Report;
    TimePoint m_ReceivedAt{};
    /// The last load of other domains that it told as a relay.
    LoadSummary m_OtherDomains;
    TimePoint m_OtherDomainsAt{};
    /// Read progress in the last report, and when it came.
    std::map<std::string, TopicProgress> m_Topics;
    TimePoint m_TopicsAt{};
  };
  void receive(const std::string &Message);
  void storeLoad(PeerState &Last, HostReport Report);
  /// Queues what a host of another domain reports for the neighbors.
  void relay(const HostReport &Report);
  void send(const char *Kind, const std::set<std::string> &Hosts,
            const HostReport &Report);
  /// The neighbors, and those that are no longer listed but heard.
  std::set<std::string> listeners() const;
  const Endpoint &addressOf(const std::string &Host) const;
  void transmit(const char *Kind, const std::set<std::string> &Hosts,
                const std::string &Encoded);
  /// Moves records that wait to be passed on to the report, up to a limit.
  void addRelayedRecords(HostReport &Report);
  /// Completes the report for the neighbors with what this relay passes on.
  void addRelayed(HostReport &Report, bool WithLoad);
  /// Sends the sum of the load of this domain to the others.
  void sendSummary(const HostReport &Own);
  void addFormerDemand(std::map<std::string, int> &Sum) const;
  bool isRecent(const PeerState &State, Duration Lifetime) const;
  /// Adds the demand of customers in the last report of a peer, which counts
  /// for longer than its load.
  void addCustomerDemand(std::map<std::string, int> &Sum,
                         const PeerState &State) const;
  /// The last demand in other domains that a relay has told.
  std::map<std::string, int> lastDistantDemand() const;
  /// Load of the other domains as their relays report it to this host.
  LoadSummary reportedDomains() const;
  /// The same, or what a relay of this domain tells if it knows more hosts.
  LoadSummary otherDomains() const;
  size_t reportingNeighbors() const;
  /// True if this host is the first relay of its domain, or the first one is
  /// silent.
  bool isActiveRelay() const;
  /// Hosts of other domains that get this host's news.
  std::set<std::string> distantListeners() const;
  /// Hosts of other domains that send to this relay and get nothing from it.
  /// They need its stamps: without an echo, what they send has no age.
  std::set<std::string> unansweredSenders() const;
  void noteDelay(const std::string &Peer, std::optional<Duration> Transit);

  const std::string m_Host;
  PeerChannel &m_Channel;
  const Clock &m_Clock;
  Source m_Source;
  Sink m_Sink;
  GossipTopology m_Topology;
  std::map<std::string, PeerState> m_PeerStates;
  struct UnlistedPeer {
    Endpoint m_Address;
    TimePoint m_HeardAt{};
  };
  /// Neighbors that are no longer listed.
  std::map<std::string, UnlistedPeer> m_Unlisted;
  /// The last demand of neighbors that are no longer listed, and when it was
  /// reported: they may still use their shares.
  std::vector<std::pair<TimePoint, std::map<std::string, int>>> m_FormerDemand;
  std::set<std::string> m_LeaseHolders;
  TransitTimer m_Transit;
  GossipDelay m_Delay;
  uint64_t m_Sequence = 0;
  TimePoint m_NextReport{};
  TimePoint m_NextSummary{};
  std::map<std::string, uint64_t> m_SentBytes;
  uint64_t m_DroppedMessages = 0;
  double m_ByteRate = 0;
  /// Bytes that may be sent; negative after a larger report.
  double m_SendableBytes = 0;
  TimePoint m_SendableAt{};
  bool m_IsBriefReportDue = false;
  bool m_IsAnnouncing = false;
  /// News of other domains that were not passed on yet.
  HostReport m_Relayed;
  bool m_HasRelayed = false;
  /// Requests by pool and key in this domain since the last summary; kept by
  /// relays.
  std::map<std::string, std::map<uint32_t, uint32_t>> m_DomainKeyCounts;
};

} // namespace monsoon

#endif
