#ifndef MONSOON_CORE_ADMISSION_H
#define MONSOON_CORE_ADMISSION_H

#include "core/tables.h"

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include <array>
#include <string>

namespace monsoon {

/// Admission control of an entry host. As load grows, the less urgent traffic
/// classes are refused first, and from half of the limit on, no tenant may use
/// more than an equal share among the active tenants. Safe for concurrent use.
class Admission {
public:
  /// Limit is the maximum number of requests processed concurrently.
  explicit Admission(int Limit);

  /// Admits a request, which then counts as active until leave(). Returns false
  /// when the limit of the class or of the tenant is reached.
  bool enter(TrafficClass Class, const std::string &Tenant);
  void leave(const std::string &Tenant);

  /// Number of admitted requests that have not left yet.
  int active() const;

private:
  int classLimit(TrafficClass Class) const;
  bool isWithinTenantShare(const std::string &Tenant) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);

  const int m_Limit;
  mutable absl::Mutex m_Mutex;
  int m_Active ABSL_GUARDED_BY(m_Mutex) = 0;
  absl::flat_hash_map<std::string, int> m_Tenants ABSL_GUARDED_BY(m_Mutex);
};

} // namespace monsoon

#endif
