#include "policy/targetload.h"

#include <algorithm>
#include <cmath>

namespace monsoon {

namespace {

/// Weight of the newest measurement in the moving average of the correction.
constexpr double MeasurementWeight = 0.2;
/// Weight of the newest outcome in the moving average of the failure rate.
constexpr double OutcomeWeight = 0.15;
/// Half-lives of the weights of old values. Requests of peers end within about
/// a service time; the load of the target's neighbours on its machine changes
/// several times a second; the speed of the machine changes rarely.
constexpr Duration PeersHalfLife = Milliseconds(300);
constexpr Duration SlowdownHalfLife = Milliseconds(250);
constexpr Duration CorrectionHalfLife = std::chrono::seconds(6);
constexpr Duration FailureHalfLife = std::chrono::seconds(3);
/// Time for which a target is ejected after failures, doubled with each
/// further failure up to MaxEjection.
constexpr Duration FirstEjection = Milliseconds(250);
constexpr Duration MaxEjection = std::chrono::seconds(2);
/// Lower bound of the slowdown and of the correction of a target.
constexpr double MinSlowdown = 0.2;
/// Upper bound of the correction of a target's reported slowdown.
constexpr double MaxCorrection = 20;
/// Factor by which the lowest reported slowdown rises with each report.
constexpr double LowestSlowdownGrowth = 1.002;
/// A target is unresponsive after this multiple of the expected time, which
/// counts as at least MinExpectedTime, since a machine may stall for that long.
constexpr int UnresponsiveMultiple = 3;
constexpr Duration MinExpectedTime = Milliseconds(200);
/// Consecutive failures without an answer that eject a target.
constexpr int FailuresToEject = 2;

double decay(Duration Age, Duration HalfLife) {
  return std::exp2(-std::chrono::duration<double>(Age).count() /
                   std::chrono::duration<double>(HalfLife).count());
}

Duration scaled(Duration Length, double Factor) {
  return std::chrono::duration_cast<Duration>(Length * Factor);
}

} // namespace

TargetLoad::TargetLoad(int Slots) : m_Slots(std::max(1, Slots)) {}

void TargetLoad::noteSent(TimePoint Now) {
  if (m_InFlight++ == 0)
    m_UnansweredSince = Now;
}

bool TargetLoad::isUnresponsive(TimePoint Now, Duration Usual) const {
  if (m_InFlight == 0)
    return false;
  const Duration Expected =
      std::max<Duration>(expectedTime(Now, Usual), MinExpectedTime);
  return Now - m_UnansweredSince > UnresponsiveMultiple * Expected;
}

void TargetLoad::noteAnswered(TimePoint Now, Duration Elapsed, Duration Usual,
                              bool Failed) {
  m_InFlight = std::max(0, m_InFlight - 1);
  m_UnansweredSince = Now;
  m_FailuresInRow = 0;
  m_EjectedUntil = {};
  noteOutcome(Now, Failed);
  if (Failed)
    return;
  const double Ratio = std::chrono::duration<double>(Elapsed).count() /
                       std::chrono::duration<double>(Usual).count() /
                       reportedSlowdown(Now) / contention(Now);
  m_Correction = std::clamp(correction(Now) * (1 - MeasurementWeight) +
                                Ratio * MeasurementWeight,
                            MinSlowdown, MaxCorrection);
  m_MeasuredAt = Now;
}

void TargetLoad::noteRefused(TimePoint Now) {
  m_InFlight = std::max(0, m_InFlight - 1);
  m_UnansweredSince = Now;
  noteOutcome(Now, true);
}

void TargetLoad::noteLost(TimePoint Now, bool CountsAsFailure) {
  m_InFlight = std::max(0, m_InFlight - 1);
  if (!CountsAsFailure)
    return;
  noteOutcome(Now, true);
  if (++m_FailuresInRow >= FailuresToEject)
    eject(Now);
}

void TargetLoad::noteUnreachable(TimePoint Now) {
  m_InFlight = std::max(0, m_InFlight - 1);
  noteOutcome(Now, true);
  m_FailuresInRow = std::max(m_FailuresInRow + 1, FailuresToEject);
  eject(Now);
}

void TargetLoad::noteReport(TimePoint Now, const LoadReport &Report) {
  if (Report.m_Slots > 0)
    m_Slots = Report.m_Slots;
  // The answered request still counts as in flight here, but is no longer in
  // the report.
  m_PeersInFlight =
      std::max(0, Report.m_Running + Report.m_Waiting + 1 - m_InFlight);
  m_ReportedSlowdown = std::max(MinSlowdown, Report.m_Slowdown);
  // The lowest report is that of the machine without other load. It rises
  // slowly, since a target may be moved to another machine.
  m_LowestSlowdown = m_HasReport
                         ? std::min(m_ReportedSlowdown,
                                    m_LowestSlowdown * LowestSlowdownGrowth)
                         : m_ReportedSlowdown;
  m_HasReport = true;
  m_ReportedAt = m_PeersInFlightAt = Now;
}

void TargetLoad::setPeerLoad(TimePoint Now, double InFlight, double Waiting) {
  m_PeersInFlight = InFlight;
  m_PeersWaiting = Waiting;
  m_PeersInFlightAt = m_PeersWaitingAt = Now;
}

double TargetLoad::peersInFlight(TimePoint Now) const {
  return m_PeersInFlight * decay(Now - m_PeersInFlightAt, PeersHalfLife);
}

double TargetLoad::peersWaiting(TimePoint Now) const {
  return m_PeersWaiting * decay(Now - m_PeersWaitingAt, PeersHalfLife);
}

double TargetLoad::contention(TimePoint Now) const {
  return std::max(1.0, (1 + m_InFlight + peersInFlight(Now)) / m_Slots);
}

double TargetLoad::reportedSlowdown(TimePoint Now) const {
  return m_LowestSlowdown + (m_ReportedSlowdown - m_LowestSlowdown) *
                                decay(Now - m_ReportedAt, SlowdownHalfLife);
}

double TargetLoad::correction(TimePoint Now) const {
  return 1 + (m_Correction - 1) * decay(Now - m_MeasuredAt, CorrectionHalfLife);
}

double TargetLoad::baselineSlowdown(TimePoint Now) const {
  return m_LowestSlowdown * correction(Now);
}

double TargetLoad::currentSlowdown(TimePoint Now) const {
  return reportedSlowdown(Now) * correction(Now);
}

Duration TargetLoad::serviceTime(TimePoint Now, Duration Usual) const {
  return scaled(Usual, currentSlowdown(Now));
}

Duration TargetLoad::normalizedTime(TimePoint Now, Duration Elapsed) const {
  return scaled(Elapsed, 1 / reportedSlowdown(Now) / contention(Now));
}

double TargetLoad::failureRate(TimePoint Now) const {
  return m_FailureRate * decay(Now - m_FailureRateAt, FailureHalfLife);
}

Duration TargetLoad::expectedTime(TimePoint Now, Duration Usual) const {
  const Duration Once = scaled(serviceTime(Now, Usual), contention(Now));
  // A failed request takes this time and then has to be sent again.
  return scaled(Once, 1 / std::max(0.1, 1 - failureRate(Now)));
}

void TargetLoad::noteOutcome(TimePoint Now, bool Failed) {
  m_FailureRate =
      failureRate(Now) * (1 - OutcomeWeight) + (Failed ? OutcomeWeight : 0);
  m_FailureRateAt = Now;
}

void TargetLoad::eject(TimePoint Now) {
  const int Doublings = std::min(m_FailuresInRow - FailuresToEject, 4);
  m_EjectedUntil =
      Now + std::min(FirstEjection * (1 << Doublings), MaxEjection);
}

} // namespace monsoon
