#ifndef MONSOON_CORE_TEXT_H
#define MONSOON_CORE_TEXT_H

#include "absl/strings/string_view.h"

#include <string>
#include <string_view>

namespace monsoon {

/// Conversion for Abseil functions: in Debian's build of Abseil,
/// absl::string_view is a type of its own.
inline absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}

inline std::string_view toStd(absl::string_view Text) {
  return {Text.data(), Text.size()};
}

/// The shortest text from which the same number is read.
std::string shortestText(double Value);

/// Compares two ASCII strings case-insensitively.
bool equalsIgnoreCase(std::string_view A, std::string_view B);

} // namespace monsoon

#endif
