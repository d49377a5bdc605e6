#include "policy/hostload.h"

#include <algorithm>

namespace monsoon {

namespace {

/// Lateness from which on requests are shed. A host whose processor share is
/// given in slices of 100 ms is late by up to that although it keeps up.
constexpr Milliseconds LateAfter{150};
/// Lateness below which more requests are admitted again.
constexpr Milliseconds InTimeBelow{100};
/// Bound of one reduction.
constexpr double LargestReduction = 0.5;
/// Time between two reductions: the effect of one is measured before the next.
constexpr Milliseconds ReductionInterval{200};
/// The admitted fraction rises from none to all in this time.
constexpr double RecoverySeconds = 8;
/// Fraction of that speed while the loop is late, but less than LateAfter.
constexpr double SlowRecovery = 0.1;
/// Some requests are always admitted, so that the recovery is measured.
constexpr double MinAdmitted = 0.05;
/// Time at the lowest fraction after which the host counts as full.
constexpr Milliseconds FullAfter{500};
constexpr Milliseconds MinLevelTime{500};
/// Part of the counted arrivals that is left after a tick.
constexpr double RetainedPerTick = 0.9;
/// Fraction of each priority that is always admitted, so that a caller that
/// comes back gets through in the end.
constexpr double MinAdmittedOfPriority = 0.02;
constexpr uint64_t HashSteps = 1000;
constexpr int64_t MinRetryAfterMs = 50;
constexpr int64_t MaxRetryAfterMs = 300;

} // namespace

const char *hostLoadLevelName(HostLoadLevel Level) {
  switch (Level) {
  case HostLoadLevel::Normal:
    return "normal";
  case HostLoadLevel::Shedding:
    return "shedding";
  case HostLoadLevel::Full:
    return "full";
  }
  return "normal";
}

void HostLoad::noteTick(TimePoint Now, Duration Interval) {
  m_Interval = Interval;
  if (m_LastTick == TimePoint{}) {
    m_LastTick = Now;
    return;
  }
  const Duration Passed = Now - m_LastTick;
  m_LastLateness = std::max(Duration::zero(), Passed - Interval);
  m_LastTick = Now;
  if (m_LastLateness > LateAfter) {
    if (Now - m_ReducedAt >= ReductionInterval) {
      m_ReducedAt = Now;
      const double Kept = std::chrono::duration<double>(LateAfter) /
                          std::chrono::duration<double>(m_LastLateness);
      m_Admitted = std::max(MinAdmitted,
                            m_Admitted * std::max(Kept, 1 - LargestReduction));
    }
  } else {
    const double Step =
        std::chrono::duration<double>(Passed).count() / RecoverySeconds;
    m_Admitted = std::min(1.0, m_Admitted + (m_LastLateness < InTimeBelow
                                                 ? Step
                                                 : Step * SlowRecovery));
  }
  for (double &Each : m_Arrivals)
    Each *= RetainedPerTick;
  updateLevel(Now);
}

void HostLoad::updateLevel(TimePoint Now) {
  if (m_Admitted > MinAdmitted)
    m_LowestSince = Now;
  HostLoadLevel Next = HostLoadLevel::Normal;
  if (Now - m_LowestSince >= FullAfter)
    Next = HostLoadLevel::Full;
  else if (m_Admitted < 1)
    Next = HostLoadLevel::Shedding;
  if (Next == m_Level || Now - m_LevelAt < MinLevelTime)
    return;
  m_Level = Next;
  m_LevelAt = Now;
}

Duration HostLoad::lateness(TimePoint Now) const {
  if (m_LastTick == TimePoint{})
    return Duration::zero();
  // What was queued before the last tick may still be handled.
  return std::max(m_LastLateness, Now - m_LastTick - m_Interval);
}

void HostLoad::noteArrival(int Priority) { m_Arrivals[rankOf(Priority)] += 1; }

bool HostLoad::admits(int Priority, uint64_t RequestHash) const {
  if (m_Admitted >= 1)
    return true;
  const size_t Rank = rankOf(Priority);
  double Remaining = 0;
  for (const double Each : m_Arrivals)
    Remaining += m_Admitted * Each;
  for (size_t Higher = 0; Higher < Rank; ++Higher)
    Remaining -= m_Arrivals[Higher];
  const double Fraction = std::max(MinAdmittedOfPriority,
                                   Remaining / std::max(1.0, m_Arrivals[Rank]));
  return static_cast<double>(RequestHash % HashSteps) <
         Fraction * static_cast<double>(HashSteps);
}

size_t HostLoad::rankOf(int Priority) const {
  return static_cast<size_t>(
      std::clamp(Priority, 0, static_cast<int>(m_Arrivals.size()) - 1));
}

Milliseconds HostLoad::retryAfter(uint64_t RequestHash) {
  return Milliseconds(
      MinRetryAfterMs +
      static_cast<int64_t>(RequestHash % (MaxRetryAfterMs - MinRetryAfterMs)));
}

} // namespace monsoon
