#ifndef MONSOON_CORE_TEXT_H
#define MONSOON_CORE_TEXT_H

#include "absl/strings/string_view.h"

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

/// Compares two ASCII strings case-insensitively.
bool equalsIgnoreCase(std::string_view A, std::string_view B);

} // namespace monsoon

#endif
