#ifndef MONSOON_TESTS_SUPPORT_FAKECLOCK_H
#define MONSOON_TESTS_SUPPORT_FAKECLOCK_H

#include "ports/clock.h"

namespace monsoon {

/// A simulated clock that advances only through advance() and sleepFor().
class FakeClock : public WaitingClock {
public:
  TimePoint now() const override { return m_Now; }
  void sleepFor(Duration Length) override { m_Now += Length; }
  void advance(Duration Length) { m_Now += Length; }

private:
  TimePoint m_Now = TimePoint() + std::chrono::hours(1);
};

} // namespace monsoon

#endif
