#include "core/tablecheck.h"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"

#include <algorithm>

namespace monsoon {

namespace {

using Faults = std::vector<std::string>;

bool haveCommonMethod(const Route &A, const Route &B) {
  return std::any_of(A.methods().begin(), A.methods().end(),
                     [&B](const std::string &Method) {
                       return std::find(B.methods().begin(), B.methods().end(),
                                        Method) != B.methods().end();
                     });
}

void checkRoute(const Route &Each, const Tables &Value, Faults &Found) {
  const Pool *Destination = Value.findPool(Each.pool());
  if (!Destination) {
    Found.push_back(absl::StrCat("route \"", Each.name(), "\": pool \"",
                                 Each.pool(),
                                 "\" does not exist in table \"pools\""));
    return;
  }
  if (Destination->isOwnedByKey() && Each.key().m_Place == KeyPlace::None)
    Found.push_back(absl::StrCat("route \"", Each.name(),
                                 "\": has no key, but pool \"", Each.pool(),
                                 "\" is owned by key"));
  if (Each.key().m_Place == KeyPlace::PathParameter &&
      !Each.path().hasParameter(Each.key().m_Name))
    Found.push_back(absl::StrCat("route \"", Each.name(), "\": path \"",
                                 Each.path().text(), "\" has no parameter \"",
                                 Each.key().m_Name, "\""));
  if (Each.methods().empty())
    Found.push_back(
        absl::StrCat("route \"", Each.name(), "\": has no methods"));
}

void checkRoutes(const Tables &Value, Faults &Found) {
  const auto &Routes = Value.routes();
  for (size_t Index = 0; Index < Routes.size(); ++Index) {
    checkRoute(Routes[Index], Value, Found);
    for (size_t Earlier = 0; Earlier < Index; ++Earlier) {
      const Route &A = Routes[Earlier];
      const Route &B = Routes[Index];
      if (A.name() == B.name())
        Found.push_back(absl::StrCat("route \"", B.name(),
                                     "\": duplicate name in table "
                                     "\"routes\""));
      else if (haveCommonMethod(A, B) && A.path().overlaps(B.path()))
        Found.push_back(absl::StrCat(
            "route \"", B.name(), "\": overlaps route \"", A.name(), "\" (",
            B.path().text(), " and ", A.path().text(), ")"));
    }
  }
}

void checkPool(const Pool &Each, Faults &Found) {
  if (Each.targets().empty())
    Found.push_back(absl::StrCat("pool \"", Each.name(), "\": has no targets"));
  absl::flat_hash_set<std::string> Names;
  absl::flat_hash_set<std::string> Addresses;
  absl::flat_hash_set<std::string> Domains;
  for (const Target &Member : Each.targets()) {
    Domains.insert(Member.m_FailureDomain);
    if (!Names.insert(Member.m_Name).second)
      Found.push_back(absl::StrCat("pool \"", Each.name(), "\": target \"",
                                   Member.m_Name, "\" is listed twice"));
    const std::string Address = absl::StrCat(Member.m_Host, ":", Member.m_Port);
    if (!Addresses.insert(Address).second)
      Found.push_back(absl::StrCat("pool \"", Each.name(), "\": address ",
                                   Address, " is used twice"));
  }
  for (const std::string &Domain : Each.domainsOut())
    if (!Domains.contains(Domain))
      Found.push_back(absl::StrCat("pool \"", Each.name(),
                                   "\": no target is in failure domain \"",
                                   Domain, "\""));
}

void checkPools(const Tables &Value, Faults &Found) {
  absl::flat_hash_set<std::string> Names;
  for (const Pool &Each : Value.pools()) {
    if (!Names.insert(Each.name()).second)
      Found.push_back(absl::StrCat("pool \"", Each.name(),
                                   "\": duplicate name in table "
                                   "\"pools\""));
    checkPool(Each, Found);
  }
}

} // namespace

std::vector<std::string> checkTables(const Tables &Value) {
  Faults Found;
  checkRoutes(Value, Found);
  checkPools(Value, Found);
  return Found;
}

} // namespace monsoon
