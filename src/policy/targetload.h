#ifndef MONSOON_POLICY_TARGETLOAD_H
#define MONSOON_POLICY_TARGETLOAD_H

#include "core/targetinfo.h"

namespace monsoon {

/// What an entry host knows of one target's load: its own requests in flight,
/// which are exact, the target's last report, which ages, and how long answers
/// took.
class TargetLoad {
public:
  explicit TargetLoad(int Slots);

  void noteSent(TimePoint Now);
  /// An answer came for work that was run, and took this long. Usual is what
  /// such work takes on a machine of ordinary speed.
  void noteAnswered(TimePoint Now, Duration Elapsed, Duration Usual,
                    bool Failed);
  /// The target stated that it did not run the request.
  void noteRefused(TimePoint Now);
  /// No answer came; Blamed is false if the caller left first.
  void noteLost(TimePoint Now, bool Blamed);
  /// No connection could be opened.
  void noteUnreachable(TimePoint Now);
  void noteReport(TimePoint Now, const LoadReport &Report);
  /// The other hosts have told how many requests they have in flight there and
  /// how many wait for it.
  void noteOthers(TimePoint Now, double InFlight, double Waiting);

  int inFlight() const { return m_InFlight; }
  int slots() const { return m_Slots; }

  /// Requests of other hosts at the target, estimated from its last report.
  double othersInFlight(TimePoint Now) const;
  /// Requests that wait at other hosts until the target has room.
  double othersWaiting(TimePoint Now) const;

  /// True while it is left alone after it failed.
  bool isSuspended(TimePoint Now) const { return Now < m_SuspendedUntil; }
  TimePoint suspendedUntil() const { return m_SuspendedUntil; }
  /// True when it has work of this host and has answered nothing for several
  /// times as long as that takes.
  bool isSilent(TimePoint Now, Duration Usual) const;
  /// True if the next request is the first one after a suspension.
  bool isOnTrial() const { return m_FailuresInRow > 0; }

  /// How much longer than on an ordinary machine work takes here, apart from
  /// what the machine's neighbours do just now.
  double steadySlowness(TimePoint Now) const;
  /// The same as things are now.
  double slowness(TimePoint Now) const;

  /// Time that one request takes when none waits.
  Duration serviceTime(TimePoint Now, Duration Usual) const;
  /// Part of a time that would have passed on an ordinary machine without
  /// waiting.
  Duration ordinaryPart(TimePoint Now, Duration Elapsed) const;

  /// Part of the requests that failed or were refused lately.
  double failureRate(TimePoint Now) const;

  /// Time after which one more request would be answered.
  Duration expectedTime(TimePoint Now, Duration Usual) const;

private:
  /// Requests per slot, at least one.
  double crowding(TimePoint Now) const;
  double reportedSlowness(TimePoint Now) const;
  double excess(TimePoint Now) const;
  void noteOutcome(TimePoint Now, bool Failed);
  void suspend(TimePoint Now);

  int m_Slots;
  int m_InFlight = 0;
  /// Since when it has work and has not answered.
  TimePoint m_BusySince{};
  int m_FailuresInRow = 0;
  TimePoint m_SuspendedUntil{};
  /// Measured times relative to those that the reports made expect.
  double m_Excess = 1;
  TimePoint m_MeasuredAt{};
  double m_FailureRate = 0;
  TimePoint m_RatedAt{};
  double m_Others = 0;
  TimePoint m_OthersAt{};
  double m_OthersWaiting = 0;
  TimePoint m_OthersWaitingAt{};
  /// The last reported slowness, and the least one, to which it returns when
  /// the neighbours are quiet.
  double m_Reported = 1;
  double m_LeastReported = 1;
  bool m_HasReported = false;
  TimePoint m_ReportedAt{};
};

} // namespace monsoon

#endif
