#ifndef MONSOON_POLICY_WINDOWCOUNT_H
#define MONSOON_POLICY_WINDOWCOUNT_H

#include "core/timepoint.h"

#include <cstdint>
#include <deque>

namespace monsoon {

/// Counts events in a sliding window, in steps of a fiftieth of it, so that the
/// memory doesn't grow with the number of events.
class WindowCount {
public:
  explicit WindowCount(Duration Window);

  void add(TimePoint At);
  /// Removes an event that was added at that time.
  void remove(TimePoint At);
  /// Number of events in the window that ends now, without those of the step in
  /// which it begins.
  int64_t atLeast(TimePoint Now);
  /// The same with those of that step.
  int64_t atMost(TimePoint Now);

private:
  struct Step {
    int64_t m_Index = 0;
    int64_t m_Count = 0;
  };

  int64_t indexOf(TimePoint At) const;
  void expire(TimePoint Now);

  const Duration m_Window;
  const Duration m_StepLength;
  std::deque<Step> m_Steps;
  int64_t m_Total = 0;
};

} // namespace monsoon

#endif
