#include "core/text.h"

#include "absl/strings/match.h"

#include <array>
#include <charconv>

namespace monsoon {

std::string shortestText(double Value) {
  std::array<char, 32> Text{};
  const auto Written =
      std::to_chars(Text.data(), Text.data() + Text.size(), Value);
  return {Text.data(), Written.ptr};
}

bool equalsIgnoreCase(std::string_view A, std::string_view B) {
  return absl::EqualsIgnoreCase(toAbsl(A), toAbsl(B));
}

} // namespace monsoon
