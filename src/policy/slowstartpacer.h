#ifndef MONSOON_POLICY_SLOWSTARTPACER_H
#define MONSOON_POLICY_SLOWSTARTPACER_H

#include "core/hostshare.h"
#include "core/timepoint.h"

#include <string>

namespace monsoon {

/// Paces the requests of one entry host to one cold target, so that all entry
/// hosts together stay within the target's capacity during warm-up. Without it
/// a target that has just started gets the load of a warm one at once.
class SlowStartPacer {
public:
  /// True if this host may send a request now. PerSecond is the rate in
  /// requests per second that the target can take from all entry hosts
  /// together; Share gives this host's part of it.
  bool maySend(TimePoint Now, double PerSecond, const HostShare &Share,
               const std::string &TargetId) const;

  void noteSent(TimePoint Now) { m_LastSent = Now; }
  /// When the last request was sent; the epoch of the clock if none was.
  TimePoint lastSent() const { return m_LastSent; }

private:
  TimePoint m_LastSent{};
};

} // namespace monsoon

#endif
