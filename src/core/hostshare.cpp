#include "core/hostshare.h"

#include "core/keyspace.h"

#include <utility>

namespace monsoon {

HostShare::HostShare(std::string Self, std::set<std::string> Hosts,
                     bool IsConnected)
    : m_Self(std::move(Self)), m_Hosts(std::move(Hosts)),
      m_IsConnected(IsConnected) {
  m_Hosts.insert(m_Self);
  for (const std::string &Each : m_Hosts)
    m_Hashes.push_back(stableHash(Each));
}

int HostShare::of(int Total, const std::string &TargetName) const {
  if (!m_IsConnected)
    return 0;
  const int Count = static_cast<int>(m_Hosts.size());
  const int Quotient = Total / Count;
  const int Remainder = Total % Count;
  const uint64_t TargetHash = stableHash(TargetName);
  const uint64_t OwnRank = mixHash(TargetHash, stableHash(m_Self));
  int HigherRanked = 0;
  for (const uint64_t Host : m_Hashes)
    HigherRanked += mixHash(TargetHash, Host) < OwnRank ? 1 : 0;
  return Quotient + (HigherRanked < Remainder ? 1 : 0);
}

} // namespace monsoon
