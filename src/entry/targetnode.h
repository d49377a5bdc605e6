#ifndef MONSOON_ENTRY_TARGETNODE_H
#define MONSOON_ENTRY_TARGETNODE_H

#include "core/hostshare.h"
#include "core/targetinfo.h"
#include "net/linkpool.h"
#include "policy/slowstartpacer.h"
#include "policy/targetload.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace monsoon {

/// How this host learnt that a target is leaving.
struct LeaveNotice {
  TimePoint m_LearntAt{};
  /// "read" or "full_read" of the log, "gossip" of its records, "expiry" of a
  /// missing entry, "answer" of the target, or notice of a "peer".
  std::string m_Source;
};

/// One incarnation of a target: its membership entry, its load as seen by this
/// host, its pace while cold and its open connections.
class TargetNode {
public:
  TargetNode(TargetInfo Info, TimePoint Now, std::unique_ptr<LinkPool> Links);

  const TargetInfo &info() const { return m_Info; }
  /// Stable hash of the target's id.
  uint64_t idHash() const { return m_IdHash; }
  /// Applies a membership entry of the same incarnation.
  void update(const TargetInfo &Info, TimePoint Now);

  TargetLoad &load() { return m_Load; }
  const TargetLoad &load() const { return m_Load; }
  LinkPool &links() { return *m_Links; }

  /// True during warm-up, while it can serve only few requests, and while it is
  /// not known whether it is warm.
  bool isCold(TimePoint Now) const {
    return isWarmupUnknown() || Now < m_ColdUntil;
  }
  /// Extends the cold phase to Left from now; never shortens it.
  void setWarmupLeft(TimePoint Now, Duration Left);

  /// Notes that the target may have become cold since its present entry was
  /// written. It then counts as cold until a newer entry tells, or until
  /// confirmWarmup().
  ///
  /// Invariant: this state doesn't take the target out of use, and it ends
  /// without a newer entry, since a target writes one only when more than the
  /// sequence changes.
  void invalidateWarmup(TimePoint Now) { m_WarmupUnknownSince = Now; }
  bool isWarmupUnknown() const { return m_WarmupUnknownSince.has_value(); }
  /// Applies that the entry is known to have been the newest one at KnownAt:
  /// a target that was in need of another entry would have written it by then.
  void confirmWarmup(TimePoint KnownAt);

  /// When this host learnt that the target states that it is leaving; unset
  /// while it does not.
  void setLeavingSince(std::optional<TimePoint> Value) {
    m_LeavingSince = Value;
  }
  const std::optional<TimePoint> &leavingSince() const {
    return m_LeavingSince;
  }

  /// Notes how this host learnt first that the target is leaving or gone.
  void noteLeave(TimePoint Now, const char *Source) {
    if (!m_Leave)
      m_Leave = LeaveNotice{Now, Source};
  }
  const std::optional<LeaveNotice> &leave() const { return m_Leave; }

  /// Requests per second that the target takes from all hosts together, as it
  /// states in its answers; unset if it names no limit.
  void setRequestLimit(std::optional<double> Value) { m_RequestLimit = Value; }
  const std::optional<double> &requestLimit() const { return m_RequestLimit; }

  SlowStartPacer &pace() { return m_Pace; }
  const SlowStartPacer &pace() const { return m_Pace; }

private:
  TargetInfo m_Info;
  const uint64_t m_IdHash;
  TargetLoad m_Load;
  SlowStartPacer m_Pace;
  TimePoint m_ColdUntil{};
  std::optional<TimePoint> m_WarmupUnknownSince;
  std::optional<TimePoint> m_LeavingSince;
  std::optional<LeaveNotice> m_Leave;
  std::optional<double> m_RequestLimit;
  std::unique_ptr<LinkPool> m_Links;
};

using TargetNodePtr = std::shared_ptr<TargetNode>;

} // namespace monsoon

#endif
