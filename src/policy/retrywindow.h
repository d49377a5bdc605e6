#ifndef MONSOON_POLICY_RETRYWINDOW_H
#define MONSOON_POLICY_RETRYWINDOW_H

#include "core/timepoint.h"

#include <deque>

namespace monsoon {

/// Limit on the retries of a pool within a sliding window, over all entry
/// hosts. A retry is any send of a request after its first one.
struct RetryAllowance {
  /// Retries allowed per request.
  double m_Ratio = 0.1;
  /// Retries allowed per window in addition to that.
  double m_Slack = 10;
  /// Length of the window.
  Duration m_Window = std::chrono::seconds(10);

  friend bool operator==(const RetryAllowance &A, const RetryAllowance &B) {
    return A.m_Ratio == B.m_Ratio && A.m_Slack == B.m_Slack &&
           A.m_Window == B.m_Window;
  }
};

/// Limits the retries of one entry host to its share of a pool's retry
/// allowance in a sliding window. Prevents retry storms, in which failures
/// multiply the load that caused them.
class RetryWindow {
public:
  explicit RetryWindow(RetryAllowance Allowance);

  /// Counts a request (not its retries).
  void noteRequest(TimePoint Now);

  /// Counts one retry and returns true if it is allowed, else returns false.
  /// Hosts is the number of entry hosts that share the allowance.
  bool spend(TimePoint Now, size_t Hosts);

private:
  void expire(TimePoint Now);

  const RetryAllowance m_Allowance;
  std::deque<TimePoint> m_Requests;
  std::deque<TimePoint> m_Retries;
};

} // namespace monsoon

#endif
