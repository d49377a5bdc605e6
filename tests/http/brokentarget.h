#ifndef MONSOON_TESTS_HTTP_BROKENTARGET_H
#define MONSOON_TESTS_HTTP_BROKENTARGET_H

#include "core/timepoint.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>

namespace monsoon {

/// A server on a free loopback port that answers the head of each request with
/// given bytes, does not read the rest of the request, and ends the connection.
class BrokenTarget {
public:
  enum class End {
    /// Ends the stream in order, and closes once the peer does.
    Close,
    Reset
  };
  struct Script {
    std::string m_Bytes;
    End m_End = End::Close;
    /// Pause between the bytes and the end.
    Milliseconds m_Pause{0};
  };

  explicit BrokenTarget(Script Behaviour)
      : m_Script(std::move(Behaviour)),
        m_Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t Size = sizeof(Address);
    auto *Generic = reinterpret_cast<sockaddr *>(&Address);
    ::bind(m_Listener, Generic, sizeof(Address));
    ::listen(m_Listener, SOMAXCONN);
    ::getsockname(m_Listener, Generic, &Size);
    m_Port = ntohs(Address.sin_port);
    m_Thread = std::thread([this]() { serve(); });
  }
  ~BrokenTarget() {
    ::shutdown(m_Listener, SHUT_RDWR);
    m_Thread.join();
    ::close(m_Listener);
  }
  BrokenTarget(const BrokenTarget &) = delete;
  BrokenTarget &operator=(const BrokenTarget &) = delete;

  int port() const { return m_Port; }

private:
  void serve() {
    while (true) {
      const int Peer = ::accept(m_Listener, nullptr, nullptr);
      if (Peer < 0)
        return;
      respond(Peer);
    }
  }

  void respond(int Peer) {
    std::string Received;
    std::array<char, 4096> Chunk;
    while (Received.find("\r\n\r\n") == std::string::npos) {
      const ssize_t Size = ::recv(Peer, Chunk.data(), Chunk.size(), 0);
      if (Size <= 0)
        break;
      Received.append(Chunk.data(), static_cast<size_t>(Size));
    }
    (void)::send(Peer, m_Script.m_Bytes.data(), m_Script.m_Bytes.size(),
                 MSG_NOSIGNAL);
    std::this_thread::sleep_for(m_Script.m_Pause);
    if (m_Script.m_End == End::Reset) {
      const linger AtOnce = {1, 0};
      ::setsockopt(Peer, SOL_SOCKET, SO_LINGER, &AtOnce, sizeof(AtOnce));
    } else {
      ::shutdown(Peer, SHUT_WR);
      while (::recv(Peer, Chunk.data(), Chunk.size(), 0) > 0) {
      }
    }
    ::close(Peer);
  }

  const Script m_Script;
  const int m_Listener;
  int m_Port = 0;
  std::thread m_Thread;
};

} // namespace monsoon

#endif
