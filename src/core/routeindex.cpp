#include "core/routeindex.h"

#include "core/text.h"

#include "absl/strings/ascii.h"

#include <utility>

namespace monsoon {

namespace {

/// The prefix that a pattern with a final wildcard matches: "/a/" for "/a/*".
std::string_view prefixOf(const Route &Each) {
  const std::string_view Text = Each.path().text();
  return Text.substr(0, Text.size() - 1);
}

/// The host without its port.
std::string_view withoutPort(std::string_view Host) {
  return Host.substr(0, Host.rfind(':'));
}

} // namespace

RouteIndex::RouteIndex(int64_t Version, Tables Published, RequestLimits Limits)
    : m_Version(Version), m_Tables(std::move(Published)), m_Limits(Limits) {
  for (const Route &Each : m_Tables.routes())
    if (!Each.host().empty() && Each.path().text().back() == '*')
      m_ByHost[absl::AsciiStrToLower(Each.host())].emplace(
          std::string(prefixOf(Each)), &Each);
}

const Route *RouteIndex::match(std::string_view Host,
                               std::string_view Path) const {
  const auto Routes =
      m_ByHost.find(absl::AsciiStrToLower(toAbsl(withoutPort(Host))));
  if (Routes == m_ByHost.end())
    return nullptr;
  for (size_t Slash = Path.rfind('/'); Slash != std::string_view::npos;
       Slash = Path.rfind('/', Slash - 1)) {
    const auto Found = Routes->second.find(toAbsl(Path.substr(0, Slash + 1)));
    if (Found != Routes->second.end())
      return Found->second;
    if (Slash == 0)
      break;
  }
  return nullptr;
}

} // namespace monsoon
