#ifndef MONSOON_TELEMETRY_LINEBUDGET_H
#define MONSOON_TELEMETRY_LINEBUDGET_H

#include "core/timepoint.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace monsoon {

/// Limits how many lines of one kind are logged, so that the log's volume does
/// not grow with the load.
class LineBudget {
public:
  LineBudget(double PerSecond, double Burst)
      : m_PerSecond(PerSecond), m_Burst(Burst), m_Left(Burst) {}

  /// Takes a line; false when it has to be left out.
  bool take(TimePoint Now) {
    const double Passed = std::chrono::duration<double>(Now - m_Last).count();
    m_Left = std::min(m_Burst, m_Left + Passed * m_PerSecond);
    m_Last = Now;
    if (m_Left < 1) {
      ++m_LeftOut;
      return false;
    }
    m_Left -= 1;
    return true;
  }

  /// Lines left out since the last call.
  uint64_t takeLeftOut() { return std::exchange(m_LeftOut, 0); }

private:
  const double m_PerSecond;
  const double m_Burst;
  double m_Left;
  TimePoint m_Last{};
  uint64_t m_LeftOut = 0;
};

} // namespace monsoon

#endif
