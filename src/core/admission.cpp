#include "core/admission.h"

#include <algorithm>

namespace monsoon {

namespace {

/// Share of the limit, in percent, up to which each class is admitted, in the
/// order of TrafficClass.
constexpr std::array<int, 4> ClassPercent = {60, 80, 95, 100};
/// Share of the limit, in percent, from which on tenants are limited to equal
/// shares.
constexpr int FairShareThresholdPercent = 50;

} // namespace

Admission::Admission(int Limit) : m_Limit(Limit) {}

int Admission::classLimit(TrafficClass Class) const {
  const int Percent = ClassPercent[static_cast<size_t>(Class)];
  return std::max(1, m_Limit * Percent / 100);
}

bool Admission::isWithinTenantShare(const std::string &Tenant) const {
  if (m_Active * 100 < m_Limit * FairShareThresholdPercent)
    return true;
  const auto It = m_Tenants.find(Tenant);
  const int Own = It == m_Tenants.end() ? 0 : It->second;
  const int Tenants =
      static_cast<int>(m_Tenants.size()) + (It == m_Tenants.end() ? 1 : 0);
  return Own < std::max(1, m_Limit / Tenants);
}

bool Admission::enter(TrafficClass Class, const std::string &Tenant) {
  const absl::MutexLock Lock(&m_Mutex);
  if (m_Active >= classLimit(Class) || !isWithinTenantShare(Tenant))
    return false;
  ++m_Active;
  ++m_Tenants[Tenant];
  return true;
}

void Admission::leave(const std::string &Tenant) {
  const absl::MutexLock Lock(&m_Mutex);
  --m_Active;
  const auto It = m_Tenants.find(Tenant);
  if (--It->second == 0)
    m_Tenants.erase(It);
}

int Admission::active() const {
  const absl::MutexLock Lock(&m_Mutex);
  return m_Active;
}

} // namespace monsoon
