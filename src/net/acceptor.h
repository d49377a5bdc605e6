#ifndef MONSOON_NET_ACCEPTOR_H
#define MONSOON_NET_ACCEPTOR_H

#include "core/outcome.h"
#include "core/settings.h"
#include "net/callersession.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace monsoon {

/// Listens at an address and starts a CallerSession for each connection.
class Acceptor {
public:
  Acceptor(boost::asio::io_context &Loop, const Clock &Time,
           RequestHandler &Handler);

  /// Binds and listens. Fails with SettingsInvalid, whose message names the
  /// address.
  Outcome<void> listen(const Endpoint &Address);

  /// The local address, with the port that the system chose for port 0. Empty
  /// when the socket is not open.
  Endpoint address() const;

  /// Stops accepting. Open sessions continue, and connections that the system
  /// has established already get a session.
  void close();

  /// Closes the connections that are idle and, once none is left, stops
  /// accepting. True when no connection is left after that. To be called
  /// repeatedly, with the event loop running in between.
  bool closeWhenIdle();

  SessionRegistry &sessions() { return m_Sessions; }

private:
  void acceptNext();
  /// Accepts the connections that are waiting, up to a limit.
  void acceptWaiting();
  void startSession(boost::asio::ip::tcp::socket Socket);

  const Clock &m_Clock;
  RequestHandler &m_Handler;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_RetryTimer;
  SessionRegistry m_Sessions;
};

} // namespace monsoon

#endif
