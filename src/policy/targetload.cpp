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
constexpr Duration SlowdownHalfLife = Milliseconds(150);
constexpr Duration ServiceHalfLife = std::chrono::seconds(6);
constexpr Duration FailureHalfLife = std::chrono::seconds(3);
/// A target that failed is left alone for this time, doubled per further
/// failure up to the longest.
constexpr Duration FirstSuspension = Milliseconds(250);
constexpr Duration LongestSuspension = std::chrono::seconds(2);
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

void TargetLoad::noteSent(TimePoint /*Now*/) { ++m_InFlight; }

void TargetLoad::noteAnswered(TimePoint Now, Duration Elapsed, bool Failed) {
  m_InFlight = std::max(0, m_InFlight - 1);
  m_FailuresInRow = 0;
  m_SuspendedUntil = {};
  noteOutcome(Now, Failed);
  if (Failed)
    return;
  // With more requests than slots a part of the time was spent waiting.
  const double Load = 1 + m_InFlight + othersInFlight(Now);
  const Duration Sample =
      scaled(Elapsed, 1 / std::max(1.0, Load / m_Slots));
  m_ServiceTime = m_ServiceTime
                      ? scaled(*m_ServiceTime, 1 - ServiceWeight) +
                            scaled(Sample, ServiceWeight)
                      : Sample;
  m_MeasuredAt = Now;
}

void TargetLoad::noteRefused(TimePoint Now) {
  m_InFlight = std::max(0, m_InFlight - 1);
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
  // The report counts the answered request itself no more.
  m_Others = std::max(0, Report.m_Running + Report.m_Waiting - m_InFlight);
  m_Slowdown = std::max(0.1, Report.m_Slowdown);
  m_ReportedAt = Now;
}

double TargetLoad::othersInFlight(TimePoint Now) const {
  return m_Others * halved(Now - m_ReportedAt, OthersHalfLife);
}

Duration TargetLoad::serviceTime(TimePoint Now, Duration Usual) const {
  Duration Base = Usual;
  if (m_ServiceTime) {
    const double Weight = halved(Now - m_MeasuredAt, ServiceHalfLife);
    Base = scaled(*m_ServiceTime, Weight) + scaled(Usual, 1 - Weight);
  }
  const double Slowdown =
      1 + (m_Slowdown - 1) * halved(Now - m_ReportedAt, SlowdownHalfLife);
  return scaled(Base, std::max(0.2, Slowdown));
}

double TargetLoad::failureRate(TimePoint Now) const {
  return m_FailureRate * halved(Now - m_RatedAt, FailureHalfLife);
}

Duration TargetLoad::expectedTime(TimePoint Now, Duration Usual) const {
  const double Load = 1 + m_InFlight + othersInFlight(Now);
  const Duration Once =
      scaled(serviceTime(Now, Usual), std::max(1.0, Load / m_Slots));
  // A failed request costs its time and has to be sent again.
  return scaled(Once, 1 / std::max(0.1, 1 - failureRate(Now)));
}

void TargetLoad::noteOutcome(TimePoint Now, bool Failed) {
  m_FailureRate = failureRate(Now) * (1 - OutcomeWeight) +
                  (Failed ? OutcomeWeight : 0);
  m_RatedAt = Now;
}

void TargetLoad::suspend(TimePoint Now) {
  const int Doublings = std::min(m_FailuresInRow - FailuresToSuspend, 4);
  m_SuspendedUntil =
      Now + std::min(FirstSuspension * (1 << Doublings), LongestSuspension);
}

} // namespace monsoon
