#include "membership/evacuateddomains.h"

#include <utility>

namespace monsoon {

namespace {

/// Time in which operators write again what a restoration has lost. Longer than
/// an operator's retries of a write that had no answer.
constexpr Milliseconds RewriteTime{10'000};
/// Longest time whose records a restoration can lose, with the outage before
/// it.
constexpr Milliseconds MaxLostTime{30'000};

} // namespace

void EvacuatedDomains::replaceAll(TimePoint Now,
                                  std::set<std::string> Domains) {
  if (Now < m_KeptUntil) {
    for (const std::string &Each : Domains) {
      const auto Ended = m_EndedAt.find(Each);
      if (Ended == m_EndedAt.end() || Now - Ended->second > MaxLostTime)
        m_Domains.insert(Each);
    }
    return;
  }
  for (const std::string &Each : m_Domains)
    if (Domains.count(Each) == 0)
      m_EndedAt[Each] = Now;
  m_Domains = std::move(Domains);
}

void EvacuatedDomains::set(TimePoint Now, const std::string &Domain,
                           bool IsOut) {
  if (IsOut)
    m_Domains.insert(Domain);
  else if (m_Domains.erase(Domain) > 0)
    m_EndedAt[Domain] = Now;
}

void EvacuatedDomains::noteRestored(TimePoint Now) {
  m_KeptUntil = Now + RewriteTime;
  m_IsRereadDue = true;
}

bool EvacuatedDomains::takeRereadDue(TimePoint Now) {
  return Now >= m_KeptUntil && std::exchange(m_IsRereadDue, false);
}

} // namespace monsoon
