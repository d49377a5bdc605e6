#ifndef MONSOON_NET_HTTPLINK_H
#define MONSOON_NET_HTTPLINK_H

#include "core/httpmessage.h"
#include "core/settings.h"
#include "ports/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace monsoon {

/// How a call on a link ended.
enum class LinkResult {
  /// A whole answer came.
  Answered,
  /// The peer can't have read any byte of the request.
  NotSent,
  /// As NotSent, and nothing listens at the address.
  Refused,
  /// The connection failed or the answer ended early; the request may have
  /// been run.
  Lost,
  /// What came is no answer to the request; it may have been run.
  Garbled
};

/// A client's HTTP/1.1 connection that carries one request at a time. All calls
/// and callbacks belong to the event loop's thread.
class HttpLink : public std::enable_shared_from_this<HttpLink> {
public:
  /// Called once per request unless the link is closed before.
  using Done = std::function<void(LinkResult, HttpResponse)>;

  struct Options {
    Endpoint m_Address;
    /// Time for a connection to be established.
    Milliseconds m_ConnectTimeout{400};
    /// Time for which sent bytes may stay without an acknowledgement.
    Milliseconds m_UserTimeout{1500};
    /// Largest answer that is accepted.
    size_t m_AnswerBytes = 64 << 20;
    /// Field that tells which request an answer belongs to; answers that name
    /// another request are passed over. Empty: not checked.
    std::string m_EchoField;
  };

  HttpLink(boost::asio::io_context &Loop, const Clock &Time, Options Config);

  HttpLink(const HttpLink &) = delete;
  HttpLink &operator=(const HttpLink &) = delete;

  /// Sends a request, connecting first if need be. The link must be free.
  /// Timeout zero means that the caller watches the time itself.
  void send(std::string Head, std::shared_ptr<const std::string> Body,
            std::string RequestId, bool ExpectsBody, Milliseconds Timeout,
            Done Callback);

  /// Ends the connection with a reset; a running call is not called back.
  void close();

  /// True when it was never connected or can carry another request now.
  bool isUsable() const;
  bool isConnected() const { return m_State == State::Free && m_Connected; }
  bool isClosed() const { return m_State == State::Closed; }
  /// False while the connection for the present call is being opened, so that
  /// the peer can't have got any of it.
  bool mayHaveSent() const { return m_State != State::Connecting; }
  /// Since when it has carried no request.
  TimePoint idleSince() const { return m_IdleSince; }
  const Endpoint &address() const { return m_Config.m_Address; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  enum class State { Free, Connecting, Busy, Closed };

  void connect();
  void connected(const boost::system::error_code &Error);
  void write();
  void startRead();
  void received(const boost::system::error_code &Error, size_t Size);
  void ended(const boost::system::error_code &Error);
  /// Feeds the parser; false when the call is over.
  bool parse();
  void newParser();
  void answerComplete();
  void finish(LinkResult Result, HttpResponse Answer);
  void startTimer(Milliseconds Length, LinkResult Result);

  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  const Clock &m_Clock;
  const Options m_Config;
  State m_State = State::Free;
  bool m_Connected = false;
  /// Set when the connection can't be used after the present answer.
  bool m_LastAnswer = false;
  TimePoint m_IdleSince;
  /// How long the peer keeps the connection when idle.
  Milliseconds m_PeerKeepsIdle;

  std::string m_Head;
  std::shared_ptr<const std::string> m_Body;
  std::string m_RequestId;
  bool m_ExpectsBody = true;
  Milliseconds m_Timeout{0};
  Done m_Done;
  boost::beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
};

} // namespace monsoon

#endif
