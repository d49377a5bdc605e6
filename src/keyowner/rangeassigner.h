#ifndef MONSOON_KEYOWNER_RANGEASSIGNER_H
#define MONSOON_KEYOWNER_RANGEASSIGNER_H

#include "core/hostreport.h"
#include "keyowner/keyload.h"
#include "keyowner/keytable.h"
#include "keyowner/rangeplanner.h"
#include "membership/topicfollower.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/grantchannel.h"
#include "ports/leasesource.h"
#include "ports/sharedlog.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace monsoon {

/// Durations that govern the assignment of a pool's keys.
struct AssignerTimes {
  /// Hold time of a grant, counted from its arrival at the target. With a
  /// shorter one, grants expire before another host has taken over from a
  /// failed lease holder; with a longer one, the keys of a failed owner stay
  /// unserved for longer.
  Milliseconds m_Hold{2700};
  /// Interval between two grants of the same assignment.
  Milliseconds m_GrantRenewal{700};
  /// Longest hold time that targets accept. Granted while the log does not
  /// answer, so that owners outlast its outage.
  Duration m_LongestHold = Milliseconds(10'000);
  /// How long the set of usable targets of a new pool has to stay unchanged
  /// before its first keys are assigned.
  Milliseconds m_Settling{1000};
};

/// Assigns the key ranges of one pool to targets and renews the owners' grants.
/// Every entry host runs one instance per pool.
///
/// Who may append: only the holder of the pool's lease. Leases of two hosts may
/// overlap, so every append is conditional on the topic of the log ending at
/// the offset up to which this host has read it. An append of a host that
/// missed a record fails, and the host reads the log before it decides again.
///
/// A host that gets the lease appends a lease record with the next term and a
/// table with new fences. It does so only if some target is usable, if its
/// lease was confirmed after it last saw another host's takeover, and on a
/// table read from the log, not one learnt by gossip. From then on, until its
/// lease expires or it reads another host's lease record, it is the holder: it
/// plans moves, records them and grants a range to the new owner only after the
/// move is recorded.
///
/// When an owner may be replaced: a range goes to another target only once
/// - the owner has released it after accepting a grant of the current term,
///   and no earlier grant of this or a former holder can still arrive, or
/// - every hold that this or a previous holder may have granted has expired, or
/// - the owner's address is known to belong to another target, so that the
///   owner is gone.
/// A new incarnation of the same target gets the range without this wait.
///
/// After a restoration of the log (a new epoch): the records may lack the
/// newest terms and moves, whose grants are still in force. So terms and fences
/// start above all of the former epochs, records older than what this host
/// knows are ignored, and the holder steps down. Until a host has taken over in
/// the new epoch, a host does so only if
/// - it knew the owners of the former epoch, and every host that it counted at
///   that time has reported, from the new epoch, that it knows no later change,
///   or
/// - every hold of the former epoch has expired.
///
/// Waits, and what each is for:
/// - After an append: until its answer, or until the read after a failed one,
///   as the next append needs the offset at which the topic ends.
/// - Before a move is dropped that was appended without success: until another
///   append has succeeded, as the log may carry out the former one until then.
/// - In a new term, before an owner that does not release its keys is replaced:
///   the longest lease, the grant timeout and the longest hold together, as the
///   previous holder may grant until its lease expires by its own clock. The
///   EndedTerm reported by that holder shortens this wait.
/// - After each grant: the grant timeout, while it is in flight, and its hold
///   time, extended for slow target clocks. A grant without an answer is
///   assumed to have been carried out.
/// - Before a release: until the owner has accepted a grant of this term, which
///   makes it refuse earlier ones, no grant is in flight and every unanswered
///   grant has expired, as a late grant would undo the release.
/// - In a new term, before the first release: the longest lease and the grant
///   timeout together. Until then a former holder that has not heard of this
///   term may renew its grants, and an owner that restarts under its id after
///   the release has forgotten the fence by which it would refuse them.
/// - After failed grants: a target that can't be reached is ejected, that is,
///   it gets no keys for a time. While no other target is left to take its
///   keys, its grants are sent again until it can be reached.
/// See docs/design/platform.md.
class RangeAssigner {
public:
  struct Parts {
    const Clock &m_Clock;
    SharedLog &m_Log;
    GrantChannel &m_Grants;
    const LeaseSource &m_Leases;
    EventSink &m_Events;
  };

  RangeAssigner(std::string Host, std::string Pool, std::string Topic,
                AssignerTimes Times, Parts Ports);

  RangeAssigner(const RangeAssigner &) = delete;
  RangeAssigner &operator=(const RangeAssigner &) = delete;

  /// Sets the callback that is called whenever table() has been replaced.
  void onChange(std::function<void()> Callback) {
    m_OnChange = std::move(Callback);
  }

  /// Follows the log and performs all actions that are due. Called by the event
  /// loop several times a second.
  void tick();
  /// Replaces the sets of targets: Known holds all targets of the pool, Usable
  /// the capacity of those that may own keys.
  void setTargets(const std::map<std::string, TargetInfo> &Known,
                  const std::map<std::string, double> &Usable);
  /// Counts a request for a key that arrived at this host.
  void countRequest(uint32_t Key) {
    m_Load.addRequests(Key);
    ++m_UnreportedCounts[Key];
  }
  /// Counts requests for a key that arrived at a peer. Ignores keys out of
  /// range.
  void countPeerRequests(uint32_t Key, uint32_t Count) {
    if (Key < KeyCount)
      m_Load.addRequests(Key, Count);
  }
  /// Returns the requests that arrived at this host since the last call, by
  /// key.
  std::map<uint32_t, uint32_t> takeRequestCounts() {
    return std::exchange(m_UnreportedCounts, {});
  }
  /// Returns the requests a second of the pool, at this host and as learnt by
  /// gossip.
  double requestRate() const { return m_Load.totalRate(); }
  /// Sets the number of entry hosts. Each of them reads every change of the
  /// owners, so with more hosts changes are recorded and read in larger
  /// batches.
  void setHosts(size_t Count);
  /// Sets the load, in requests a second per unit of capacity, from which a
  /// target counts as overloaded and gives keys away.
  void setOverloadThreshold(double Value) { m_OverloadThreshold = Value; }
  /// Returns the changes that this host has recorded since the last call, to be
  /// sent to the peers.
  std::vector<OwnerTableUpdate> takeUpdates() {
    return std::exchange(m_Updates, {});
  }
  bool hasUpdates() const { return !m_Updates.empty(); }
  /// Applies changes recorded by a peer if they directly follow the state of
  /// this host. The result is used for routing only: before this host decides
  /// anything it reads the log.
  void applyUpdate(const OwnerTableUpdate &Update);
  /// Returns the last term in which this host was the holder, once that term
  /// and its lease are over.
  std::optional<EndedTerm> endedTerm() const;
  /// Handles a peer's message that a term of its own is over. If the peer is
  /// the previous lease holder, this shortens the time for which unreachable
  /// owners keep their keys.
  void applyEndedTerm(const std::string &Host, const EndedTerm &Ended);
  /// Notes that some host read the log successfully at that time.
  void noteLogReachable(TimePoint At) {
    m_LogReachableAt = std::max(m_LogReachableAt, At);
  }
  /// Notes that the log has answered with this epoch since KnownAt. The holder
  /// of a term of a former epoch steps down.
  void noteLogEpoch(uint64_t Epoch, TimePoint KnownAt);
  /// Sets the names of the entry hosts, with those that may still act although
  /// they are no longer members.
  void setHostNames(std::set<std::string> Names) {
    m_HostNames = std::move(Names);
  }
  /// Returns what this host knows of the owners, while no host has taken over
  /// in the present epoch of a restored log.
  std::optional<FormerOwners> formerOwners() const;
  /// Handles a peer's message of the same kind.
  void applyFormerOwners(const std::string &Host, const FormerOwners &Former);
  /// The topic of the log, and its reader; see TopicFollower.
  const std::string &topic() const { return m_Topic; }
  TopicFollower &follower() { return m_Follower; }
  /// The current table; null until the topic has been read.
  KeyTablePtr table() const { return m_Table; }
  const std::string &pool() const { return m_Pool; }
  bool isHolder() const { return m_IsHolder; }
  const OwnerLease &lease() const { return m_Lease; }
  /// Returns true once the topic has been read as a whole.
  bool isSynced() const { return m_Follower.isSynced(); }

private:
  /// A target that could not be reached and gets no keys for a time.
  struct EjectedTarget {
    TimePoint m_Until{};
    /// Length of the last ejection.
    Duration m_Length{};
  };

  /// State of the grants of one assignment.
  struct GrantState {
    /// Latest time, on this host's clock, at which the owner may hold the keys.
    TimePoint m_HoldExpiry{};
    /// Value of m_HoldExpiry before the grant in flight was sent. Restored if
    /// that grant was certainly not carried out.
    TimePoint m_PriorHoldExpiry{};
    /// As m_HoldExpiry, but counts only grants sent by this host.
    TimePoint m_OwnHoldExpiry{};
    /// As m_PriorHoldExpiry, for m_OwnHoldExpiry.
    TimePoint m_PriorOwnHoldExpiry{};
    /// Latest time at which a grant without an answer may still take effect.
    TimePoint m_UnansweredExpiry{};
    TimePoint m_NextGrant{};
    TimePoint m_LastAccepted{};
    bool m_InFlight = false;
    /// True once the owner has accepted a grant of the current term. From then
    /// on it refuses grants of earlier terms.
    bool m_AcceptedThisTerm = false;
    /// True once another target answered at the owner's address.
    bool m_OwnerGone = false;
    /// Grants in a row that did not reach the owner or that it rejected.
    int m_ConsecutiveFailures = 0;
    /// What the former owner gave at its release, for the next grant.
    std::string m_Handover;
  };

  enum class MoveStep {
    /// The owner can't be asked for a release yet.
    Waiting,
    /// The owner is asked to release the keys.
    Releasing,
    /// The owner holds the keys no longer; the move can be recorded.
    Freed,
    /// The append of the move to the log is pending.
    Recording
  };

  /// Invariant: only the answer to a release that was sent for this very move
  /// frees its keys. A move of the same keys under the same fence may have been
  /// dropped before, and the owner has been granted the keys again since.
  struct Move {
    /// Differs from that of every other move of this process.
    uint64_t m_Id = 0;
    PlannedMove m_Plan;
    /// Fence of the assignment that ends.
    uint64_t m_Fence = 0;
    MoveStep m_Step = MoveStep::Waiting;
    TimePoint m_Started{};
    TimePoint m_NextRelease{};
    bool m_ReleaseInFlight = false;
    /// True once an append of the move was sent, until a later append succeeds:
    /// only that proves that the former one won't be carried out any more.
    bool m_MayBeRecorded = false;
    std::string m_Handover;
  };

  /// Reads what was appended since the last read. Needed after an append that
  /// failed or had no answer, and after a grant was refused for its fence.
  void resync();
  /// Applies records that are not part of the state yet.
  void applyPage(const KeyedPage &Page);
  void applyRecord(const KeyedRecord &Record);
  /// Makes Table the current one and carries the grant states over.
  void installTable(KeyTablePtr Table);
  /// Called with the first page of an epoch of the log, before its records are
  /// applied.
  void beginEpoch();
  /// The epoch in which the table was last renewed by a takeover.
  uint64_t tableEpoch() const;
  /// True if no host is known to have taken over in the present epoch of the
  /// log, and there was a former one.
  bool isLogRestored() const;
  /// True if this host knows all changes of the owners in former epochs.
  bool knowsFormerOwners() const;
  bool mayTakeOverRestored(TimePoint Now) const;
  /// Returns the time after which no grant of another holder arrives any more
  /// if none of them renews its lease after From.
  TimePoint otherGrantsEnd(TimePoint From) const;
  /// Latest time at which owners may hold keys by grants of the former epoch.
  TimePoint formerHoldsExpiry() const;
  /// Appends the holder's records again, over those of a former term.
  void rewriteRecords();
  /// Starts a term of this host by appending its lease and renewed fences.
  void takeOver();
  void stepDown(const char *Why);
  /// Appends Records if the topic still ends where this host has read to. Calls
  /// Accepted on success; otherwise reads the log.
  void append(const std::vector<KeyedRecord> &Records, const KeyTablePtr &Next,
              std::function<void()> Accepted);
  /// Queues the differences between two tables for gossip. Before is the table
  /// at the time of the append: the current one may already come from a read of
  /// the appended records.
  void queueUpdate(const KeyTable &Before, const KeyTable &Next, LogOffset From,
                   LogOffset End);
  void assignInitialOwners(TimePoint Now);
  void advanceMoves(TimePoint Now);
  void handleReleaseResult(uint64_t MoveId, GrantCallResult Result,
                           const std::string &Handover);
  /// Frees the keys of a move if possible. Returns false if its assignment no
  /// longer exists.
  bool advanceRelease(Move &Each, TimePoint Now);
  /// Appends all freed moves in one record.
  void recordMoves();
  void planMoves(TimePoint Now);
  void startMoves(const std::vector<PlannedMove> &Plan, TimePoint Now);
  void eject(const std::string &Id, TimePoint Now);
  bool isEjected(const std::string &Id, TimePoint Now) const;
  /// Returns true if a target other than the owner may be given the range now.
  bool hasReceiver(const OwnedRange &Range, TimePoint Now) const;
  /// Returns true if the owner is known under another incarnation than the one
  /// the keys were assigned to.
  bool hasNewIncarnation(const OwnedRange &Range) const;
  /// Returns true if the range has lost its owner or has to leave it.
  bool isOrphaned(const OwnedRange &Range, TimePoint Now) const;
  void renewGrants(TimePoint Now);
  void sendGrant(const OwnedRange &Range, const TargetInfo &To, TimePoint Now);
  void handleGrantResult(uint64_t Fence, uint64_t Term, TimePoint Sent,
                         Duration Hold, GrantCallResult Result);
  /// Returns the owner, or null if the incarnation that the keys were assigned
  /// to is not known.
  const TargetInfo *findOwner(const OwnedRange &Range) const;
  bool isMoving(uint64_t Fence) const;
  bool isReleasing(uint64_t Fence) const;
  bool hasLease(TimePoint Now) const;
  /// Returns the longest time on this host's clock that a hold may last.
  static Duration maxHoldDuration(Duration Hold);
  void log(Severity Level, const char *Name, EventSink::Details Fields);

  const std::string m_Host;
  const std::string m_Pool;
  const std::string m_Topic;
  const AssignerTimes m_Times;
  const Parts m_Ports;
  std::function<void()> m_OnChange;
  /// Callbacks do nothing once this has expired, as the object is gone then.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);

  TopicFollower m_Follower;
  bool m_Resyncing = false;
  /// True if resync() failed and has to be repeated.
  bool m_ResyncDue = false;
  /// Records before this offset are part of the state.
  LogOffset m_AppliedEnd = 0;
  bool m_AppendPending = false;
  KeyTablePtr m_Table;
  /// True while the table has changes that were learnt by gossip.
  bool m_HasGossipedChanges = false;
  std::vector<OwnerTableUpdate> m_Updates;
  OwnerLease m_Lease;

  /// True from the append of this host's lease record until stepDown().
  bool m_IsHolder = false;
  TimePoint m_TermStarted{};
  /// When this host last saw another host take the lease over.
  TimePoint m_SupersededAt{};
  /// The lease that preceded this host's own.
  OwnerLease m_PreviousLease;
  uint64_t m_OwnTerm = 0;
  /// The latest epoch in an answer of the log, and when this process learnt it.
  uint64_t m_KnownEpoch = FirstLogEpoch;
  TimePoint m_EpochKnownAt{};
  /// The epoch of the records that were read.
  uint64_t m_ReadEpoch = 0;
  /// True if this host had read the log before it was restored, so that its
  /// table is not the restored one.
  bool m_KnewFormerOwners = false;
  std::set<std::string> m_HostNames;
  /// The hosts at the end of the former epoch, some of which may know more.
  std::set<std::string> m_FormerHosts;
  /// By host, what it has reported from the present epoch.
  std::map<std::string, FormerOwners> m_FormerReports;
  /// The holder has read records that are older than its own, or drops a move
  /// that may still be recorded.
  bool m_IsRewriteDue = false;
  /// Latest time at which grants of previous holders may arrive and have an
  /// effect.
  TimePoint m_PreviousGrantsEnd{};
  /// Latest time at which owners may hold keys by grants of previous holders.
  TimePoint m_PreviousHoldsExpiry{};
  /// Latest time at which owners may hold keys by grants of this host.
  TimePoint m_OwnHoldsExpiry{};
  /// When a peer last read the log successfully.
  TimePoint m_LogReachableAt{};
  /// True while the log answers nobody; grants then have the longest hold time.
  bool m_LogUnreachable = false;

  std::map<std::string, TargetInfo> m_KnownTargets;
  /// Capacity of the targets that may own keys.
  std::map<std::string, double> m_UsableTargets;
  TimePoint m_UsableUnchangedSince{};
  /// By fence of the assignment.
  std::map<uint64_t, GrantState> m_Grants;
  std::map<std::string, EjectedTarget> m_Ejected;
  std::deque<Move> m_Moves;
  uint64_t m_LastMoveId = 0;
  KeyLoad m_Load;
  /// Requests at this host that were not sent to the peers yet, by key.
  std::map<uint32_t, uint32_t> m_UnreportedCounts;
  double m_OverloadThreshold = 0;
  TimePoint m_NextDecay{};
  TimePoint m_NextPlan{};
  TimePoint m_NextRecord{};
  Milliseconds m_RecordInterval{0};
};

} // namespace monsoon

#endif
