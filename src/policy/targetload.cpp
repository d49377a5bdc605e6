#include "policy/targetload.h"

#include <algorithm>
#include <cmath>

namespace monsoon {

namespace {

/// Weight of the newest measurement of the service time.
constexpr double ServiceWeight = 0.2;
/// Weight of the newest outcome in the failure rate.
constexpr double OutcomeWeight = 0.15;
/// Half-lives after which old knowledge has lost half of its weight. The
/// requests of others end within about a service time; what a target's
/// neighbours do changes several times a second; speed changes seldom.
constexpr Duration OthersHalfLife = Milliseconds(300);
constexpr Duration SlownessHalfLife = Milliseconds(250);
constexpr Duration ServiceHalfLife = std::chrono::seconds(6);
constexpr Duration FailureHalfLife = std::chrono::seconds(3);
/// A target that failed is left alone for this time, doubled per further
/// failure up to the longest.
constexpr Duration FirstSuspension = Milliseconds(250);
constexpr Duration LongestSuspension = std::chrono::seconds(2);
/// Machines are not taken to be faster than this.
constexpr double LeastSlowness = 0.2;
/// A target is not taken to be slower than this times what it reports.
constexpr double MostExcess = 20;
/// Factor by which the least report is forgotten with each report.
constexpr double LeastRise = 1.002;
/// A target is silent after this many times the expected time, but no sooner
/// than after as many times the least one, in which a machine may stall.
constexpr int SilentMultiple = 3;
constexpr Duration LeastSilence = Milliseconds(200);
/// Failures in a row without an answer that suspend a target.
constexpr int FailuresToSuspend = 2;

double halved(Duration Age, Duration HalfLife) {
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
    m_BusySince = Now;
}

bool TargetLoad::isSilent(TimePoint Now, Duration Usual) const {
  if (m_InFlight == 0)
    return false;
  const Duration Ordinary =
      std::max<Duration>(expectedTime(Now, Usual), LeastSilence);
  return Now - m_BusySince > SilentMultiple * Ordinary;
}

void TargetLoad::noteAnswered(TimePoint Now, Duration Elapsed, Duration Usual,
                              bool Failed) {
  m_InFlight = std::max(0, m_InFlight - 1);
  m_BusySince = Now;
  m_FailuresInRow = 0;
  m_SuspendedUntil = {};
  noteOutcome(Now, Failed);
  if (Failed)
    return;
  const double Ratio = std::chrono::duration<double>(Elapsed).count() /
                       std::chrono::duration<double>(Usual).count() /
                       reportedSlowness(Now) / crowding(Now);
  m_Excess =
      std::clamp(excess(Now) * (1 - ServiceWeight) + Ratio * ServiceWeight,
                 LeastSlowness, MostExcess);
  m_MeasuredAt = Now;
}

void TargetLoad::noteRefused(TimePoint Now) {
  m_InFlight = std::max(0, m_InFlight - 1);
  m_BusySince = Now;
  noteOutcome(Now, true);
}

void TargetLoad::noteLost(TimePoint Now, bool Blamed) {
  m_InFlight = std::max(0, m_InFlight - 1);
  if (!Blamed)
    return;
  noteOutcome(Now, true);
  if (++m_FailuresInRow >= FailuresToSuspend)
    suspend(Now);
}

void TargetLoad::noteUnreachable(TimePoint Now) {
  m_InFlight = std::max(0, m_InFlight - 1);
  noteOutcome(Now, true);
  m_FailuresInRow = std::max(m_FailuresInRow + 1, FailuresToSuspend);
  suspend(Now);
}

void TargetLoad::noteReport(TimePoint Now, const LoadReport &Report) {
  if (Report.m_Slots > 0)
    m_Slots = Report.m_Slots;
  // The answered request is among this host's own, but not in the report.
  m_Others = std::max(0, Report.m_Running + Report.m_Waiting + 1 - m_InFlight);
  m_Reported = std::max(LeastSlowness, Report.m_Slowdown);
  // The least report is that of the machine itself; it is let go slowly, since
  // a target may be moved to another machine.
  m_LeastReported = m_HasReported
                        ? std::min(m_Reported, m_LeastReported * LeastRise)
                        : m_Reported;
  m_HasReported = true;
  m_ReportedAt = m_OthersAt = Now;
}

void TargetLoad::noteOthers(TimePoint Now, double InFlight, double Waiting) {
  m_Others = InFlight;
  m_OthersWaiting = Waiting;
  m_OthersAt = m_OthersWaitingAt = Now;
}

double TargetLoad::othersInFlight(TimePoint Now) const {
  return m_Others * halved(Now - m_OthersAt, OthersHalfLife);
}

double TargetLoad::othersWaiting(TimePoint Now) const {
  return m_OthersWaiting * halved(Now - m_OthersWaitingAt, OthersHalfLife);
}

double TargetLoad::crowding(TimePoint Now) const {
  return std::max(1.0, (1 + m_InFlight + othersInFlight(Now)) / m_Slots);
}

double TargetLoad::reportedSlowness(TimePoint Now) const {
  return m_LeastReported + (m_Reported - m_LeastReported) *
                               halved(Now - m_ReportedAt, SlownessHalfLife);
}

double TargetLoad::excess(TimePoint Now) const {
  return 1 + (m_Excess - 1) * halved(Now - m_MeasuredAt, ServiceHalfLife);
}

double TargetLoad::steadySlowness(TimePoint Now) const {
  return m_LeastReported * excess(Now);
}

double TargetLoad::slowness(TimePoint Now) const {
  return reportedSlowness(Now) * excess(Now);
}

Duration TargetLoad::serviceTime(TimePoint Now, Duration Usual) const {
  return scaled(Usual, slowness(Now));
}

Duration TargetLoad::ordinaryPart(TimePoint Now, Duration Elapsed) const {
  return scaled(Elapsed, 1 / reportedSlowness(Now) / crowding(Now));
}

double TargetLoad::failureRate(TimePoint Now) const {
  return m_FailureRate * halved(Now - m_RatedAt, FailureHalfLife);
}

Duration TargetLoad::expectedTime(TimePoint Now, Duration Usual) const {
  const Duration Once = scaled(serviceTime(Now, Usual), crowding(Now));
  // A failed request costs its time and has to be sent again.
  return scaled(Once, 1 / std::max(0.1, 1 - failureRate(Now)));
}

void TargetLoad::noteOutcome(TimePoint Now, bool Failed) {
  m_FailureRate =
      failureRate(Now) * (1 - OutcomeWeight) + (Failed ? OutcomeWeight : 0);
  m_RatedAt = Now;
}

void TargetLoad::suspend(TimePoint Now) {
  const int Doublings = std::min(m_FailuresInRow - FailuresToSuspend, 4);
  m_SuspendedUntil =
      Now + std::min(FirstSuspension * (1 << Doublings), LongestSuspension);
}

} // namespace monsoon
