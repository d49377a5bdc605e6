#ifndef MONSOON_HTTP_HTTPSERVER_H
#define MONSOON_HTTP_HTTPSERVER_H

#include "concurrency/workerpool.h"
#include "core/settings.h"
#include "http/connectionparker.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <thread>

namespace monsoon {

/// The HTTP server of an entry host. Unlike the library's own server, a
/// connection occupies a worker only while a request is served: idle
/// connections are parked, so that they can't stall others.
class HttpServer : private httplib::Server {
public:
  using Handler =
      std::function<void(const httplib::Request &, httplib::Response &)>;
  /// Fills in the answer to a request that could not be read.
  using RejectHandler = std::function<void(
      const httplib::Request &, httplib::Response &, const SocketStream &)>;

  HttpServer(const Endpoint &Address, const CallerLimits &Limits,
             Handler OnRequest, RejectHandler OnReject);
  ~HttpServer() override;

  /// Binds and starts to accept; false when the address can't be bound.
  bool start();

  /// Asks callers, with each answer, to connect elsewhere from now on.
  void beginDrain() { m_Draining = true; }

  /// Stops accepting and closes idle connections; requests in progress go on
  /// and their connections close after the answer.
  void beginStop();

  /// Requests that are being received, processed or answered.
  int activeRequests() const { return m_Active; }
  size_t idleConnections() const;
  int connections() const { return m_Connections; }

  /// Ends all threads. Requests in progress are waited for.
  void finishStop();

  /// Cuts the connections of requests in progress.
  int cutRequests();

private:
  bool process_and_close_socket(socket_t Socket) override;

  void configure(RejectHandler OnReject);
  void schedule(std::unique_ptr<ServerConnection> Connection);
  void serve(std::unique_ptr<ServerConnection> Connection);
  bool serveOne(ServerConnection &Connection);

  const Endpoint m_Address;
  const CallerLimits m_Limits;
  const Handler m_OnRequest;
  std::atomic<int> m_Active{0};
  std::atomic<int> m_Connections{0};
  std::atomic<bool> m_Draining{false};
  std::atomic<bool> m_Stopping{false};
  absl::Mutex m_ServedMutex;
  absl::flat_hash_map<int, ServerConnection *>
      m_Served ABSL_GUARDED_BY(m_ServedMutex);
  std::optional<WorkerPool> m_Workers;
  std::optional<ConnectionParker> m_Parker;
  std::thread m_Acceptor;
};

} // namespace monsoon

#endif
