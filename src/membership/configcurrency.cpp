#include "membership/configcurrency.h"

#include <algorithm>

namespace monsoon {

void ConfigCurrency::noteApplied(int64_t Version) {
  m_IsApplied = true;
  m_Version = Version;
  m_KnownVersion = std::max(m_KnownVersion, Version);
}

void ConfigCurrency::noteHeard(TimePoint Now, int64_t Version) {
  if (Version <= m_KnownVersion)
    return;
  // Unless an earlier one is still unread, the time to read it starts now.
  if (m_KnownVersion <= m_Version || m_CompleteAt >= m_NewerSince)
    m_NewerSince = Now;
  m_KnownVersion = Version;
}

void ConfigCurrency::noteComplete(TimePoint At) {
  m_CompleteAt = std::max(m_CompleteAt, At);
}

Duration ConfigCurrency::newerKnownFor(TimePoint Now) const {
  return m_KnownVersion > m_Version ? Now - m_NewerSince : Duration::zero();
}

ConfigStanding ConfigCurrency::standing(TimePoint Now) const {
  if (!m_IsApplied)
    return ConfigStanding::Missing;
  const bool HasUnread =
      m_KnownVersion > m_Version && m_CompleteAt < m_NewerSince;
  if (HasUnread && Now - m_NewerSince >= m_ReadLimit)
    return ConfigStanding::Outdated;
  return Now - m_CompleteAt > m_ApplyLimit ? ConfigStanding::Unconfirmed
                                           : ConfigStanding::Confirmed;
}

ConfigView ConfigCurrency::view(TimePoint Now) const {
  ConfigView View;
  View.m_Standing = standing(Now);
  View.m_Version = m_Version;
  View.m_KnownVersion = m_KnownVersion;
  if (m_IsApplied)
    View.m_Age = Now - m_CompleteAt;
  return View;
}

} // namespace monsoon
