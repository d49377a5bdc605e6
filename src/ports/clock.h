#ifndef MONSOON_PORTS_CLOCK_H
#define MONSOON_PORTS_CLOCK_H

#include "core/timepoint.h"

namespace monsoon {

/// Source of monotonic time. Lifetimes, deadlines and timeouts are measured on
/// it; it is never compared with the clock of another process.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

/// A clock on which a thread can wait.
class WaitingClock : public Clock {
public:
  /// Blocks the calling thread for a time.
  virtual void sleepFor(Duration Length) = 0;
};

} // namespace monsoon

#endif
