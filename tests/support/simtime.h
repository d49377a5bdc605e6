#ifndef MONSOON_TESTS_SUPPORT_SIMTIME_H
#define MONSOON_TESTS_SUPPORT_SIMTIME_H

#include "ports/clock.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace monsoon {

/// Simulated clock with a queue of events that run when they are due.
class SimTime : public Clock {
public:
  TimePoint now() const override { return m_Now; }
  /// Schedules What; a time in the past means now.
  void at(TimePoint When, std::function<void()> What);
  void after(Duration Delay, std::function<void()> What) {
    at(m_Now + Delay, std::move(What));
  }
  /// Advances the clock by Length and runs the events due until then.
  void run(Duration Length);

private:
  struct Event {
    TimePoint m_When;
    uint64_t m_Order;
    std::function<void()> m_What;
    bool operator<(const Event &Other) const {
      return std::tie(m_When, m_Order) > std::tie(Other.m_When, Other.m_Order);
    }
  };
  TimePoint m_Now{std::chrono::seconds(1000)};
  uint64_t m_Next = 0;
  std::priority_queue<Event> m_Events;
};

inline void SimTime::at(TimePoint When, std::function<void()> What) {
  m_Events.push({std::max(When, m_Now), m_Next++, std::move(What)});
}

inline void SimTime::run(Duration Length) {
  const TimePoint End = m_Now + Length;
  while (!m_Events.empty() && m_Events.top().m_When <= End) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_When;
    Next.m_What();
  }
  m_Now = End;
}

} // namespace monsoon

#endif
