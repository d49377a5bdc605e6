#include "policy/retrywindow.h"

#include <algorithm>

namespace monsoon {

namespace {

/// Fraction of the allowance that is used. The rest is a margin for the time
/// from a send to its arrival, and for windows in which the requests of the
/// hosts rise and fall at different times.
constexpr double UsedFraction = 0.8;
/// Fraction of the whole allowance that all hosts in their first window use
/// together.
constexpr double NewHostsFraction = 0.15;

} // namespace

RetryWindow::RetryWindow(RetryAllowance Allowance, TimePoint Start)
    : m_Allowance(Allowance), m_Start(Start), m_Requests(Allowance.m_Window),
      m_Sent(Allowance.m_Window) {}

void RetryWindow::noteRequest(TimePoint Now) { m_Requests.add(Now); }

bool RetryWindow::reserve(TimePoint Now, const RetryShare &Share) {
  if (static_cast<double>(spent(Now) + 1) > allowed(Now, Share)) {
    ++m_Denied;
    return false;
  }
  ++m_Reserved;
  return true;
}

void RetryWindow::noteSent(TimePoint Now) {
  --m_Reserved;
  m_Sent.add(Now);
}

void RetryWindow::noteNotSent(TimePoint SentAt) {
  m_Sent.remove(SentAt);
  ++m_Reserved;
}

void RetryWindow::giveBack() { --m_Reserved; }

double RetryWindow::allowed(TimePoint Now, const RetryShare &Share) {
  double Fraction = UsedFraction;
  if (Now - m_Start < m_Allowance.m_Window)
    Fraction = std::min(UsedFraction,
                        NewHostsFraction / std::max(Share.m_NewHosts, 0.01));
  return Fraction *
         (m_Allowance.m_Ratio * static_cast<double>(m_Requests.atLeast(Now)) +
          m_Allowance.m_Slack * Share.m_Slack);
}

int64_t RetryWindow::spent(TimePoint Now) {
  return m_Sent.atMost(Now) + m_Reserved;
}

} // namespace monsoon
