#ifndef MONSOON_POLICY_TARGETLOAD_H
#define MONSOON_POLICY_TARGETLOAD_H

#include "core/targetinfo.h"

namespace monsoon {

/// One entry host's estimate of the load of one target. Inputs are the host's
/// own requests in flight (exact), the target's load reports and the load
/// gossip of the peers (both lose weight with age), and measured answer times
/// and failures.
///
/// Slowdown is the time of work on the target's machine relative to a reference
/// machine. It is the reported slowdown times a correction, the moving average
/// of measured times relative to the times that the reports predict.
///
/// After two consecutive failures without an answer, or one failed connection,
/// the target is ejected for 250 ms, doubled with each further failure up to
/// 2 s. From a failure until the next answer it gets one request at a time.
class TargetLoad {
public:
  explicit TargetLoad(int Slots);

  void noteSent(TimePoint Now);
  /// An answer arrived for a request that was executed. Elapsed is the time
  /// since it was sent; Usual is the time of such work on a reference machine.
  void noteAnswered(TimePoint Now, Duration Elapsed, Duration Usual,
                    bool Failed);
  /// The target answered that it did not execute the request.
  void noteRefused(TimePoint Now);
  /// No answer arrived. CountsAsFailure is false if the caller disconnected
  /// first.
  void noteLost(TimePoint Now, bool CountsAsFailure);
  /// No connection could be opened.
  void noteUnreachable(TimePoint Now);
  /// The target sent a load report with an answer.
  void noteReport(TimePoint Now, const LoadReport &Report);
  /// Sets the peers' requests in flight at the target and those that wait for
  /// it at peers, both learnt by gossip.
  void setPeerLoad(TimePoint Now, double InFlight, double Waiting);

  int inFlight() const { return m_InFlight; }
  int slots() const { return m_Slots; }

  /// Estimated requests of the peers at the target, from its last report or
  /// from gossip, whichever is newer.
  double peersInFlight(TimePoint Now) const;
  /// Estimated requests that wait at peers for capacity of the target.
  double peersWaiting(TimePoint Now) const;

  /// True while the target is ejected after failures.
  bool isEjected(TimePoint Now) const { return Now < m_EjectedUntil; }
  TimePoint ejectedUntil() const { return m_EjectedUntil; }
  /// True if the target has requests of this host in flight and has answered
  /// none for three times the expected time, at least 600 ms.
  bool isUnresponsive(TimePoint Now, Duration Usual) const;
  /// True from a failure without an answer until the next executed request is
  /// answered. The target then gets one request at a time.
  bool isOnProbation() const { return m_FailuresInRow > 0; }

  /// Slowdown of the target without the present load of its neighbours on the
  /// machine.
  double baselineSlowdown(TimePoint Now) const;
  /// Slowdown of the target including that load.
  double currentSlowdown(TimePoint Now) const;

  /// Expected time to serve one request without queueing.
  Duration serviceTime(TimePoint Now, Duration Usual) const;
  /// Converts a measured time to that on a reference machine without queueing.
  Duration normalizedTime(TimePoint Now, Duration Elapsed) const;

  /// Fraction of recent requests that failed or were refused.
  double failureRate(TimePoint Now) const;

  /// Expected time to answer one more request, with queueing and failures.
  Duration expectedTime(TimePoint Now, Duration Usual) const;

private:
  /// Requests per slot, counting one more request; at least 1.
  double contention(TimePoint Now) const;
  double reportedSlowdown(TimePoint Now) const;
  double correction(TimePoint Now) const;
  void noteOutcome(TimePoint Now, bool Failed);
  void eject(TimePoint Now);

  int m_Slots;
  int m_InFlight = 0;
  /// Time of the last answer, or of the first send after that if nothing was in
  /// flight.
  TimePoint m_UnansweredSince{};
  int m_FailuresInRow = 0;
  TimePoint m_EjectedUntil{};
  /// Measured times relative to the times that the reports predict.
  double m_Correction = 1;
  TimePoint m_MeasuredAt{};
  double m_FailureRate = 0;
  TimePoint m_FailureRateAt{};
  double m_PeersInFlight = 0;
  TimePoint m_PeersInFlightAt{};
  double m_PeersWaiting = 0;
  TimePoint m_PeersWaitingAt{};
  /// The last reported slowdown, and the lowest one, to which the estimate
  /// returns as the last report ages.
  double m_ReportedSlowdown = 1;
  double m_LowestSlowdown = 1;
  bool m_HasReport = false;
  TimePoint m_ReportedAt{};
};

} // namespace monsoon

#endif
