#ifndef MONSOON_PORTS_CLOCK_H
#define MONSOON_PORTS_CLOCK_H

#include "core/timepoint.h"

namespace monsoon {

/// Source of monotonic time for lifetimes, deadlines and timeouts. Its readings
/// are never compared with those of another process.
class Clock {
public:
  virtual ~Clock() = default;
  virtual TimePoint now() const = 0;
};

/// A clock on which a thread can sleep.
class WaitingClock : public Clock {
public:
  /// Blocks the calling thread for Length.
  virtual void sleepFor(Duration Length) = 0;
};

} // namespace monsoon

#endif
