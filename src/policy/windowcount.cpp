#include "policy/windowcount.h"

#include <algorithm>

namespace monsoon {

namespace {

constexpr int StepsPerWindow = 50;

} // namespace

WindowCount::WindowCount(Duration Window)
    : m_Window(Window),
      m_StepLength(std::max<Duration>(Window / StepsPerWindow, Duration(1))) {}

int64_t WindowCount::indexOf(TimePoint At) const {
  return At.time_since_epoch() / m_StepLength;
}

void WindowCount::add(TimePoint At) {
  const int64_t Index = indexOf(At);
  if (m_Steps.empty() || m_Steps.back().m_Index < Index)
    m_Steps.push_back({Index, 0});
  ++m_Steps.back().m_Count;
  ++m_Total;
}

void WindowCount::remove(TimePoint At) {
  const int64_t Index = indexOf(At);
  const auto Found =
      std::find_if(m_Steps.rbegin(), m_Steps.rend(), [Index](const Step &Each) {
        return Each.m_Index <= Index && Each.m_Count > 0;
      });
  if (Found == m_Steps.rend())
    return;
  --Found->m_Count;
  --m_Total;
}

int64_t WindowCount::atMost(TimePoint Now) {
  expire(Now);
  return m_Total;
}

int64_t WindowCount::atLeast(TimePoint Now) {
  expire(Now);
  const bool IsPartial =
      !m_Steps.empty() && m_Steps.front().m_Index == indexOf(Now - m_Window);
  return IsPartial ? m_Total - m_Steps.front().m_Count : m_Total;
}

void WindowCount::expire(TimePoint Now) {
  const int64_t Oldest = indexOf(Now - m_Window);
  while (!m_Steps.empty() && m_Steps.front().m_Index < Oldest) {
    m_Total -= m_Steps.front().m_Count;
    m_Steps.pop_front();
  }
}

} // namespace monsoon
