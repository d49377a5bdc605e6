#ifndef MONSOON_MEMBERSHIP_HOSTMEMBERSHIP_H
#define MONSOON_MEMBERSHIP_HOSTMEMBERSHIP_H

#include "core/hostshare.h"
#include "ports/clock.h"
#include "ports/eventsink.h"
#include "ports/hostgroup.h"
#include "ports/leasesource.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace monsoon {

/// This host as a member of the group of entry hosts: which duties it holds and
/// until when, and which other hosts there are.
class HostMembership : public LeaseSource {
public:
  /// Host names this process; a restarted one needs another name.
  HostMembership(std::string Host, HostGroup &Group, const Clock &Time,
                 EventSink &Events);

  HostMembership(const HostMembership &) = delete;
  HostMembership &operator=(const HostMembership &) = delete;

  void tick();
  /// Gives all duties back; called at a stop.
  void leave();

  /// How limits over all hosts are divided at the moment. A host that lost
  /// touch with the group has no part, since the others divide it by then.
  HostShare share() const;
  /// Hosts that are there, this one included.
  size_t hosts() const;
  /// Their names.
  std::set<std::string> names() const;

  // LeaseSource
  TimePoint heldUntil(const std::string &Name) const override;
  TimePoint confirmedAt() const override { return m_LastJoin; }
  Milliseconds longestLease() const override;

private:
  void join(TimePoint Now);
  void askMembers(TimePoint Now);
  void countMembers(TimePoint Now);

  const std::string m_Host;
  HostGroup &m_Group;
  const Clock &m_Clock;
  EventSink &m_Events;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  GroupShare m_Share;
  /// The members as last listed; the same until the generation changes.
  std::set<std::string> m_Members;
  /// Members that are not listed any more are counted for some time, since
  /// they may not know yet.
  std::map<std::string, TimePoint> m_CountedUntil;
  bool m_Joining = false;
  bool m_Asking = false;
  bool m_Left = false;
  TimePoint m_NextJoin{};
  TimePoint m_NextQuestion{};
  /// When the last join that was answered was sent.
  TimePoint m_LastJoin{};
  TimePoint m_LastMembers{};
};

} // namespace monsoon

#endif
