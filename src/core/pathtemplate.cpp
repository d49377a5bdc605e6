#include "core/pathtemplate.h"

#include <algorithm>

namespace monsoon {

namespace {

/// Removes the first segment from a path and returns it; nothing if the path
/// does not start with a slash.
std::optional<std::string_view> takeSegment(std::string_view &Rest) {
  if (Rest.empty() || Rest.front() != '/')
    return std::nullopt;
  Rest.remove_prefix(1);
  const size_t End = std::min(Rest.find('/'), Rest.size());
  const std::string_view Segment = Rest.substr(0, End);
  Rest.remove_prefix(End);
  return Segment;
}

} // namespace

std::optional<PathTemplate> PathTemplate::parse(std::string_view Text) {
  if (Text.empty() || Text.front() != '/')
    return std::nullopt;
  PathTemplate Result;
  Result.m_Text = std::string(Text);
  std::string_view Rest = Text;
  while (!Rest.empty()) {
    const auto Segment = takeSegment(Rest);
    if (!Segment || Segment->empty())
      return std::nullopt;
    if (*Segment == "*") {
      if (!Rest.empty())
        return std::nullopt;
      Result.m_HasWildcard = true;
      return Result;
    }
    if (Segment->front() != '{') {
      Result.m_Segments.push_back({std::string(*Segment), false});
      continue;
    }
    if (Segment->size() < 3 || Segment->back() != '}')
      return std::nullopt;
    Result.m_Segments.push_back(
        {std::string(Segment->substr(1, Segment->size() - 2)), true});
  }
  return Result;
}

bool PathTemplate::matches(std::string_view Path) const {
  for (const Segment &Expected : m_Segments) {
    const auto Actual = takeSegment(Path);
    if (!Actual || Actual->empty())
      return false;
    if (!Expected.m_IsParameter && *Actual != Expected.m_Text)
      return false;
  }
  return m_HasWildcard ? !Path.empty() : Path.empty();
}

std::optional<std::string_view>
PathTemplate::parameter(std::string_view Path, std::string_view Name) const {
  for (const Segment &Expected : m_Segments) {
    const auto Actual = takeSegment(Path);
    if (!Actual)
      return std::nullopt;
    if (Expected.m_IsParameter && Expected.m_Text == Name)
      return Actual;
  }
  return std::nullopt;
}

bool PathTemplate::hasParameter(std::string_view Name) const {
  return std::any_of(m_Segments.begin(), m_Segments.end(),
                     [Name](const Segment &Each) {
                       return Each.m_IsParameter && Each.m_Text == Name;
                     });
}

bool PathTemplate::overlaps(const PathTemplate &Other) const {
  const size_t Shared = std::min(m_Segments.size(), Other.m_Segments.size());
  for (size_t Index = 0; Index < Shared; ++Index) {
    const Segment &A = m_Segments[Index];
    const Segment &B = Other.m_Segments[Index];
    if (!A.m_IsParameter && !B.m_IsParameter && A.m_Text != B.m_Text)
      return false;
  }
  if (m_Segments.size() == Other.m_Segments.size())
    return m_HasWildcard == Other.m_HasWildcard;
  return m_Segments.size() < Other.m_Segments.size() ? m_HasWildcard
                                                     : Other.m_HasWildcard;
}

} // namespace monsoon
