#ifndef MONSOON_PORTS_HOSTGROUP_H
#define MONSOON_PORTS_HOSTGROUP_H

#include "core/outcome.h"
#include "core/timepoint.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace monsoon {

/// The duties assigned to a member of the group by its last join.
struct GroupAssignment {
  /// Number of the assignment; rises with each change of the group.
  uint64_t m_Generation = 0;
  /// Numbers of the duties that only this member holds.
  std::set<uint32_t> m_Duties;

  friend bool operator==(const GroupAssignment &A, const GroupAssignment &B) {
    return A.m_Generation == B.m_Generation && A.m_Duties == B.m_Duties;
  }
};

/// The platform's consumer group of the entry hosts. It assigns each of a fixed
/// number of duties to one member, reassigns those of a member that does not
/// repeat its join in time, and may rebalance at any moment.
class HostGroup {
public:
  using JoinDone = std::function<void(Outcome<GroupAssignment>)>;
  using MembersDone = std::function<void(Outcome<std::set<std::string>>)>;

  virtual ~HostGroup() = default;

  /// Number of duties that are assigned, numbered from 0.
  virtual uint32_t duties() const = 0;

  /// Joins or renews the membership for TimeToLive, counted from the arrival of
  /// the call. Generation is the one of the last assignment seen; it confirms
  /// that the duties lost since are given up.
  virtual void join(const std::string &Member, Milliseconds TimeToLive,
                    uint64_t Generation, JoinDone Done) = 0;
  /// Ends the membership, so that its duties are reassigned.
  virtual void leave(const std::string &Member) = 0;
  /// Reads the names of the members that hold a duty.
  virtual void members(MembersDone Done) = 0;
};

} // namespace monsoon

#endif
