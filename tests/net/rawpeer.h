#ifndef MONSOON_TESTS_NET_RAWPEER_H
#define MONSOON_TESTS_NET_RAWPEER_H

#include "net/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace monsoon {

/// Runs the loop until the condition holds; false when the limit passes first.
inline bool
runUntil(boost::asio::io_context &Loop, const std::function<bool()> &Condition,
         std::chrono::milliseconds Limit = std::chrono::milliseconds(4000)) {
  const auto End = std::chrono::steady_clock::now() + Limit;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End)
      return false;
    Loop.run_one_for(std::chrono::milliseconds(10));
    Loop.restart();
  }
  return true;
}

/// One end of a TCP connection that sends and records raw bytes.
class RawPeer {
public:
  explicit RawPeer(boost::asio::ip::tcp::socket Socket)
      : m_Socket(std::move(Socket)) {
    boost::system::error_code Ignored;
    m_Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
    read();
  }

  void send(const std::string &Text) {
    boost::system::error_code Ignored;
    boost::asio::write(m_Socket, boost::asio::buffer(Text), Ignored);
  }
  void close() {
    boost::system::error_code Ignored;
    m_Socket.close(Ignored);
  }
  void reset() { resetSocket(m_Socket); }
  /// Ends the stream of sent bytes in order; the connection stays open.
  void endStream() {
    boost::system::error_code Ignored;
    m_Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  }
  /// Stops reading after the bytes that are read next, until resume().
  void pause() { m_IsPaused = true; }
  void resume() {
    m_IsPaused = false;
    read();
  }

  const std::string &received() const { return m_Received; }
  /// True once the other end has closed the connection, with or without a
  /// reset.
  bool hasEnded() const { return m_HasEnded; }
  bool wasReset() const { return m_WasReset; }

private:
  void read() {
    m_Socket.async_read_some(
        boost::asio::buffer(m_Chunk),
        [this, Alive = std::weak_ptr<bool>(m_Alive)](
            const boost::system::error_code &Error, size_t Size) {
          // The handler of a read may run after this object is destroyed.
          if (Alive.expired() || Error == boost::asio::error::operation_aborted)
            return;
          if (Error) {
            m_HasEnded = true;
            m_WasReset = Error != boost::asio::error::eof;
            return;
          }
          m_Received.append(m_Chunk.data(), Size);
          if (!m_IsPaused)
            read();
        });
  }

  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  boost::asio::ip::tcp::socket m_Socket;
  std::array<char, 4096> m_Chunk{};
  std::string m_Received;
  bool m_IsPaused = false;
  bool m_HasEnded = false;
  bool m_WasReset = false;
};

/// Accepts connections on a free port of the loopback interface.
class RawListener {
public:
  explicit RawListener(boost::asio::io_context &Loop)
      : m_Acceptor(Loop, {boost::asio::ip::make_address_v4("127.0.0.1"), 0}) {
    accept();
  }

  Endpoint address() const {
    return {"127.0.0.1", m_Acceptor.local_endpoint().port()};
  }
  size_t connections() const { return m_Peers.size(); }
  /// Peers that are accepted from now on read only once.
  void pauseNewPeers() { m_PausesNewPeers = true; }
  RawPeer &peer(size_t Index) { return *m_Peers[Index]; }
  void close() { m_Acceptor.close(); }

private:
  void accept() {
    m_Acceptor.async_accept([this](const boost::system::error_code &Error,
                                   boost::asio::ip::tcp::socket Socket) {
      if (Error)
        return;
      m_Peers.push_back(std::make_unique<RawPeer>(std::move(Socket)));
      if (m_PausesNewPeers)
        m_Peers.back()->pause();
      accept();
    });
  }

  boost::asio::ip::tcp::acceptor m_Acceptor;
  std::deque<std::unique_ptr<RawPeer>> m_Peers;
  bool m_PausesNewPeers = false;
};

} // namespace monsoon

#endif
