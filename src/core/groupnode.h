#ifndef MONSOON_CORE_GROUPNODE_H
#define MONSOON_CORE_GROUPNODE_H

#include "core/decider.h"
#include "core/electorpromise.h"
#include "core/routingview.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace monsoon {

/// The messages and log records that a GroupNode asks its caller to send.
struct Outbox {
  /// A message to one entry host.
  struct ToHost {
    HostId m_Host;
    std::variant<Heartbeat, Canvass> m_Message;
  };

  std::vector<ToHost> m_ToHosts;
  std::vector<GrantOrder> m_Grants;
  std::vector<OwnershipRecord> m_Appends;
};

/// A report on a group, for operators.
struct GroupReport {
  std::string m_Pool;
  Term m_Term = 0;
  HostId m_Holder;
  bool m_IsDecider = false;
  bool m_IsActing = false;
  bool m_IsCold = false;
  bool m_AreMovesPaused = false;
  size_t m_PendingRanges = 0;
  size_t m_SuspectServers = 0;
  std::vector<HostId> m_Electors;
  GroupVersion m_Version = 0;
};

/// The part that one entry host takes in the ownership of one group of ranges:
/// elector, candidate or decider. It also keeps the view that requests are
/// routed by. A pure state machine: the caller passes in time, messages and
/// records of the log, and sends the returned messages and records. Not safe
/// for concurrent use, except for the view.
///
/// - Elector: promises to follow one decider for m_Promise at a time.
/// - Candidate: a host that has read the whole stream and heard from no decider
///   for m_Promise plus a delay by its rank. It waits until its own promise to
///   another decider has expired, asks the electors for support, and appends a
///   claim once a majority would follow it. The first claim of a group, which
///   has no electors yet, needs no support. The delay of m_ClaimStagger per
///   rank keeps candidates from claiming at the same time.
/// - Decider: the host whose claim was accepted holds the term. It may act only
///   while promises of a majority of the electors are in force. It appends one
///   record at a time and waits until the record is read back, or for
///   m_AppendRetry, before it appends the next one.
/// - Cold claim: if no majority was reachable for m_ColdWait, a host announces
///   a cold claim in the log and claims after a further m_ColdWait / 2. This
///   wait lets a working decider object. Another host's announcement is
///   replaced only after m_ColdWait.
/// - Planned stop: a decider first finishes its handovers and its outstanding
///   record, then gives up its term. Any host gives up its vote only after its
///   promise has expired, as a decider may still rely on it.
class GroupNode {
public:
  /// View is the view that requests of the pool are routed by; it must outlive
  /// the node.
  GroupNode(HostId Self, std::string PoolName, const OwnershipTiming &Timing,
            RoutingView &View, TimePoint Now);

  const std::string &poolName() const { return m_PoolName; }
  const HostId &self() const { return m_Self; }

  /// Sets the configured pool and the names of the targets that are leaving.
  void setPool(const Pool &Value, std::set<std::string> Leaving);
  /// Sets the live entry hosts; this host is left out.
  void setHosts(std::set<HostId> Hosts);

  /// Offset of the next record to read from the stream.
  uint64_t nextOffset() const { return m_Replay.nextOffset(); }
  /// Applies the records read from nextOffset() on. First is the oldest offset
  /// that the log keeps, End the offset after its newest record.
  void applyRecords(uint64_t First, uint64_t End,
                    std::vector<GroupReplay::Entry> Entries, TimePoint Now);

  /// Returns the messages and records that are due. Empty until the state and
  /// the pool are known.
  Outbox tick(TimePoint Now);

  /// Handles a decider's heartbeat and returns the reply to it.
  HeartbeatReply onHeartbeat(const Heartbeat &Message, TimePoint Now);
  /// Returns the reply to a candidate's pre-vote request.
  CanvassReply onCanvass(const Canvass &Message, TimePoint Now) const;

  /// Handles the reply to a heartbeat of term Number that was sent at SentAt.
  void onHeartbeatReply(const HeartbeatReply &Reply, Term Number,
                        TimePoint SentAt, TimePoint Now);
  void onCanvassReply(const CanvassReply &Reply, TimePoint Now);
  void onGrantReply(const GrantOrder &Order, const GrantReply &Reply,
                    TimePoint Now);
  void onGrantFailure(const GrantOrder &Order);

  /// Starts a planned stop: tick() then finishes the handovers in progress and
  /// gives up the term and the vote. Returns true once this host holds no term;
  /// the caller repeats the call until then.
  bool stop();

  GroupReport report(TimePoint Now) const;
  const GroupState &state() const { return m_Replay.state(); }
  const Target *target(const std::string &Server) const;

private:
  /// What this host, as decider, knows of an entry host; itself included.
  struct PeerStatus {
    /// Expiry of its promise, by this host's clock.
    TimePoint m_PromisedUntil;
    TimePoint m_LastReply;
    bool m_IsStopping = false;
  };

  bool isHolder() const;
  /// Expiry of the right to act: the latest time until which promises of a
  /// majority of the electors are in force.
  TimePoint actUntil() const;
  /// The part of tick() for the host that holds the term.
  void lead(TimePoint Now, Outbox &Out);
  void sendHeartbeats(TimePoint Now, TimePoint ActUntil, Outbox &Out);
  Heartbeat heartbeatFor(const HostId &Host, TimePoint Now, TimePoint ActUntil);
  /// Appends the records that are due for the decider.
  void appendDueRecords(TimePoint Now, Outbox &Out);
  /// The next record to append, if any: an objection to a cold claim, moves of
  /// ranges, or a change of the electors, in this order.
  std::optional<OwnershipRecord> nextRecord(TimePoint Now);
  /// The electors with one host added or removed; none if they need no change.
  std::optional<std::vector<HostId>> wantedElectors(TimePoint Now) const;
  /// The part of tick() for all other hosts: claims the term if no decider is
  /// heard from.
  void follow(TimePoint Now, Outbox &Out);
  /// True if another incarnation of the elector's host is live.
  bool isReplaced(const HostId &Elector) const;
  /// Time without a decider after which this host becomes a candidate.
  Duration candidateDelay() const;
  void startCanvass(TimePoint Now, Outbox &Out);
  /// Appends the notice of a cold claim, or the claim, once it is due.
  void considerColdClaim(TimePoint Now, Outbox &Out);
  /// Tracks which cold notice stands in the log and since when.
  void trackColdNotice(TimePoint Now);
  /// The part of lead() while no majority of the electors has promised.
  void handleLostMajority(TimePoint Now, Outbox &Out);
  /// Gives up the vote as part of a planned stop.
  void resignVote(TimePoint Now, Outbox &Out);
  /// True if no handover and no record is outstanding.
  bool mayHandOver() const;
  /// Gives up the term and the vote as part of a planned stop.
  void handOverTerm(TimePoint Now, Outbox &Out);
  /// Appends a record whose result has to be awaited.
  void append(OwnershipRecord Record, TimePoint Now, Outbox &Out);
  void writeSnapshot(TimePoint Now, Outbox &Out);
  std::string nextId();

  const HostId m_Self;
  const std::string m_PoolName;
  const OwnershipTiming m_Timing;
  RoutingView &m_View;
  ElectorPromise m_Promises;
  GroupReplay m_Replay;
  /// True once the whole stream has been read.
  bool m_IsCaughtUp = false;
  std::optional<Pool> m_Pool;
  std::set<std::string> m_Leaving;
  std::set<HostId> m_Hosts;
  std::optional<Decider> m_Decider;
  std::map<HostId, PeerStatus> m_Peers;
  std::map<HostId, TimePoint> m_LastHeartbeat;
  /// When a decider was last heard from, or its claim was read from the log.
  TimePoint m_LastDeciderContact;
  /// Version that the outstanding record is based on, and when a record was
  /// last appended.
  std::optional<GroupVersion> m_AwaitedBase;
  TimePoint m_AppendedAt;
  TimePoint m_PlannedAt;
  /// Electors that would promise to follow this candidate.
  std::set<HostId> m_Supporters;
  TimePoint m_CanvassedAt;
  /// Since when no majority has been reachable.
  std::optional<TimePoint> m_NoMajoritySince;
  /// The host whose cold notice stands in the log, and when this host read it.
  HostId m_ColdNoticeBy;
  TimePoint m_ColdNoticeSeenAt;
  TimePoint m_LastSnapshotAt;
  bool m_IsStopping = false;
  bool m_HasHandedOver = false;
  uint64_t m_IdCounter = 0;
};

/// The name of the host that the id belongs to.
std::string hostName(const HostId &Id);

} // namespace monsoon

#endif
