#include "core/text.h"

#include "absl/strings/match.h"

namespace monsoon {

bool equalsIgnoreCase(std::string_view A, std::string_view B) {
  return absl::EqualsIgnoreCase(toAbsl(A), toAbsl(B));
}

} // namespace monsoon
