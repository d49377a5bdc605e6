#ifndef MONSOON_NET_HTTPLINK_H
#define MONSOON_NET_HTTPLINK_H

#include "core/httpmessage.h"
#include "core/settings.h"
#include "net/bytebudget.h"
#include "net/readbuffer.h"
#include "net/trafficcount.h"
#include "ports/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace monsoon {

/// How a request on an HttpLink ended.
enum class LinkResult {
  /// The complete response was received.
  Answered,
  /// No byte of the request was sent, so the peer cannot have run it.
  NotSent,
  /// As NotSent; the peer refused or reset the connection attempt, so nothing
  /// listens at the address.
  Refused,
  /// As NotSent; the sender no longer wanted it sent there once the connection
  /// was open.
  Withdrawn,
  /// The connection failed, the response ended early or the timeout passed; the
  /// peer may have run the request.
  Lost,
  /// The bytes received are not a valid response to the request; the peer may
  /// have run it.
  Garbled
};

/// An HTTP/1.1 client connection that carries one request at a time. It
/// connects at the first send() and stays open between requests if the peer
/// allows it. All calls and callbacks happen on the event loop's thread.
///
/// The connection is reused only when both the response is complete and the
/// request is completely written: a peer that responds early still reads the
/// rest of the body, and would take the bytes of another request for it. A
/// response belongs to the request whose id it repeats; see Options.
///
/// A response with an invalid status ends the request as soon as its header is
/// received.
///
/// The end of the connection completes a response without a length only if the
/// peer ended its stream (FIN). The operating system reports the failure of a
/// connection to one call only; if that is a write, the next read returns an
/// end of stream. So the link writes synchronously, without blocking, and notes
/// a failure before the next read.
class HttpLink : public std::enable_shared_from_this<HttpLink> {
public:
  /// Called once per request, unless close() is called first.
  using Done = std::function<void(LinkResult, HttpResponse)>;
  /// True while a request should still be sent on this link.
  using IsWanted = std::function<bool()>;

  struct Options {
    Endpoint m_Address;
    /// Limit for establishing the connection.
    Milliseconds m_ConnectTimeout{400};
    /// TCP_USER_TIMEOUT: the connection is dropped when sent bytes are not
    /// acknowledged for this long.
    Milliseconds m_UserTimeout{1500};
    /// Largest response body that is accepted, in bytes.
    size_t m_MaxBodyBytes = 64 << 20;
    /// Limits the bodies of all links that share it; null for no common limit.
    std::shared_ptr<ByteBudget> m_Budget;
    /// Counts the bytes of all links that share it; null if nothing counts.
    std::shared_ptr<TrafficCount> m_Traffic;
    /// Time for which a request may still be written once its response is
    /// complete; then the connection is closed.
    Milliseconds m_WriteTimeout{2000};
    /// Limit for the pause between two parts of a response, in place of the
    /// timeout of send(), which then covers only the time to the first byte.
    /// Zero: send()'s timeout covers the whole response.
    Milliseconds m_PauseTimeout{0};
    /// With a pause timeout, limit for the time from the first byte of a
    /// response to its last.
    Milliseconds m_LongestResponse{10'000};
    /// Name of the response field that repeats the request's id. Responses with
    /// the id of another request are discarded, so an id must be sent only once
    /// on a connection; see LinkPool::acquire(). Empty: not checked.
    std::string m_RequestIdField;
  };

  HttpLink(boost::asio::io_context &Loop, const Clock &Time, Options Config);

  ~HttpLink();

  HttpLink(const HttpLink &) = delete;
  HttpLink &operator=(const HttpLink &) = delete;

  /// Sends a request, connecting first if necessary. No other request may be in
  /// flight. The timeout covers the time from the start of the write to the
  /// complete response; zero means none, and the caller then has to call
  /// close() itself. A request that has to wait for the connection is sent only
  /// if StillWanted then returns true; null for always.
  void send(std::string Head, std::shared_ptr<const std::string> Body,
            std::string RequestId, bool ExpectsBody, Milliseconds Timeout,
            Done Callback, IsWanted StillWanted = nullptr);

  /// When the first byte of the last request was written, or was about to be;
  /// unset before.
  TimePoint writeStart() const { return m_WriteStart; }

  /// Resets the connection. The callback of a request in flight is not called.
  void close();

  /// True when a request can be sent now: no request is in flight or still
  /// being written, and the connection is new or not close to the peer's idle
  /// timeout.
  bool isUsable() const;
  /// True when the connection is open and no request is in flight or still
  /// being written.
  bool isConnected() const { return m_State == State::Free && m_IsConnected; }
  bool isClosed() const { return m_State == State::Closed; }
  /// False while the connection is being established: no byte of the current
  /// request can have been sent then.
  bool mayHaveSent() const { return m_State != State::Connecting; }
  /// When the last request ended, or the link was created.
  TimePoint idleSince() const { return m_IdleSince; }
  const Endpoint &address() const { return m_Config.m_Address; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;
  /// Finishing: the response is complete, but the request is still written.
  enum class State { Free, Connecting, Busy, Finishing, Closed };

  /// The bytes of a request. A write in progress shares them, since it may
  /// outlast the request.
  struct Message {
    std::string m_Head;
    std::shared_ptr<const std::string> m_Body;

    size_t size() const;
    /// What to write next once the first Start bytes are written; a limited
    /// part of the rest.
    std::array<boost::asio::const_buffer, 2> part(size_t Start) const;
  };

  void connect();
  void connected(const boost::system::error_code &Error);
  void write();
  /// Writes without blocking; the event loop continues what is left.
  void writePart();
  void continueWrite();
  void writeFailed(const boost::system::error_code &Error);
  void writeEnded();
  void startRead();
  void received(const boost::system::error_code &Error, size_t Size);
  void handleReadError(const boost::system::error_code &Error);
  /// Passes the received bytes to the parser. False when the connection must
  /// not be read any further.
  bool parse();
  void newParser();
  /// Takes what the body has grown by from the common budget. False if the
  /// budget is exhausted.
  bool accountBody();
  void releaseBody();
  /// The kind of the response that is being received, whose header must be
  /// complete.
  ResponseKind receivedKind() const;
  /// Handles an interim response (1xx), which is not passed on.
  void interimComplete();
  void responseComplete();
  void finish(LinkResult Result, HttpResponse Response);
  void becomeFree();
  void startTimer(Milliseconds Length, LinkResult Result);
  /// Extends the time limit of a response of which another part has arrived.
  void extendTimer();

  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  const Clock &m_Clock;
  const Options m_Config;
  State m_State = State::Free;
  bool m_IsConnected = false;
  /// True when the connection cannot be reused after the current response.
  bool m_ClosesAfterResponse = false;
  TimePoint m_WriteStart{};
  TimePoint m_IdleSince;
  /// Time after which the peer closes an idle connection.
  Duration m_PeerIdleTimeout;

  std::shared_ptr<const Message> m_Message;
  bool m_IsWriting = false;
  /// Bytes of the request that the socket has taken.
  size_t m_WrittenBytes = 0;
  /// True when a write has reported that the connection failed before the peer
  /// ended its stream. An end of stream that is read then is that failure.
  bool m_HasFailed = false;
  std::string m_RequestId;
  bool m_ExpectsBody = true;
  Milliseconds m_Timeout{0};
  /// When the first byte of the response arrived.
  std::optional<TimePoint> m_ResponseStart;
  Done m_Done;
  IsWanted m_StillWanted;
  ReadBuffer m_Buffer;
  std::optional<Parser> m_Parser;
  /// Bytes taken from the common budget.
  size_t m_TakenBytes = 0;
  /// Interim responses to the current request.
  int m_Interims = 0;
};

} // namespace monsoon

#endif
