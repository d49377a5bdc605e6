#ifndef MONSOON_POLICY_RETRYWINDOW_H
#define MONSOON_POLICY_RETRYWINDOW_H

#include "core/timepoint.h"

#include <deque>

namespace monsoon {

/// How many further sends a pool may get beyond the first of each request, over
/// all entry hosts.
struct RetryAllowance {
  /// Further sends per request.
  double m_Ratio = 0.1;
  /// Further sends that are allowed besides, in a window.
  double m_Slack = 10;
  Duration m_Window = std::chrono::seconds(10);

  friend bool operator==(const RetryAllowance &A, const RetryAllowance &B) {
    return A.m_Ratio == B.m_Ratio && A.m_Slack == B.m_Slack &&
           A.m_Window == B.m_Window;
  }
};

/// Holds an entry host to its part of a pool's retry allowance in a sliding
/// window. Answers the load pattern in which failures multiply the work that
/// caused them.
class RetryWindow {
public:
  explicit RetryWindow(RetryAllowance Allowance);

  void noteRequest(TimePoint Now);

  /// Takes one further send. Hosts is the number of entry hosts that share the
  /// allowance.
  bool spend(TimePoint Now, size_t Hosts);

private:
  void expire(TimePoint Now);

  const RetryAllowance m_Allowance;
  std::deque<TimePoint> m_Requests;
  std::deque<TimePoint> m_Retries;
};

} // namespace monsoon

#endif
