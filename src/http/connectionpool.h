#ifndef MONSOON_HTTP_CONNECTIONPOOL_H
#define MONSOON_HTTP_CONNECTIONPOOL_H

#include "http/clientconnection.h"

#include "absl/synchronization/mutex.h"

#include <memory>
#include <vector>

namespace monsoon {

/// The kept-open connections to one address. A connection that was idle for
/// longer than the peer may keep it is not used again, since a request on it
/// could be lost with nobody knowing whether it ran.
class ConnectionPool {
public:
  ConnectionPool(Endpoint Address, Milliseconds ConnectTimeout);

  const Endpoint &address() const { return m_Address; }

  /// An idle connection that was used within MaxIdle, or a new one. Null when
  /// Limit connections are in use already.
  std::unique_ptr<ClientConnection> acquire(Milliseconds MaxIdle, int Limit);

  /// Gives a connection back; a closed one is dropped.
  void release(std::unique_ptr<ClientConnection> Connection);

private:
  const Endpoint m_Address;
  const Milliseconds m_ConnectTimeout;
  absl::Mutex m_Mutex;
  std::vector<std::unique_ptr<ClientConnection>>
      m_Idle ABSL_GUARDED_BY(m_Mutex);
  int m_InUse ABSL_GUARDED_BY(m_Mutex) = 0;
};

} // namespace monsoon

#endif
