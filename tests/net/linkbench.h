#ifndef MONSOON_TESTS_NET_LINKBENCH_H
#define MONSOON_TESTS_NET_LINKBENCH_H

#include "net/httplink.h"
#include "net/linkpool.h"
#include "net/rawpeer.h"
#include "program/boottimeclock.h"

#include <doctest.h>

#include <memory>
#include <optional>
#include <string>

namespace monsoon {

/// A pool of links to a peer whose bytes the test writes.
struct LinkBench {
  explicit LinkBench(Milliseconds PauseTimeout = Milliseconds(0),
                     Milliseconds LongestResponse = Milliseconds(0))
      : m_PauseTimeout(PauseTimeout), m_LongestResponse(LongestResponse),
        m_Server(m_Loop), m_Links(m_Loop, m_Time, options()) {}

  HttpLink::Options options() const {
    HttpLink::Options Options;
    Options.m_Address = m_Server.address();
    Options.m_RequestIdField = "X-Id";
    Options.m_Budget = m_Budget;
    Options.m_WriteTimeout = m_WriteTimeout;
    Options.m_UserTimeout = m_UserTimeout;
    Options.m_PauseTimeout = m_PauseTimeout;
    Options.m_LongestResponse = m_LongestResponse;
    return Options;
  }

  /// Sends a request with a body to a peer that reads only its first bytes.
  /// Returns the link once the peer has them.
  std::shared_ptr<HttpLink> sendUnread(const std::string &Id,
                                       std::shared_ptr<const std::string> Body,
                                       Milliseconds Timeout = Milliseconds(0)) {
    m_Server.pauseNewPeers();
    m_Result.reset();
    const auto Link = m_Links.acquire();
    Link->send("POST /" + Id + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                   std::to_string(Body->size()) + "\r\n\r\n",
               Body, Id, true, Timeout,
               [this](LinkResult Result, HttpResponse Answer) {
                 m_Result = Result;
                 m_Answer = std::move(Answer);
               });
    CHECK(runUntil(m_Loop, [&]() {
      return m_Server.connections() > 0 && !peer().received().empty();
    }));
    return Link;
  }

  /// Sends a request and waits until the server has received bytes of it.
  std::shared_ptr<HttpLink> send(const std::string &Id) {
    m_Result.reset();
    const auto Link = m_Links.acquire();
    const size_t Connections =
        m_Server.connections() + (Link->isConnected() ? 0 : 1);
    const size_t ReceivedBefore =
        Link->isConnected() ? peer().received().size() : 0;
    Link->send("GET /" + Id + " HTTP/1.1\r\nHost: a\r\n\r\n", nullptr, Id, true,
               Milliseconds(0), [this](LinkResult Result, HttpResponse Answer) {
                 m_Result = Result;
                 m_Answer = std::move(Answer);
               });
    CHECK(runUntil(m_Loop, [&]() {
      return m_Server.connections() == Connections &&
             peer().received().size() > ReceivedBefore;
    }));
    return Link;
  }

  RawPeer &peer() { return m_Server.peer(m_Server.connections() - 1); }

  LinkResult result() {
    REQUIRE(runUntil(m_Loop, [this]() { return m_Result.has_value(); }));
    return *m_Result;
  }

  static constexpr Milliseconds m_WriteTimeout{300};
  static constexpr Milliseconds m_UserTimeout{1000};
  const Milliseconds m_PauseTimeout;
  const Milliseconds m_LongestResponse;
  boost::asio::io_context m_Loop;
  BootTimeClock m_Time;
  RawListener m_Server;
  std::shared_ptr<ByteBudget> m_Budget = std::make_shared<ByteBudget>(1 << 20);
  LinkPool m_Links;
  std::optional<LinkResult> m_Result;
  HttpResponse m_Answer;
};

/// A whole response that leaves the connection open.
inline std::string answer(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nX-Id: " + Id +
         "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Longer than the buffers of both sockets of a loopback connection.
constexpr size_t LongBodyBytes = 24 << 20;

inline std::shared_ptr<const std::string> makeBody(size_t Size) {
  return std::make_shared<const std::string>(Size, 'b');
}

} // namespace monsoon

#endif
