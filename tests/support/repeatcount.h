#ifndef MONSOON_TESTS_SUPPORT_REPEATCOUNT_H
#define MONSOON_TESTS_SUPPORT_REPEATCOUNT_H

#include "core/timepoint.h"
#include "policy/retrywindow.h"

#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// Counts the requests for one service and their arrivals at its targets, and
/// compares the repeated arrivals with the allowance as the platform does: in
/// every window, with the requests of that window, of the one before it or of
/// the one half a window before it, whichever has most.
class RepeatCount {
public:
  /// The window with the largest part of its allowance used.
  struct Worst {
    TimePoint m_From{};
    int m_Repeats = 0;
    double m_Allowed = 0;

    double used() const { return m_Allowed > 0 ? m_Repeats / m_Allowed : 0; }
  };

  /// A caller sends a request for the service.
  void noteRequest(TimePoint At) { m_Requests.push_back(At); }
  /// A target of the service receives a request.
  void noteArrival(TimePoint At, const std::string &Id) {
    ++m_Arrivals;
    if (!m_Seen.insert(Id).second)
      m_Repeats.push_back(At);
  }

  size_t arrivals() const { return m_Arrivals; }
  size_t repeats() const { return m_Repeats.size(); }

  /// Looks at the windows that begin in a step of 50 ms from From on.
  Worst worst(const RetryAllowance &Allowance,
              TimePoint From = TimePoint{}) const;

private:
  std::vector<TimePoint> m_Requests;
  std::vector<TimePoint> m_Repeats;
  std::set<std::string> m_Seen;
  size_t m_Arrivals = 0;
};

} // namespace monsoon

#endif
