#include "http/connectionpool.h"

#include <algorithm>
#include <utility>

namespace monsoon {

ConnectionPool::ConnectionPool(Endpoint Address, Milliseconds ConnectTimeout)
    : m_Address(std::move(Address)), m_ConnectTimeout(ConnectTimeout) {}

std::unique_ptr<ClientConnection> ConnectionPool::acquire(Milliseconds MaxIdle,
                                                          int Limit) {
  std::vector<std::unique_ptr<ClientConnection>> Stale;
  const absl::MutexLock Lock(&m_Mutex);
  if (m_InUse >= Limit)
    return nullptr;
  ++m_InUse;
  const TimePoint Oldest = std::chrono::steady_clock::now() - MaxIdle;
  if (!m_Idle.empty() && m_Idle.back()->lastUsed() >= Oldest) {
    auto Connection = std::move(m_Idle.back());
    m_Idle.pop_back();
    return Connection;
  }
  // The most recently used one is last: if it is too old, so are the others.
  Stale = std::move(m_Idle);
  m_Idle.clear();
  return std::make_unique<ClientConnection>(m_Address, m_ConnectTimeout);
}

void ConnectionPool::release(std::unique_ptr<ClientConnection> Connection) {
  const absl::MutexLock Lock(&m_Mutex);
  --m_InUse;
  if (Connection->isOpen())
    m_Idle.push_back(std::move(Connection));
}

} // namespace monsoon
