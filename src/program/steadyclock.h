#ifndef MONSOON_PROGRAM_STEADYCLOCK_H
#define MONSOON_PROGRAM_STEADYCLOCK_H

#include "ports/clock.h"

#include <thread>

namespace monsoon {

/// Monotonic clock of the operating system; stops while the machine is
/// suspended.
class SteadyClock : public WaitingClock {
public:
  TimePoint now() const override { return std::chrono::steady_clock::now(); }
  void sleepFor(Duration Length) override {
    std::this_thread::sleep_for(Length);
  }
};

} // namespace monsoon

#endif
