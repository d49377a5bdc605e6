#ifndef MONSOON_CORE_OWNERSHIPMESSAGES_H
#define MONSOON_CORE_OWNERSHIPMESSAGES_H

#include "core/ownershiplog.h"
#include "core/timepoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoon {

/// A reading of one process's monotonic clock. The process sends it in a reply;
/// the peer returns it in its next message, and only the process that took the
/// reading interprets it. Zero means that there is no reading.
using Stamp = int64_t;

/// The time limits of range ownership. docs/design/ownership.md explains how
/// they depend on one another.
struct OwnershipTiming {
  /// Lifetime of an elector's promise to follow one decider.
  Milliseconds m_Promise{1000};
  /// Time between two heartbeats to an entry host that has no update to get.
  Milliseconds m_HeartbeatInterval{200};
  /// Time between two lease renewals of a server that has no update to get.
  Milliseconds m_GrantInterval{250};
  /// Longest lifetime of a server's lease.
  Milliseconds m_Lease{1000};
  /// Longest lifetime of an entry host's right to route.
  Milliseconds m_ViewLease{1000};
  /// Time without a reply after which a server is suspected to have failed.
  Milliseconds m_Suspect{600};
  /// Time after which a call without a reply is repeated.
  Milliseconds m_CallTimeout{300};
  /// Delay between the takeover attempts of two successive candidates.
  Milliseconds m_ClaimStagger{150};
  /// Time without a majority of electors after which a host announces a cold
  /// claim.
  Milliseconds m_ColdWait{8000};
  /// Time without a reply after which an elector is removed.
  Milliseconds m_ElectorTimeout{10'000};
  /// Time after which a record that was not read back from the log is appended
  /// again.
  Milliseconds m_AppendRetry{500};
  /// Time between two snapshots of a group. It must be well below the log's
  /// retention, so that a readable snapshot always exists.
  Milliseconds m_SnapshotInterval{60'000};
};

/// The routing information of an entry host about one range.
struct ViewEntry {
  RangeId m_Range = 0;
  std::string m_Server;
  GroupVersion m_Fence = 0;
  /// True while requests for the range must not be sent to any server.
  bool m_Pending = false;

  auto tie() const { return std::tie(m_Range, m_Server, m_Fence, m_Pending); }
  friend bool operator==(const ViewEntry &A, const ViewEntry &B) {
    return A.tie() == B.tie();
  }
};

/// Sent by the decider to each entry host: asks for the host's promise, updates
/// its view and grants it the right to route by the view for a limited time.
struct Heartbeat {
  std::string m_Pool;
  HostId m_From;
  Term m_Term = 0;
  /// The stamp of the last reply from this host.
  Stamp m_Echo = 0;
  /// Lifetime of the right to route, counted from the echoed stamp; zero if no
  /// right is granted.
  Milliseconds m_ViewLifetime{0};
  /// Version of the view within the term once the entries are applied.
  uint64_t m_ViewSeq = 0;
  /// Version of the view that the entries update; zero if the entries are the
  /// complete view.
  uint64_t m_BaseSeq = 0;
  uint32_t m_RangeCount = 0;
  std::vector<ViewEntry> m_Entries;
  /// True when the decider gives up its term as part of a planned stop.
  bool m_HandingOver = false;
};

/// An entry host's reply to a heartbeat.
struct HeartbeatReply {
  HostId m_From;
  /// Highest term that the host has seen.
  Term m_Term = 0;
  bool m_Promised = false;
  Stamp m_Stamp = 0;
  /// Version of the view that the host routes by, for the term of the
  /// heartbeat.
  uint64_t m_AckSeq = 0;
  /// Pending ranges that still have requests in flight.
  std::vector<RangeId> m_Busy;
  /// True when the host is about to stop.
  bool m_Stopping = false;
};

/// A pre-vote request: a candidate asks whether an elector would promise to
/// follow it. The elector's state does not change.
struct Canvass {
  std::string m_Pool;
  HostId m_From;
  Term m_Term = 0;
};

/// An elector's reply to a pre-vote request.
struct CanvassReply {
  HostId m_From;
  Term m_Term = 0;
  bool m_WouldPromise = false;
};

/// A range granted to a server, with its fencing token.
struct RangeGrant {
  RangeId m_Range = 0;
  GroupVersion m_Fence = 0;

  friend bool operator==(const RangeGrant &A, const RangeGrant &B) {
    return A.m_Range == B.m_Range && A.m_Fence == B.m_Fence;
  }
};

/// Sent by the decider to a server: renews its lease and, if m_Ranges is
/// present, replaces the set of ranges that it may serve.
struct GrantOrder {
  std::string m_Pool;
  std::string m_Server;
  Term m_Term = 0;
  /// Increases with every order of a term; the server ignores older orders.
  uint64_t m_Seq = 0;
  /// Incarnation of the server that the echoed stamp belongs to.
  std::string m_Instance;
  Stamp m_Echo = 0;
  /// Lifetime of the lease, counted from the echoed stamp; zero if the lease is
  /// not renewed.
  Milliseconds m_Lifetime{0};
  uint64_t m_SetVersion = 0;
  /// Absent once the server has confirmed m_SetVersion.
  std::optional<std::vector<RangeGrant>> m_Ranges;
};

/// A server's reply to a grant.
struct GrantReply {
  bool m_Accepted = false;
  /// Highest term that the server has seen.
  Term m_Term = 0;
  std::string m_Instance;
  Stamp m_Stamp = 0;
  /// Version of the set that the server holds; zero if it holds none.
  uint64_t m_SetVersion = 0;
  /// Ranges that the server gave up but still executes requests for.
  std::vector<RangeId> m_Draining;
};

} // namespace monsoon

#endif
