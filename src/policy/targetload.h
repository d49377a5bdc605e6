#ifndef MONSOON_POLICY_TARGETLOAD_H
#define MONSOON_POLICY_TARGETLOAD_H

#include "core/targetinfo.h"

#include <optional>

namespace monsoon {

/// What an entry host knows of one target's load: its own requests in flight,
/// which are exact, the target's last report, which ages, and how long answers
/// took.
class TargetLoad {
public:
  explicit TargetLoad(int Slots);

  void noteSent(TimePoint Now);
  /// An answer came for work that was run.
  void noteAnswered(TimePoint Now, Duration Elapsed, bool Failed);
  /// The target stated that it did not run the request.
  void noteRefused(TimePoint Now);
  /// No answer came; Blamed is false if the caller left first.
  void noteLost(TimePoint Now, bool Blamed);
  /// No connection could be opened.
  void noteUnreachable(TimePoint Now);
  void noteReport(TimePoint Now, const LoadReport &Report);

  int inFlight() const { return m_InFlight; }
  int slots() const { return m_Slots; }

  /// Requests of other hosts at the target, estimated from its last report.
  double othersInFlight(TimePoint Now) const;

  /// True while it is left alone after it failed.
  bool isSuspended(TimePoint Now) const { return Now < m_SuspendedUntil; }
  TimePoint suspendedUntil() const { return m_SuspendedUntil; }
  /// True if the next request is the first one after a suspension.
  bool isOnTrial() const { return m_FailuresInRow > 0; }

  /// Time that one request takes when none waits. Usual is that of the pool,
  /// to which the estimate returns while nothing is measured.
  Duration serviceTime(TimePoint Now, Duration Usual) const;

  /// Part of the requests that failed or were refused lately.
  double failureRate(TimePoint Now) const;

  /// Time after which one more request would be answered.
  Duration expectedTime(TimePoint Now, Duration Usual) const;

private:
  void noteOutcome(TimePoint Now, bool Failed);
  void suspend(TimePoint Now);

  int m_Slots;
  int m_InFlight = 0;
  int m_FailuresInRow = 0;
  TimePoint m_SuspendedUntil{};
  std::optional<Duration> m_ServiceTime;
  TimePoint m_MeasuredAt{};
  double m_FailureRate = 0;
  TimePoint m_RatedAt{};
  double m_Others = 0;
  double m_Slowdown = 1;
  TimePoint m_ReportedAt{};
};

} // namespace monsoon

#endif
