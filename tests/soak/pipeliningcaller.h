#ifndef MONSOON_TESTS_SOAK_PIPELININGCALLER_H
#define MONSOON_TESTS_SOAK_PIPELININGCALLER_H

#include "soak/soakcaller.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <optional>
#include <string>

namespace monsoon {

/// A caller that sends batches of up to 90 requests ahead on one connection,
/// lookups with orders and HEAD among them, in segments of random sizes. Checks
/// that the answers come in order and belong to their requests.
class PipeliningCaller {
public:
  PipeliningCaller(int Number, const SoakCaller::Parts &Shared);

  /// Sends batches until stop(). May be called again after it.
  void start();
  void stop() { m_IsStopped = true; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  struct Sent {
    std::string m_Id;
    std::string m_Method;
  };

  void connect();
  void sendBatch();
  std::string makeRequest();
  void writeNextSegment();
  void read();
  /// Parses what was received. False once the connection was closed.
  bool parse();
  bool checkAnswer(const Sent &Request, Parser &Answer);
  /// Closes the connection and continues on another one after a pause.
  void reconnect();
  void after(Milliseconds Delay, void (PipeliningCaller::*Step)());

  const int m_Number;
  const SoakCaller::Parts m_Parts;
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  /// Connections that were opened; callbacks of former ones do nothing.
  int m_Connections = 0;
  HostProcess *m_Host = nullptr;
  std::string m_Unsent;
  std::string m_Segment;
  std::deque<Sent> m_Awaited;
  boost::beast::flat_buffer m_Received;
  std::optional<Parser> m_Parser;
  bool m_IsStopped = true;
  bool m_IsBusy = false;
  int m_SentCount = 0;
};

} // namespace monsoon

#endif
