#ifndef MONSOON_PORTS_HOSTGROUP_H
#define MONSOON_PORTS_HOSTGROUP_H

#include "core/outcome.h"
#include "core/timepoint.h"

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace monsoon {

/// What a member of the group was given when it joined or stayed.
struct GroupShare {
  /// Rises with each change of the group.
  uint64_t m_Generation = 0;
  /// Numbered duties of the group that are this member's alone.
  std::set<uint32_t> m_Duties;

  friend bool operator==(const GroupShare &A, const GroupShare &B) {
    return A.m_Generation == B.m_Generation && A.m_Duties == B.m_Duties;
  }
};

/// The platform's group of the entry hosts. It deals out a fixed number of
/// duties, each to one member, and takes those of a silent member away after a
/// time; it may also deal them anew at any moment.
class HostGroup {
public:
  using JoinDone = std::function<void(Outcome<GroupShare>)>;
  using MembersDone = std::function<void(Outcome<std::set<std::string>>)>;

  virtual ~HostGroup() = default;

  /// Number of duties that are dealt out.
  virtual uint32_t duties() const = 0;

  /// Joins or stays for a time, which counts from the call's arrival.
  virtual void join(const std::string &Member, Milliseconds Stay,
                    uint64_t Generation, JoinDone Done) = 0;
  virtual void leave(const std::string &Member) = 0;
  /// The members that hold a duty.
  virtual void members(MembersDone Done) = 0;
};

} // namespace monsoon

#endif
