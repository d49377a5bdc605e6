#ifndef MONSOON_CORE_MEASURE_H
#define MONSOON_CORE_MEASURE_H

#include "core/timepoint.h"

#include <optional>
#include <string_view>

namespace monsoon {

// Figures that come from outside are either counts or measures. A count, such
// as a number of slots, a version or a port, is whole by its nature. A measure,
// such as a time, a rate or a weight, may have a fraction, which is never
// rounded to whole units.

/// Longest time that header fields and registrations may state. Keeps times and
/// their sums within the range of Duration.
constexpr Milliseconds MaxStatedTime{1'000'000'000};

/// Figure times Unit, to the resolution of Duration. The result has to fit into
/// a Duration.
Duration durationOf(double Figure, Duration Unit);

/// Parses the time that a header field states in Unit. Returns nullopt if the
/// text is no number, or one that is negative or beyond MaxStatedTime.
std::optional<Duration> parseDuration(std::string_view Text, Duration Unit);

} // namespace monsoon

#endif
