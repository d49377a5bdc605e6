#ifndef MONSOON_TELEMETRY_LINEBUDGET_H
#define MONSOON_TELEMETRY_LINEBUDGET_H

#include "core/timepoint.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace monsoon {

/// Token bucket that limits how many lines of one kind are logged, so that the
/// log's volume does not grow with the load. Not safe for concurrent use.
class LineBudget {
public:
  /// Allows PerSecond lines a second and up to Burst lines at once.
  LineBudget(double PerSecond, double Burst)
      : m_PerSecond(PerSecond), m_Burst(Burst), m_Tokens(Burst) {}

  /// Takes the token for one line; false if the line must be suppressed.
  bool take(TimePoint Now) {
    const double Elapsed =
        std::chrono::duration<double>(Now - m_LastTake).count();
    m_Tokens = std::min(m_Burst, m_Tokens + Elapsed * m_PerSecond);
    m_LastTake = Now;
    if (m_Tokens < 1) {
      ++m_Suppressed;
      return false;
    }
    m_Tokens -= 1;
    return true;
  }

  /// Returns the number of lines suppressed since the last call.
  uint64_t takeSuppressed() { return std::exchange(m_Suppressed, 0); }

private:
  const double m_PerSecond;
  const double m_Burst;
  double m_Tokens;
  TimePoint m_LastTake{};
  uint64_t m_Suppressed = 0;
};

} // namespace monsoon

#endif
