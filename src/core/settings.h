#ifndef MONSOON_CORE_SETTINGS_H
#define MONSOON_CORE_SETTINGS_H

#include "core/timepoint.h"

#include <string>
#include <vector>

namespace monsoon {

/// Address at which a process listens or is reached.
struct Endpoint {
  std::string m_Host = "127.0.0.1";
  int m_Port = 0;

  friend bool operator==(const Endpoint &A, const Endpoint &B) {
    return A.m_Port == B.m_Port && A.m_Host == B.m_Host;
  }
};

/// Name and address of another entry host.
struct PeerSettings {
  std::string m_Name;
  Endpoint m_Address;

  friend bool operator==(const PeerSettings &A, const PeerSettings &B) {
    return A.m_Name == B.m_Name && A.m_Address == B.m_Address;
  }
};

/// Limits that protect an entry host from its callers.
struct CallerLimits {
  /// Requests processed concurrently.
  int m_Workers = 128;
  /// Open connections, including idle ones.
  int m_Connections = 4096;
  /// Largest request body, in bytes.
  size_t m_BodyBytes = 1 << 20;
  /// Time for a complete request to arrive, from its first byte.
  Duration m_ReceiveTimeout = Milliseconds(5000);
  /// Time after which an idle connection is closed.
  Duration m_IdleTimeout = Milliseconds(60000);
};

/// Settings of one entry host.
struct Settings {
  std::string m_Host;
  std::string m_FailureDomain;
  Endpoint m_Callers;
  Endpoint m_Admin;
  Endpoint m_Peer;
  Endpoint m_Log;
  Endpoint m_HostList;
  std::vector<PeerSettings> m_Peers;
  CallerLimits m_Limits;
  /// Time for which a graceful stop still accepts requests.
  Duration m_StopGrace = Milliseconds(1000);
  /// Time after which a graceful stop aborts the requests that still run.
  Duration m_StopLimit = Milliseconds(10000);
  /// Interval between two reads of the log.
  Duration m_LogPoll = Milliseconds(200);
  std::string m_LogLevel = "info";
};

} // namespace monsoon

#endif
