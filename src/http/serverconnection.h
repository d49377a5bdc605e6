#ifndef MONSOON_HTTP_SERVERCONNECTION_H
#define MONSOON_HTTP_SERVERCONNECTION_H

#include "http/socketstream.h"

#include <atomic>

namespace monsoon {

/// One accepted connection of a caller. Owns its socket. While a worker serves
/// a request, current() gives the handler access to it.
class ServerConnection {
public:
  /// Takes over a socket and counts itself as open.
  ServerConnection(int Socket, std::atomic<int> &OpenCount);
  ~ServerConnection();
  ServerConnection(const ServerConnection &) = delete;
  ServerConnection &operator=(const ServerConnection &) = delete;

  int socket() const { return m_Socket; }
  SocketStream &stream() { return m_Stream; }

  /// Asks for the connection to be closed after the answer.
  void closeAfterAnswer() { m_CloseAfterAnswer = true; }
  bool isClosing() const { return m_CloseAfterAnswer; }

  /// Set by the handler: the request was read whole, so the next one may
  /// follow on this connection.
  void markHandled() { m_Handled = true; }
  bool takeHandled();

  TimePoint idleSince() const { return m_IdleSince; }
  void markIdle(TimePoint Now) { m_IdleSince = Now; }

  /// The connection that this thread serves, or null.
  static ServerConnection *current();

  /// Makes a connection the current one for the lifetime of the scope.
  class Scope {
  public:
    explicit Scope(ServerConnection &Connection);
    ~Scope();
    Scope(const Scope &) = delete;
    Scope &operator=(const Scope &) = delete;
  };

private:
  int m_Socket;
  std::atomic<int> &m_OpenCount;
  SocketStream m_Stream;
  TimePoint m_IdleSince;
  bool m_CloseAfterAnswer = false;
  bool m_Handled = false;
};

} // namespace monsoon

#endif
