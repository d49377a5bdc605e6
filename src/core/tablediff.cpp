#include "core/tablediff.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace monsoon {

namespace {

using Lines = std::vector<std::string>;

void diffTargets(const Pool &Old, const Pool &New, Lines &Found) {
  for (const Target &Each : Old.targets())
    if (!New.findTarget(Each.m_Name))
      Found.push_back(absl::StrCat("pool \"", New.name(), "\": target \"",
                                   Each.m_Name, "\" removed"));
  for (const Target &Each : New.targets()) {
    const Target *Before = Old.findTarget(Each.m_Name);
    if (!Before)
      Found.push_back(absl::StrCat("pool \"", New.name(), "\": target \"",
                                   Each.m_Name, "\" added"));
    else if (!(*Before == Each))
      Found.push_back(absl::StrCat("pool \"", New.name(), "\": target \"",
                                   Each.m_Name, "\" changed"));
  }
}

void diffPool(const Pool &Old, const Pool &New, Lines &Found) {
  const size_t Before = Found.size();
  diffTargets(Old, New, Found);
  if (Old.domainsOut() != New.domainsOut())
    Found.push_back(
        absl::StrCat("pool \"", New.name(), "\": failure domains out: [",
                     absl::StrJoin(Old.domainsOut(), ", "), "] -> [",
                     absl::StrJoin(New.domainsOut(), ", "), "]"));
  if (Old != New && Found.size() == Before)
    Found.push_back(
        absl::StrCat("pool \"", New.name(), "\": settings changed"));
}

/// Reports the items that Other does not find.
template <typename Item, typename Find>
void diffNames(const std::vector<Item> &Items, const char *Kind, Find Other,
               const char *Change, Lines &Found) {
  for (const Item &Each : Items)
    if (!Other(Each.name()))
      Found.push_back(absl::StrCat(Kind, " \"", Each.name(), "\" ", Change));
}

} // namespace

std::vector<std::string> diffTables(const Tables &Old, const Tables &New) {
  Lines Found;
  const auto OldRoute = [&Old](const auto &Name) {
    return Old.findRoute(Name);
  };
  const auto NewRoute = [&New](const auto &Name) {
    return New.findRoute(Name);
  };
  const auto OldPool = [&Old](const auto &Name) { return Old.findPool(Name); };
  const auto NewPool = [&New](const auto &Name) { return New.findPool(Name); };
  diffNames(Old.routes(), "route", NewRoute, "removed", Found);
  diffNames(New.routes(), "route", OldRoute, "added", Found);
  for (const Route &Each : New.routes())
    if (const Route *Before = Old.findRoute(Each.name()))
      if (*Before != Each)
        Found.push_back(absl::StrCat("route \"", Each.name(), "\" changed"));
  diffNames(Old.pools(), "pool", NewPool, "removed", Found);
  diffNames(New.pools(), "pool", OldPool, "added", Found);
  for (const Pool &Each : New.pools())
    if (const Pool *Before = Old.findPool(Each.name()))
      diffPool(*Before, Each, Found);
  return Found;
}

} // namespace monsoon
