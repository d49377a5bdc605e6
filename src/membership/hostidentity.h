#ifndef MONSOON_MEMBERSHIP_HOSTIDENTITY_H
#define MONSOON_MEMBERSHIP_HOSTIDENTITY_H

#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace monsoon {

/// What an entry host's id tells the other hosts, which learn the id from the
/// membership.
struct HostIdentity {
  /// Made by processName(), so that a restarted host is not mistaken for its
  /// predecessor.
  std::string m_Process;
  /// Capacity of the host's network link in Mbit/s; 0 if unknown.
  double m_LinkMbps = 0;
  /// Empty if the id doesn't say.
  std::string m_FailureDomain;
  /// Where the host receives messages of its peers, as "ADDRESS:PORT".
  std::string m_PeerAddress;

  friend bool operator==(const HostIdentity &A, const HostIdentity &B) {
    return std::tie(A.m_Process, A.m_LinkMbps, A.m_FailureDomain,
                    A.m_PeerAddress) == std::tie(B.m_Process, B.m_LinkMbps,
                                                 B.m_FailureDomain,
                                                 B.m_PeerAddress);
  }
};

/// The text of an id.
std::string encodeHostIdentity(const HostIdentity &Id);

/// Reads the text of an id; nullopt if it names no address.
std::optional<HostIdentity> decodeHostIdentity(std::string_view Text);

} // namespace monsoon

#endif
