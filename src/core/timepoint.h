#ifndef MONSOON_CORE_TIMEPOINT_H
#define MONSOON_CORE_TIMEPOINT_H

#include <chrono>

namespace monsoon {

using Milliseconds = std::chrono::milliseconds;
using Duration = std::chrono::steady_clock::duration;

/// A point in time on the monotonic clock of one process.
using TimePoint = std::chrono::steady_clock::time_point;

} // namespace monsoon

#endif
