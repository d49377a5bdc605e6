#include "core/measure.h"

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"

#include <cmath>

namespace monsoon {

Duration durationOf(double Figure, Duration Unit) {
  return Duration(std::llround(Figure * static_cast<double>(Unit.count())));
}

std::optional<Duration> parseDuration(std::string_view Text, Duration Unit) {
  double Figure = 0;
  if (!absl::SimpleAtod(absl::string_view(Text.data(), Text.size()), &Figure))
    return std::nullopt;
  const double Limit = std::chrono::duration<double>(MaxStatedTime) /
                       std::chrono::duration<double>(Unit);
  // Also false if the figure is not a number.
  if (!(Figure >= 0 && Figure <= Limit))
    return std::nullopt;
  return durationOf(Figure, Unit);
}

} // namespace monsoon
