#ifndef MONSOON_CORE_RETRYBUDGET_H
#define MONSOON_CORE_RETRYBUDGET_H

#include <algorithm>
#include <atomic>

namespace monsoon {

/// Limits extra attempts to a percentage of the first attempts, so that retries
/// can't multiply the load of an overloaded system. Safe for concurrent use.
class RetryBudget {
public:
  /// Maximum number of extra attempts that can accumulate.
  static constexpr int MaxSaved = 10;

  explicit RetryBudget(double Percent) : m_Percent(Percent) {}

  void setPercent(double Percent) { m_Percent = Percent; }

  /// Records a first attempt, which adds m_Percent hundredths of an extra
  /// attempt.
  void earn() {
    const double Saved = m_Hundredths.load(std::memory_order_relaxed);
    m_Hundredths.store(std::min(Saved + m_Percent, MaxSaved * 100.0),
                       std::memory_order_relaxed);
  }

  /// Whether an extra attempt is available.
  bool isAvailable() const {
    return m_Hundredths.load(std::memory_order_relaxed) >= 100;
  }

  /// Takes one extra attempt; returns false when the budget is exhausted.
  bool spend() {
    double Saved = m_Hundredths.load();
    while (Saved >= 100)
      if (m_Hundredths.compare_exchange_weak(Saved, Saved - 100))
        return true;
    return false;
  }

private:
  std::atomic<double> m_Percent;
  std::atomic<double> m_Hundredths{MaxSaved * 100};
};

} // namespace monsoon

#endif
