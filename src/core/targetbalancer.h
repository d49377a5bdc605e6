#ifndef MONSOON_CORE_TARGETBALANCER_H
#define MONSOON_CORE_TARGETBALANCER_H

#include "core/attempt.h"
#include "core/hostshare.h"
#include "core/tables.h"

#include "absl/synchronization/mutex.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace monsoon {

/// State of a target as this entry host sees it.
enum class TargetState { Cold, Warming, Warm, Straggling, Down, Out };

std::string_view targetStateName(TargetState State);

/// Warm-up state of a target, gossiped between entry hosts so that all of them
/// apply the same limit.
struct TargetWarmth {
  std::string m_Pool;
  std::string m_Target;
  /// Incarnation of the target's process.
  std::string m_Instance;
  /// Number of cold starts observed since that incarnation was first seen.
  uint32_t m_ColdCount = 0;
  bool m_Warm = false;
  /// Time since the host learnt of the incarnation or of its last cold start.
  Milliseconds m_Age{0};

  /// Compares all fields except the age.
  friend bool operator==(const TargetWarmth &A, const TargetWarmth &B) {
    return std::tie(A.m_Pool, A.m_Target, A.m_Instance, A.m_ColdCount,
                    A.m_Warm) == std::tie(B.m_Pool, B.m_Target, B.m_Instance,
                                          B.m_ColdCount, B.m_Warm);
  }
};

/// Capacity at a target, reserved for one attempt.
struct Reservation {
  Target m_Target;
  TimePoint m_StartedAt;
  /// Connections that this host may hold to the target.
  int m_ConnectionShare = 1;
};

/// State of a target in operator reports.
struct TargetReport {
  std::string m_Name;
  std::string m_FailureDomain;
  TargetState m_State = TargetState::Cold;
  int m_InFlight = 0;
  /// Requests that this host may have in flight at the target.
  int m_Limit = 0;
  uint64_t m_Answered = 0;
  double m_LatencyMs = 0;
};

/// Balances requests over the targets of one pool and limits the requests in
/// flight at each. Decisions use this host's own in-flight counts and measured
/// latencies, which are exact, rather than load reports, which arrive late.
/// Safe for concurrent use.
///
/// Slow start: the limit of a cold target, summed over all entry hosts, is the
/// pool's cold limit. It doubles after each warm step in which the target
/// answered without congestion, shed load or failure. A new incarnation, a
/// refusal with reason "cold" or an outage restarts the warm-up.
class TargetBalancer {
public:
  explicit TargetBalancer(const Pool &Value);

  /// Installs a new version of the pool; the state of its targets is kept.
  void setPool(const Pool &Value);
  void setShare(const HostShare &Value);
  /// Sets the targets that are about to leave; they get no new requests.
  void setLeaving(std::set<std::string> Names);

  /// Reserves capacity at the best target that is not excluded. Fails with
  /// TargetsBusy when all are excluded or at their limit, with NoTarget when
  /// every target is down or out.
  std::variant<Reservation, ErrorKind>
  reserve(const std::set<std::string> &Excluded, TimePoint Now);

  /// Reserves capacity at one target, the owner of a key. Fails with
  /// OwnerUnknown when it is not in the pool or down, with TargetsBusy when it
  /// is at its limit.
  std::variant<Reservation, ErrorKind> reserveAt(const std::string &Name,
                                                 TimePoint Now);

  /// True while a target that is not out has yet to warm up.
  bool isWarming() const;

  /// Whether the target is still not out. Called right before a request is
  /// sent.
  bool mayStillSend(const std::string &Name) const;

  /// Ends a reservation and updates the target's state from the result.
  void finish(const Reservation &Reserved, const AttemptResult &Result,
              TimePoint Now);

  /// Warm-up state of all targets with a known incarnation, for gossip.
  std::vector<TargetWarmth> warmth(TimePoint Now) const;

  /// Merges the warm-up state that another host gossiped. Of two incarnations
  /// the one seen later wins; for the same incarnation, the state with more
  /// cold starts.
  void learnWarmth(const TargetWarmth &Update, TimePoint Now);

  std::vector<TargetReport> report(TimePoint Now) const;

private:
  struct TargetEntry {
    Target m_Target;
    bool m_InTable = true;
    int m_InFlight = 0;
    std::multiset<TimePoint> m_StartTimes;
    /// Fast moving average of the latency, and the slow one as its baseline.
    double m_AverageLatencyMs = 0;
    double m_BaselineLatencyMs = 0;
    TimePoint m_LatencyUpdatedAt;
    /// Limit summed over all hosts while the target warms up.
    int m_WarmUpLimit = 1;
    TimePoint m_StepStartedAt;
    int m_StepAnswers = 0;
    /// Limit of this host, adapted to the latency.
    double m_AdaptiveLimit = 1;
    TimePoint m_LastDecreaseAt;
    int m_ConsecutiveFailures = 0;
    TimePoint m_DownUntil;
    std::string m_Instance;
    uint32_t m_ColdCount = 0;
    /// When the incarnation, or its last cold start, was noticed.
    TimePoint m_InstanceSince;
    /// When the target last returned its incarnation to this host.
    TimePoint m_ConfirmedAt;
    uint64_t m_Answered = 0;
    /// Value of m_ChoiceCount when the target was last chosen.
    uint64_t m_LastChoice = 0;
  };

  int fullLimit(const TargetEntry &Entry) const
      ABSL_SHARED_LOCKS_REQUIRED(m_Mutex);
  int limit(const TargetEntry &Entry) const ABSL_SHARED_LOCKS_REQUIRED(m_Mutex);
  bool isOut(const TargetEntry &Entry) const
      ABSL_SHARED_LOCKS_REQUIRED(m_Mutex);
  bool isWarm(const TargetEntry &Entry) const
      ABSL_SHARED_LOCKS_REQUIRED(m_Mutex);
  TargetState state(const TargetEntry &Entry, TimePoint Now) const
      ABSL_SHARED_LOCKS_REQUIRED(m_Mutex);
  double score(const TargetEntry &Entry, TimePoint Now) const;
  Reservation reserveSlot(TargetEntry &Entry, TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  void resetWarmUp(TargetEntry &Entry, TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  /// Records that the target is cold again, in the same incarnation or after an
  /// outage.
  void noteColdStart(TargetEntry &Entry, TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  void noteInstance(TargetEntry &Entry, const std::string &Instance,
                    TimePoint Now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  void recordAnswer(TargetEntry &Entry, double LatencyMs, TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  void recordFailure(TargetEntry &Entry, const AttemptResult &Result,
                     TimePoint Now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  void advanceWarmUp(TargetEntry &Entry, TimePoint Now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);

  mutable absl::Mutex m_Mutex;
  Pool m_Pool ABSL_GUARDED_BY(m_Mutex);
  HostShare m_Share ABSL_GUARDED_BY(m_Mutex);
  std::set<std::string> m_Leaving ABSL_GUARDED_BY(m_Mutex);
  std::map<std::string, TargetEntry> m_Entries ABSL_GUARDED_BY(m_Mutex);
  uint64_t m_ChoiceCount ABSL_GUARDED_BY(m_Mutex) = 0;
};

} // namespace monsoon

#endif
