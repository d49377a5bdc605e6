#include "http/httpserver.h"

#include "absl/strings/numbers.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace monsoon {

namespace {

constexpr int ListenBacklog = 1024; // connections
/// Callers' sockets are moved above this number, since the library's client
/// can't use descriptors beyond the limit of select().
constexpr int LowestCallerSocket = 1024;
constexpr size_t MaxHeadBytes = 32'768;
/// Time that a worker stays with a connection that has just been answered.
constexpr Milliseconds Linger{20};

/// Runs what it is given at once: the accept thread only parks connections.
class InlineQueue : public httplib::TaskQueue {
public:
  void enqueue(std::function<void()> Task) override { Task(); }
  void shutdown() override {}
};

bool hasBody(const httplib::Request &Request) {
  return Request.has_header("Transfer-Encoding") ||
         (Request.has_header("Content-Length") &&
          Request.get_header_value("Content-Length") != "0");
}

/// Content-Length must be one plain number, and not stand beside chunking.
bool hasClearFraming(const httplib::Request &Request) {
  const size_t Lengths = Request.get_header_value_count("Content-Length");
  if (Lengths == 0)
    return true;
  uint64_t Ignored = 0;
  const std::string Length = Request.get_header_value("Content-Length");
  return Lengths == 1 && !Request.has_header("Transfer-Encoding") &&
         !Length.empty() && Length.front() >= '0' && Length.front() <= '9' &&
         absl::SimpleAtoi(Length, &Ignored);
}

/// The announced length of the body; zero if there is none.
uint64_t bodyLength(const httplib::Request &Request) {
  uint64_t Length = 0;
  if (!absl::SimpleAtoi(Request.get_header_value("Content-Length"), &Length))
    return 0;
  return Length;
}

bool methodTakesBody(const std::string &Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH" ||
         Method == "DELETE";
}

/// Keeps the library from transforming an answer that is only passed on.
void disableTransformations(httplib::Request &Request) {
  Request.ranges.clear();
  Request.headers.erase("Accept-Encoding");
  for (const char *Added :
       {"REMOTE_ADDR", "REMOTE_PORT", "LOCAL_ADDR", "LOCAL_PORT"})
    Request.headers.erase(Added);
}

} // namespace

HttpServer::HttpServer(const Endpoint &Address, const CallerLimits &Limits,
                       Handler OnRequest, RejectHandler OnReject)
    : m_Address(Address), m_Limits(Limits), m_OnRequest(std::move(OnRequest)) {
  configure(std::move(OnReject));
}

HttpServer::~HttpServer() {
  beginStop();
  finishStop();
}

void HttpServer::configure(RejectHandler OnReject) {
  new_task_queue = [] { return new InlineQueue; };
  // Without the library's SO_REUSEPORT, by which two processes would share a
  // port in silence.
  set_socket_options([](int Socket) {
    const int On = 1;
    ::setsockopt(Socket, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  });
  set_payload_max_length(m_Limits.m_BodyBytes);
  set_pre_routing_handler(
      [this](const httplib::Request &Request, httplib::Response &Response) {
        const bool BodyExpected = methodTakesBody(Request.method);
        const bool Clear =
            hasClearFraming(Request) && (BodyExpected || !hasBody(Request));
        if (Clear && bodyLength(Request) <= m_Limits.m_BodyBytes)
          return HandlerResponse::Unhandled;
        Response.status = Clear ? 413 : 400;
        return HandlerResponse::Handled;
      });
  const auto Run = [this](const httplib::Request &Request,
                          httplib::Response &Response) {
    ServerConnection *Connection = ServerConnection::current();
    Connection->markHandled();
    m_OnRequest(Request, Response);
    Connection->stream().setDeadline(std::chrono::steady_clock::now() +
                                     m_Limits.m_ReceiveTimeout);
  };
  Get(".*", Run);
  Post(".*", Run);
  Put(".*", Run);
  Patch(".*", Run);
  Delete(".*", Run);
  set_error_handler(HandlerWithResponse(
      [OnReject = std::move(OnReject)](const httplib::Request &Request,
                                       httplib::Response &Response) {
        ServerConnection *Connection = ServerConnection::current();
        if (Connection->takeHandled()) {
          Connection->markHandled();
          return HandlerResponse::Unhandled;
        }
        OnReject(Request, Response, Connection->stream());
        return HandlerResponse::Handled;
      }));
}

bool HttpServer::start() {
  if (!bind_to_port(m_Address.m_Host, m_Address.m_Port))
    return false;
  ::listen(svr_sock_, ListenBacklog);
  m_Workers.emplace(m_Limits.m_Workers,
                    static_cast<size_t>(m_Limits.m_Connections));
  m_Parker.emplace(m_Limits.m_IdleTimeout,
                   [this](std::unique_ptr<ServerConnection> Connection) {
                     schedule(std::move(Connection));
                   });
  m_Acceptor = std::thread([this] { listen_after_bind(); });
  while (!is_running())
    std::this_thread::yield();
  return true;
}

size_t HttpServer::idleConnections() const {
  return m_Parker ? m_Parker->parked() : 0;
}

bool HttpServer::process_and_close_socket(socket_t Socket) {
  const int Moved = ::fcntl(Socket, F_DUPFD_CLOEXEC, LowestCallerSocket);
  ::close(Socket);
  if (Moved < 0)
    return false;
  if (m_Stopping || m_Connections >= m_Limits.m_Connections) {
    ::close(Moved);
    return false;
  }
  const int On = 1;
  ::setsockopt(Moved, IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  m_Parker->park(std::make_unique<ServerConnection>(Moved, m_Connections));
  return true;
}

void HttpServer::schedule(std::unique_ptr<ServerConnection> Connection) {
  // std::function wants a copyable callable.
  auto Shared = std::make_shared<std::unique_ptr<ServerConnection>>(
      std::move(Connection));
  m_Workers->tryRun([this, Shared] { serve(std::move(*Shared)); });
}

void HttpServer::serve(std::unique_ptr<ServerConnection> Connection) {
  while (serveOne(*Connection)) {
    if (Connection->stream().hasBuffered())
      continue;
    if (m_Stopping)
      break;
    if (m_Workers->hasBacklog() || !Connection->stream().waitReadable(Linger)) {
      m_Parker->park(std::move(Connection));
      return;
    }
  }
}

bool HttpServer::serveOne(ServerConnection &Connection) {
  ++m_Active;
  {
    const absl::MutexLock Lock(&m_ServedMutex);
    m_Served[Connection.socket()] = &Connection;
  }
  const ServerConnection::Scope Scope(Connection);
  SocketStream &Stream = Connection.stream();
  Stream.setDeadline(std::chrono::steady_clock::now() +
                     m_Limits.m_ReceiveTimeout);
  Stream.limitRead(MaxHeadBytes + m_Limits.m_BodyBytes);
  bool ClosedByCaller = false;
  const bool LastAnswer = m_Draining || m_Stopping;
  const bool Answered = process_request(
      Stream, LastAnswer, ClosedByCaller,
      [](httplib::Request &Request) { disableTransformations(Request); });
  const bool Flushed = Stream.flush();
  {
    const absl::MutexLock Lock(&m_ServedMutex);
    m_Served.erase(Connection.socket());
  }
  --m_Active;
  const bool Handled = Connection.takeHandled();
  return Answered && Flushed && Handled && !LastAnswer && !ClosedByCaller &&
         !Connection.isClosing();
}

void HttpServer::beginStop() {
  m_Stopping = true;
  if (is_running())
    stop();
  if (m_Acceptor.joinable())
    m_Acceptor.join();
}

void HttpServer::finishStop() {
  if (m_Parker)
    m_Parker->stop();
  if (m_Workers)
    m_Workers->stop();
}

int HttpServer::cutRequests() {
  const absl::MutexLock Lock(&m_ServedMutex);
  for (const auto &[Socket, Connection] : m_Served)
    ::shutdown(Socket, SHUT_RDWR);
  return static_cast<int>(m_Served.size());
}

} // namespace monsoon
