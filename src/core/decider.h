#ifndef MONSOON_CORE_DECIDER_H
#define MONSOON_CORE_DECIDER_H

#include "core/ownershipmessages.h"
#include "core/placement.h"
#include "core/tables.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// Manages the leases and handovers of one group of ranges during one term.
/// It renews the leases of the servers, hands ranges over so that no key ever
/// has two owners, and plans which ranges should move. A GroupNode creates it
/// when its host holds the term and a majority of electors has promised to
/// follow it; only then may its orders be sent. It reads no clock and does no
/// I/O: the caller passes time and replies in and sends the returned orders.
///
/// A range is granted to a server only after
/// (1) the log holds the assignment,
/// (2) no entry host routes by the previous assignment: the host has confirmed
///     a newer view and has no requests for the range in flight, or its right
///     to route has expired, and
/// (3) the previous lease holder has confirmed that it gave the range up, or
///     is suspected to have failed and its lease has expired by this host's
///     clock.
/// The range is pending from the start of the handover until the new owner has
/// confirmed the grant, and while its owner is suspected to have failed. Entry
/// hosts send no requests for a pending range.
class Decider {
public:
  Decider(Term Number, const OwnershipTiming &Timing, TimePoint StartedAt);

  Term term() const { return m_Term; }

  /// Sets the configured pool and the names of the targets that are leaving.
  void setPool(const Pool &Value, const std::set<std::string> &Leaving);

  /// Sets the assignments that were last read from the log.
  void setState(const GroupState &State);

  /// Advances the handovers and returns the orders that are due. The caller
  /// must hold the right to act, which ends at ActUntil; no lease granted here
  /// outlasts it.
  std::vector<GrantOrder> tick(TimePoint Now, TimePoint ActUntil);

  /// Handles the server's reply to an order.
  void onGrantReply(const GrantOrder &Order, const GrantReply &Reply,
                    TimePoint Now);
  /// Handles an order that got no reply.
  void onGrantFailure(const GrantOrder &Order);

  /// Adds the view entries that the host has not confirmed yet and the lifetime
  /// of its right to route, and records when that right ends.
  void fillHeartbeat(Heartbeat &Message, const HostId &Host, TimePoint Now,
                     TimePoint ActUntil);
  /// Handles an entry host's reply to a heartbeat.
  void onHeartbeatReply(const HeartbeatReply &Reply);

  /// The moves that should be appended to the log now; empty if there are none.
  PlacementMoves wantedMoves() const;

  /// True if the host has not confirmed the newest view.
  bool hasUpdateFor(const HostId &Host) const;

  /// Number of ranges that must not be routed to any server at present.
  size_t pendingRanges() const;
  /// Number of configured servers that are suspected to have failed.
  size_t suspectServers() const;
  /// True while no range is moved because too many servers are suspected to
  /// have failed.
  bool areMovesPaused() const;

  /// The target with the server's name, even after it was removed from the
  /// table as long as it may hold ranges. Null if unknown.
  const Target *target(const std::string &Server) const;

private:
  struct ServerStatus {
    Target m_Target;
    bool m_IsInTable = false;
    bool m_IsEligible = false;
    TimePoint m_LastReply;
    /// When the last order was sent, and whether its reply is outstanding.
    TimePoint m_LastSent;
    bool m_IsAwaitingReply = false;
    /// End of the last lease that the server was granted, by this host's clock.
    TimePoint m_LeaseEnd;
    /// No lease is granted before this time, since the server's previous
    /// incarnation may still hold one.
    TimePoint m_NoLeaseBefore;
    /// Incarnation that replied last, and the stamp of its last reply.
    std::string m_Instance;
    Stamp m_Echo = 0;
    /// Version of the set that the server should hold, and of the set that it
    /// last confirmed.
    uint64_t m_SetVersion = 1;
    uint64_t m_AckedVersion = 0;
    /// Ranges that the server gave up but still executes requests for.
    std::set<RangeId> m_Draining;
    /// The set that the server should hold, in ascending order.
    std::vector<RangeId> m_Ranges;
    bool m_IsSuspect = false;
  };
  struct HostStatus {
    Stamp m_Echo = 0;
    uint64_t m_AckSeq = 0;
    /// Pending ranges that the host still has requests in flight for.
    std::set<RangeId> m_Busy;
    /// End of the last right to route that the host was granted.
    TimePoint m_ViewEnd;
    /// End of the rights to route that were granted before the host confirmed
    /// m_AckSeq.
    TimePoint m_ViewEndAtAck;
  };
  struct RangeStatus {
    /// The owner according to the log.
    RangeOwner m_Owner;
    /// The server that may be serving the range; empty if there is none.
    std::string m_Holder;
    /// Set version of the holder in which the range was last added or removed.
    uint64_t m_SetVersion = 0;
    /// True once the holder's set excludes the range.
    bool m_IsReleasing = false;
    /// True if the last holder was lost before it confirmed the release.
    bool m_WasHolderLost = false;
    bool m_IsPending = false;
    /// Version of the view in which the entry of the range last changed.
    uint64_t m_ChangedAt = 0;
  };

  /// True if the server is suspected to have failed and its lease has expired.
  bool isLost(const ServerStatus &Server, TimePoint Now) const;
  /// True while the log names another server than the holder.
  bool isMoving(const RangeStatus &Range) const;
  /// Updates which servers are suspected, by the time of their last reply.
  void updateSuspects(TimePoint Now);
  /// Takes the next step of a range's handover.
  void advanceHandover(RangeId Range, TimePoint Now);
  /// Removes the range from its holder's set, then clears the holder once it
  /// has confirmed or is lost.
  void releaseFromHolder(RangeId Range, RangeStatus &Status, TimePoint Now);
  /// Grants the range to its owner once all entry hosts are clear of it.
  void grantToOwner(RangeId Range, RangeStatus &Status, TimePoint Now);
  void setPending(RangeStatus &Status, bool Value);
  /// True once no entry host may send requests by the previous assignment.
  bool isClearOfHosts(RangeId Range, const RangeStatus &Status,
                      TimePoint Now) const;
  /// Adds a range to a server's set or removes it, under a new set version.
  void changeServerSet(const std::string &Server, RangeId Range, bool Include);
  /// The order that is due for the server now, if any.
  std::optional<GrantOrder> dueOrder(ServerStatus &Server, TimePoint Now,
                                     TimePoint ActUntil);
  /// Resets what is known of a server whose process was replaced. The new
  /// process gets no lease until that of the old one has expired.
  static void resetForNewProcess(ServerStatus &Server);
  /// Removes servers that are neither configured nor related to a range.
  void removeUnusedServers();

  const Term m_Term;
  const OwnershipTiming m_Timing;
  const TimePoint m_StartedAt;
  std::string m_Pool;
  bool m_ChecksFences = true;
  bool m_IsCold = false;
  /// Number of ranges to create if the log holds no assignment yet.
  uint32_t m_ConfiguredRanges = 0;
  GroupVersion m_StateVersion = 0;
  std::map<std::string, ServerStatus> m_Servers;
  std::map<HostId, HostStatus> m_Hosts;
  std::vector<RangeStatus> m_Ranges;
  /// Ranges whose handover is not finished or whose owner's state changed.
  std::set<RangeId> m_Unsettled;
  uint64_t m_ViewSeq = 1;
  uint64_t m_OrderSeq = 0;
  TimePoint m_Now;
};

} // namespace monsoon

#endif
