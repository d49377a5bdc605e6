#ifndef MONSOON_CORE_HOSTSHARE_H
#define MONSOON_CORE_HOSTSHARE_H

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// This entry host's share of limits that apply to all entry hosts together.
/// The shares that the hosts compute never add up to more than the limit.
class HostShare {
public:
  /// Hosts are all that may be sending; Self is added if it is missing. A host
  /// that is disconnected from most of the others gets a share of 0, since the
  /// others may have divided its share among themselves.
  HostShare(std::string Self, std::set<std::string> Hosts, bool IsConnected);

  /// The share of the limit Total for a target. The remainder of an uneven
  /// division goes to single hosts, one unit each, in an order that differs
  /// from target to target.
  int of(int Total, const std::string &TargetName) const;

  const std::string &self() const { return m_Self; }
  size_t hosts() const { return m_Hosts.size(); }
  const std::set<std::string> &names() const { return m_Hosts; }
  bool isConnected() const { return m_IsConnected; }

  friend bool operator==(const HostShare &A, const HostShare &B) {
    return A.m_Self == B.m_Self && A.m_Hosts == B.m_Hosts &&
           A.m_IsConnected == B.m_IsConnected;
  }
  friend bool operator!=(const HostShare &A, const HostShare &B) {
    return !(A == B);
  }

private:
  std::string m_Self;
  std::set<std::string> m_Hosts;
  /// Hashes of the hosts' names.
  std::vector<uint64_t> m_Hashes;
  bool m_IsConnected;
};

} // namespace monsoon

#endif
