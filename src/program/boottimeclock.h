#ifndef MONSOON_PROGRAM_BOOTTIMECLOCK_H
#define MONSOON_PROGRAM_BOOTTIMECLOCK_H

#include "ports/clock.h"

#include <ctime>

namespace monsoon {

/// A monotonic clock that also counts the time for which the machine was
/// suspended, so that a lease does not outlive a suspension.
class BootTimeClock : public Clock {
public:
  TimePoint now() const override {
    timespec Value{};
    clock_gettime(CLOCK_BOOTTIME, &Value);
    return TimePoint(std::chrono::seconds(Value.tv_sec) +
                     std::chrono::nanoseconds(Value.tv_nsec));
  }
};

} // namespace monsoon

#endif
