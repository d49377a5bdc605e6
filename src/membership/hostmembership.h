#ifndef MONSOON_MEMBERSHIP_HOSTMEMBERSHIP_H
#define MONSOON_MEMBERSHIP_HOSTMEMBERSHIP_H

#include "core/hostreport.h"
#include "core/hostshare.h"
#include "core/sharehistory.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/hostgroup.h"
#include "ports/leasesource.h"
#include "ports/limitshare.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace monsoon {

/// Returns the name of a process that starts on a machine. It holds the start,
/// in seconds since the epoch, and a number by which processes differ that
/// start in the same second.
std::string processName(const std::string &Machine, int64_t StartSeconds,
                        uint32_t Number);

/// Membership of this host in the group of entry hosts: the duties that it
/// holds and until when, and the names of the other hosts.
///
/// The host joins every 400 ms. Each join renews the lease of its duties, which
/// lasts 1.5 s from the moment at which the join was sent. Without a confirmed
/// join for 3 s the host has no share of the limits that all hosts divide. A
/// host that is no longer listed keeps its share for 6 s, since it may not have
/// noticed yet.
///
/// The members are read when the generation has changed, and again when all of
/// them must have joined in it. Logs hosts_counted.
///
/// Among many hosts, one that holds no lease joins less often, and one host
/// reads the members after a change and gossips them to the others. A new host
/// then has no share until the others count it.
class HostMembership : public LeaseSource, public LimitShare {
public:
  /// Host is the name of this process; a restarted process needs another one.
  /// Made by processName(), it tells the others when the process started.
  HostMembership(std::string Host, HostGroup &Group, const Clock &Time,
                 EventSink &Events);

  HostMembership(const HostMembership &) = delete;
  HostMembership &operator=(const HostMembership &) = delete;

  /// Joins and requests the members when due; called several times a second.
  void tick();
  /// Releases all duties; called at shutdown.
  void leave();

  /// This host's present share of the limits that all hosts divide. A host that
  /// has lost contact with the group has none, since the others may use it by
  /// then.
  const HostShare &share() const { return m_LimitShare; }
  /// Number of entry hosts, including this one and those that may still send.
  size_t hosts() const { return m_LimitShare.hosts(); }
  /// False until this host has read a list of members that includes a process
  /// of its machine: this one, or the one that it replaces.
  bool knowsMembers() const { return m_HasBeenListed; }
  /// The same hosts with one process each. A process that was replaced still
  /// counts in hosts() for some time, as it may not have noticed that it is not
  /// listed any more; one that has a successor on its own machine has ended.
  const HostShare &livingShare() const { return m_LivingShare; }
  /// Names of these hosts.
  const std::set<std::string> &names() const { return m_LimitShare.names(); }

  /// Sets the names of the leases whose loss delays others. A host that holds
  /// one of them joins at the shortest interval.
  void setLeases(std::set<std::string> Names) {
    m_LeaseNames = std::move(Names);
  }
  /// Applies the members that a peer has read.
  void applyPeerMembers(const MemberList &Members);
  /// Returns the members that this host has read itself since the last call, to
  /// be sent to the peers.
  std::optional<MemberList> takeMembers() {
    return std::exchange(m_MembersToSend, std::nullopt);
  }

  // LeaseSource
  TimePoint heldUntil(const std::string &Name) const override;
  TimePoint confirmedAt() const override { return m_LastJoin; }
  Milliseconds longestLease() const override;

  // LimitShare. The others use what is left by a host that has lost contact
  // only a window after they have counted it out, so a host keeps its part for
  // 7 s without a confirmed join.
  double windowShare(Duration Window) const override;
  double newHosts(Duration Window) const override;

  /// True among so many hosts that not all of them exchange all reports.
  bool isLarge() const;

private:
  void join(TimePoint Now);
  void requestMembers(TimePoint Now);
  /// Delays the next request of the members by the rank of this host, so that
  /// the gossip of the first one serves the others.
  void scheduleMembersRequest(TimePoint Now);
  void adoptMembers(std::set<std::string> Names, uint64_t Generation);
  void refreshCountedHosts(TimePoint Now);
  void refreshLimitShare(TimePoint Now);
  /// True if the others count this host, unless it had no confirmed join for
  /// Timeout.
  bool isCounted(TimePoint Now, Duration Timeout) const;
  Milliseconds joinInterval() const;
  bool holdsDuty(const std::string &Name) const;

  const std::string m_Host;
  const TimePoint m_Start;
  HostGroup &m_Group;
  const Clock &m_Clock;
  EventSink &m_Events;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  GroupAssignment m_Share;
  /// The members as last listed, and a generation that the list includes.
  std::set<std::string> m_Members;
  uint64_t m_MembersGeneration = 0;
  std::optional<MemberList> m_MembersToSend;
  std::set<std::string> m_LeaseNames;
  HostShare m_LimitShare;
  HostShare m_LivingShare;
  ShareHistory m_WindowShares;
  /// Expiry of each counted host. Hosts that are no longer listed are counted
  /// for some time, since they may not have noticed yet.
  std::map<std::string, TimePoint> m_CountedUntil;
  bool m_IsJoining = false;
  bool m_IsRequestingMembers = false;
  bool m_HasLeft = false;
  bool m_HasBeenListed = false;
  TimePoint m_NextJoin{};
  TimePoint m_NextMembersRequest{};
  /// Time at which the last confirmed join was sent.
  TimePoint m_LastJoin{};
  /// When the members were first known.
  TimePoint m_FirstMembersAt{};
};

} // namespace monsoon

#endif
