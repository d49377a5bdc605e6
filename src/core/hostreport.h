#ifndef MONSOON_CORE_HOSTREPORT_H
#define MONSOON_CORE_HOSTREPORT_H

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace monsoon {

/// What one entry host tells the others of its own work.
struct HostReport {
  std::string m_Host;
  /// Rises with each report of the host.
  uint64_t m_Sequence = 0;
  /// Requests in flight by target; targets without any are left out.
  std::map<std::string, int> m_InFlight;
  /// Requests since the last report by pool and key.
  std::map<std::string, std::map<uint32_t, uint32_t>> m_KeyCounts;

  friend bool operator==(const HostReport &A, const HostReport &B) {
    return std::tie(A.m_Host, A.m_Sequence, A.m_InFlight, A.m_KeyCounts) ==
           std::tie(B.m_Host, B.m_Sequence, B.m_InFlight, B.m_KeyCounts);
  }
};

} // namespace monsoon

#endif
