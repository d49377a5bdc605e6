#include "http/serverconnection.h"

#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace monsoon {

namespace {

thread_local ServerConnection *Current = nullptr;

} // namespace

ServerConnection::ServerConnection(int Socket, std::atomic<int> &OpenCount)
    : m_Socket(Socket), m_OpenCount(OpenCount), m_Stream(Socket) {
  ++m_OpenCount;
}

ServerConnection::~ServerConnection() {
  ::shutdown(m_Socket, SHUT_RDWR);
  ::close(m_Socket);
  --m_OpenCount;
}

bool ServerConnection::takeHandled() { return std::exchange(m_Handled, false); }

ServerConnection *ServerConnection::current() { return Current; }

ServerConnection::Scope::Scope(ServerConnection &Connection) {
  Current = &Connection;
}

ServerConnection::Scope::~Scope() { Current = nullptr; }

} // namespace monsoon
