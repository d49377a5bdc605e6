#ifndef MONSOON_POLICY_LIMITPACER_H
#define MONSOON_POLICY_LIMITPACER_H

#include "core/hostshare.h"
#include "core/timepoint.h"

#include <string>

namespace monsoon {

/// Spaces the requests of one entry host to a target that has named a limit, so
/// that all entry hosts together stay within it although no host counts the
/// requests of the others.
///
/// The requests that the limit allows in four seconds are divided among the
/// hosts; with fewer requests than hosts some hosts have no share. These hosts
/// together use a quarter of the limit, since only answers tell them that it
/// has ended.
class LimitPacer {
public:
  /// Least time between two requests of this host to the target, at most 15
  /// minutes. PerSecond: the requests per second from all hosts together.
  static Duration interval(double PerSecond, const HostShare &Share,
                           const std::string &TargetId);
};

} // namespace monsoon

#endif
