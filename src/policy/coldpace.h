#ifndef MONSOON_POLICY_COLDPACE_H
#define MONSOON_POLICY_COLDPACE_H

#include "core/hostshare.h"
#include "core/timepoint.h"

#include <string>

namespace monsoon {

/// Paces the requests of one entry host to a cold target, so that all hosts
/// together stay below what it bears. Answers the load pattern in which a
/// target that has just started gets the work of a warm one at once.
class ColdPace {
public:
  /// True when a request may be sent now. PerSecond is what the target bears
  /// over all hosts; the share divides it.
  bool maySend(TimePoint Now, double PerSecond, const HostShare &Share,
               const std::string &TargetId) const;

  void noteSent(TimePoint Now) { m_Last = Now; }

private:
  TimePoint m_Last{};
};

} // namespace monsoon

#endif
