#ifndef MONSOON_HTTP_CONNECTIONPARKER_H
#define MONSOON_HTTP_CONNECTIONPARKER_H

#include "http/serverconnection.h"

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <functional>
#include <memory>
#include <thread>

namespace monsoon {

/// Holds idle kept-open connections without a thread each, and hands one over
/// as soon as its caller sends something. Connections that stay idle for too
/// long are closed.
class ConnectionParker {
public:
  using Wake = std::function<void(std::unique_ptr<ServerConnection>)>;

  /// OnReadable is called on the parker's own thread and must not block.
  ConnectionParker(Duration IdleTimeout, Wake OnReadable);
  ~ConnectionParker();
  ConnectionParker(const ConnectionParker &) = delete;
  ConnectionParker &operator=(const ConnectionParker &) = delete;

  void park(std::unique_ptr<ServerConnection> Connection);

  size_t parked() const;

  /// Closes every parked connection and ends the thread. Idempotent.
  void stop();

private:
  void run();
  void closeIdle();
  std::unique_ptr<ServerConnection> take(int Socket);

  const Duration m_IdleTimeout;
  const Wake m_OnReadable;
  const int m_Epoll;
  mutable absl::Mutex m_Mutex;
  absl::flat_hash_map<int, std::unique_ptr<ServerConnection>>
      m_Parked ABSL_GUARDED_BY(m_Mutex);
  std::atomic<bool> m_Stopping{false};
  std::thread m_Thread;
};

} // namespace monsoon

#endif
