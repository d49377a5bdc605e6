#include "core/tables.h"

#include <algorithm>
#include <array>
#include <utility>

namespace monsoon {

namespace {

constexpr std::array<std::pair<TrafficClass, std::string_view>, 4> ClassNames =
    {{{TrafficClass::Download, "download"},
      {TrafficClass::Lookup, "lookup"},
      {TrafficClass::Order, "order"},
      {TrafficClass::Confirmation, "confirmation"}}};

template <typename T>
const T *findByName(const std::vector<T> &Items, std::string_view Name) {
  const auto It =
      std::find_if(Items.begin(), Items.end(),
                   [Name](const T &Each) { return Each.name() == Name; });
  return It == Items.end() ? nullptr : &*It;
}

} // namespace

std::string_view trafficClassName(TrafficClass Class) {
  return ClassNames[static_cast<size_t>(Class)].second;
}

std::optional<TrafficClass> trafficClassFromName(std::string_view Name) {
  for (const auto &[Class, ClassName] : ClassNames)
    if (ClassName == Name)
      return Class;
  return std::nullopt;
}

bool Route::accepts(std::string_view Method, std::string_view Path) const {
  const bool MethodFits = std::any_of(
      m_Methods.begin(), m_Methods.end(), [Method](const std::string &Each) {
        return Each == Method || Each == AnyMethod;
      });
  return MethodFits && m_Path->matches(Path);
}

Route::Builder::Builder(std::string Name, PathTemplate Path, std::string Pool) {
  m_Route.m_Name = std::move(Name);
  m_Route.m_Path = std::move(Path);
  m_Route.m_Pool = std::move(Pool);
  m_Route.m_Methods = {"GET"};
}

Route::Builder &Route::Builder::methods(std::vector<std::string> Value) {
  m_Route.m_Methods = std::move(Value);
  return *this;
}

Route::Builder &Route::Builder::key(KeySource Value) {
  m_Route.m_Key = std::move(Value);
  return *this;
}

Route::Builder &Route::Builder::trafficClass(TrafficClass Value) {
  m_Route.m_Class = Value;
  return *this;
}

Route::Builder &Route::Builder::tenantHeader(std::string Value) {
  m_Route.m_TenantHeader = std::move(Value);
  return *this;
}

Route::Builder &Route::Builder::idempotent(bool Value) {
  m_Route.m_Idempotent = Value;
  return *this;
}

Route::Builder &Route::Builder::streamed(bool Value) {
  m_Route.m_Streamed = Value;
  return *this;
}

Route::Builder &Route::Builder::deadline(Duration Value) {
  m_Route.m_Deadline = Value;
  return *this;
}

Route::Builder &Route::Builder::host(std::string Value) {
  m_Route.m_Host = std::move(Value);
  return *this;
}

Route::Builder &Route::Builder::split(std::vector<PoolWeight> Value) {
  m_Route.m_Split = std::move(Value);
  return *this;
}

Route::Builder &Route::Builder::maxAttempts(int Value) {
  m_Route.m_MaxAttempts = Value;
  return *this;
}

Route::Builder &Route::Builder::latencyObjective(Duration Value) {
  m_Route.m_LatencyObjective = Value;
  return *this;
}

Route::Builder &Route::Builder::priority(int Value) {
  m_Route.m_Priority = Value;
  return *this;
}

Route::Builder &Route::Builder::isPublic(bool Value) {
  m_Route.m_Public = Value;
  return *this;
}

bool Pool::isDomainOut(std::string_view Domain) const {
  return std::find(m_DomainsOut.begin(), m_DomainsOut.end(), Domain) !=
         m_DomainsOut.end();
}

const Target *Pool::findTarget(std::string_view Name) const {
  const auto It =
      std::find_if(m_Targets.begin(), m_Targets.end(),
                   [Name](const Target &Each) { return Each.m_Name == Name; });
  return It == m_Targets.end() ? nullptr : &*It;
}

Pool::Builder::Builder(std::string Name) { m_Pool.m_Name = std::move(Name); }

Pool::Builder &Pool::Builder::ownedByKey(bool Value) {
  m_Pool.m_OwnedByKey = Value;
  return *this;
}

Pool::Builder &Pool::Builder::checksFences(bool Value) {
  m_Pool.m_ChecksFences = Value;
  return *this;
}

Pool::Builder &Pool::Builder::ranges(uint32_t Value) {
  m_Pool.m_Ranges = Value;
  return *this;
}

Pool::Builder &Pool::Builder::addTarget(Target Value) {
  m_Pool.m_Targets.push_back(std::move(Value));
  return *this;
}

Pool::Builder &Pool::Builder::domainsOut(std::vector<std::string> Value) {
  m_Pool.m_DomainsOut = std::move(Value);
  return *this;
}

Pool::Builder &Pool::Builder::policy(PoolPolicy Value) {
  m_Pool.m_Policy = Value;
  return *this;
}

Pool::Builder &Pool::Builder::healthPath(std::string Value) {
  m_Pool.m_HealthPath = std::move(Value);
  return *this;
}

Tables::Tables(std::vector<Route> Routes, std::vector<Pool> Pools)
    : m_Routes(std::move(Routes)), m_Pools(std::move(Pools)) {}

const Route *Tables::match(std::string_view Method,
                           std::string_view Path) const {
  const auto It =
      std::find_if(m_Routes.begin(), m_Routes.end(), [&](const Route &Each) {
        return Each.accepts(Method, Path);
      });
  return It == m_Routes.end() ? nullptr : &*It;
}

const Pool *Tables::findPool(std::string_view Name) const {
  return findByName(m_Pools, Name);
}

const Route *Tables::findRoute(std::string_view Name) const {
  return findByName(m_Routes, Name);
}

} // namespace monsoon
