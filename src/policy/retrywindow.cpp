#include "policy/retrywindow.h"

#include <algorithm>

namespace monsoon {

namespace {

/// Fraction of the allowance that is used. The rest is a margin, since the
/// hosts' clocks differ and requests don't divide evenly among the hosts.
constexpr double UsedFraction = 0.8;

} // namespace

RetryWindow::RetryWindow(RetryAllowance Allowance) : m_Allowance(Allowance) {}

void RetryWindow::noteRequest(TimePoint Now) {
  expire(Now);
  m_Requests.push_back(Now);
}

bool RetryWindow::spend(TimePoint Now, size_t Hosts) {
  expire(Now);
  const double Sharers = static_cast<double>(std::max<size_t>(Hosts, 1));
  const double Allowed =
      UsedFraction *
      (m_Allowance.m_Ratio * static_cast<double>(m_Requests.size()) +
       m_Allowance.m_Slack / Sharers);
  if (static_cast<double>(m_Retries.size() + 1) > Allowed)
    return false;
  m_Retries.push_back(Now);
  return true;
}

void RetryWindow::expire(TimePoint Now) {
  const TimePoint Oldest = Now - m_Allowance.m_Window;
  while (!m_Requests.empty() && m_Requests.front() < Oldest)
    m_Requests.pop_front();
  while (!m_Retries.empty() && m_Retries.front() < Oldest)
    m_Retries.pop_front();
}

} // namespace monsoon
