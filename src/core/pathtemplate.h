#ifndef MONSOON_CORE_PATHTEMPLATE_H
#define MONSOON_CORE_PATHTEMPLATE_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoon {

/// A path pattern such as `/ledger/{shop}` or `/prices/*`. A segment in braces
/// is a path parameter and matches any one non-empty segment; a final `*`
/// matches the rest of the path. Patterns are compared segment by segment.
class PathTemplate {
public:
  /// Parses a pattern. Returns nothing if it does not start with a slash, has
  /// an empty segment, a parameter without a name or a `*` that is not last.
  static std::optional<PathTemplate> parse(std::string_view Text);

  const std::string &text() const { return m_Text; }

  bool matches(std::string_view Path) const;

  /// The value that the path has for the named parameter.
  std::optional<std::string_view> parameter(std::string_view Path,
                                            std::string_view Name) const;

  bool hasParameter(std::string_view Name) const;

  /// True if some path matches both patterns.
  bool overlaps(const PathTemplate &Other) const;

  friend bool operator==(const PathTemplate &A, const PathTemplate &B) {
    return A.m_Text == B.m_Text;
  }

private:
  struct Segment {
    std::string m_Text;
    bool m_IsParameter = false;
  };

  PathTemplate() = default;

  std::string m_Text;
  std::vector<Segment> m_Segments;
  bool m_HasWildcard = false;
};

} // namespace monsoon

#endif
