#ifndef MONSOON_POLICY_RETRYWINDOW_H
#define MONSOON_POLICY_RETRYWINDOW_H

#include "policy/windowcount.h"

#include <cstdint>

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

/// What a host may use of the allowance that all hosts share.
struct RetryShare {
  /// Its part of the slack, 0 to 1.
  double m_Slack = 0;
  /// The part of all hosts that are in their first window, 0 to 1.
  double m_NewHosts = 1;
};

/// Limits the retries of one entry host to its part of a pool's retry
/// allowance in a sliding window. Prevents retry storms, in which failures
/// multiply the load that caused them.
///
/// Invariant: what counts is the moment at which a retry is sent. From
/// reserve() until then it counts in every window, however long the request is
/// queued.
///
/// The part by the ratio follows from the requests of this process alone, so it
/// needs no knowledge of the other hosts. The part of the slack does; see
/// LimitShare.
///
/// Invariant: a process that is replaced leaves to its successor what it could
/// not spend itself. It may have spent all of its part just before it ended, so
/// until a window has passed all new processes together use no more than the
/// margin.
class RetryWindow {
public:
  /// Start: when this process began to count for the pool.
  RetryWindow(RetryAllowance Allowance, TimePoint Start);

  /// Counts a request (not its retries).
  void noteRequest(TimePoint Now);

  /// Reserves one retry and returns true if it is allowed, else returns false.
  /// A reserved retry is either sent or given back.
  bool reserve(TimePoint Now, const RetryShare &Share);
  /// A reserved retry is sent now.
  void noteSent(TimePoint Now);
  /// The retry that was sent at that time has certainly not reached a target;
  /// it is reserved again.
  void noteNotSent(TimePoint SentAt);
  /// A reserved retry won't be sent.
  void giveBack();

  /// Retries that are allowed in the window that ends now.
  double allowed(TimePoint Now, const RetryShare &Share);
  /// Those of them that were sent or are reserved.
  int64_t spent(TimePoint Now);
  /// Number of calls of reserve() that returned false.
  int64_t denied() const { return m_Denied; }

  const RetryAllowance &allowance() const { return m_Allowance; }

private:
  const RetryAllowance m_Allowance;
  const TimePoint m_Start;
  WindowCount m_Requests;
  WindowCount m_Sent;
  int64_t m_Reserved = 0;
  int64_t m_Denied = 0;
};

} // namespace monsoon

#endif
