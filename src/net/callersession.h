#ifndef MONSOON_NET_CALLERSESSION_H
#define MONSOON_NET_CALLERSESSION_H

#include "net/readbuffer.h"
#include "net/requesthandler.h"
#include "net/trafficcount.h"
#include "ports/clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoon {

class SessionRegistry;

/// One HTTP/1.1 connection of a caller. Pipelined requests are handled
/// concurrently as far as PendingRequest::mayOverlap() allows, and answered in
/// the order of arrival. Reading continues while requests are in flight, so
/// that a disconnect is detected and cancels them.
///
/// The session closes the connection when the caller disconnects, after a
/// refused request, after a request without keep-alive, when the idle timeout
/// of RequestLimits passes, and on drain() or abort(). Used only on the thread
/// of the event loop.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(boost::asio::ip::tcp::socket Socket, const Clock &Time,
                RequestHandler &Handler, SessionRegistry &Registry);

  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;

  /// Adds the session to the registry and starts reading.
  void start();

  /// Closes the connection once all requests that were read, even in part, are
  /// answered. With CloseIdle an idle connection is closed as soon as it is
  /// certain that no bytes have arrived on it, and no request is started after
  /// those that are in flight.
  void drain(bool CloseIdle);
  /// Cancels the pending requests and closes the connection at once.
  void abort();

  /// True if the caller has closed the connection, also if that has not been
  /// read yet. Bytes that it sent before that hide it.
  bool hasDisconnected();

  /// True when no request is partly read, in flight or being answered.
  bool isIdle() const;

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// A request whose response is not yet written; kept in the order of
  /// arrival.
  ///
  /// Invariant: a response ends where the method of its request says. Each
  /// response is written by its slot, whoever made it, and the slot of a
  /// request whose method could be read knows it.
  struct Slot {
    std::shared_ptr<PendingRequest> m_Pending;
    std::optional<HttpResponse> m_Response;
    /// The connection is closed after this response.
    bool m_IsLast = false;
    bool m_IsHead = false;
  };

  void startRead();
  void received(const boost::system::error_code &Error, size_t Size);
  void parse();
  /// Sends 100 Continue if the request that is being read asks for it, once all
  /// earlier ones are answered.
  void sendContinueIfAwaited();
  void newParser();
  bool mayStartNext() const;
  /// Checks what the parser does not: the request target, Host and the framing
  /// of the body. Empty when the request is valid.
  std::string validationError(const HttpRequest &Request) const;
  void requestComplete();
  /// Refuses the request whose body is still to come if its header is enough
  /// for that. True if it was refused.
  bool refusedByHeader();
  void parseFailed(const boost::system::error_code &Error);
  /// Refuses the request that is being read.
  void refuse(ErrorKind Kind, const std::string &Detail);
  /// Gives the response and closes the connection after it.
  void refuse(HttpResponse Response, bool IsHead);
  void answered(const std::shared_ptr<Slot> &Current, HttpResponse Response);
  void writeCompleted();
  void written(const boost::system::error_code &Error, bool IsLast);
  void writeOutput();
  void armTimer();
  void checkTimeouts();
  void handleDisconnect();
  /// Closes an idle connection if nothing has arrived on it; otherwise the
  /// session goes on with what has arrived. A read that has completed counts
  /// even if its handler is still queued.
  void closeIfIdle();
  /// Continues closeIfIdle() when no read is pending.
  void closeUnlessReadable();

  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  const Clock &m_Clock;
  RequestHandler &m_Handler;
  SessionRegistry &m_Registry;

  ReadBuffer m_Buffer;
  std::optional<Parser> m_Parser;
  std::deque<std::shared_ptr<Slot>> m_Slots;
  std::vector<std::string> m_Output;
  RequestLimits m_Limits;
  /// closeIfIdle() has cancelled the pending read.
  bool m_IsReadCancelled = false;
  bool m_IsWriting = false;
  bool m_IsDraining = false;
  bool m_ClosesWhenIdle = false;
  /// No further request is started.
  bool m_IsClosing = false;
  bool m_IsClosed = false;
  bool m_HasSentContinue = false;
  /// The header of the present request has been checked by itself.
  bool m_HasCheckedHeader = false;
  /// Start of the current phase (idle, reading a header, or closing).
  TimePoint m_PhaseStart;
};

/// The open sessions of an acceptor. The process uses it to drain and abort
/// them when it stops.
class SessionRegistry {
public:
  void add(const std::shared_ptr<CallerSession> &Session);
  void remove(const CallerSession *Session);

  /// Drains all sessions; those that are added later are drained as well, but
  /// without CloseIdle.
  void drainAll(bool CloseIdle);
  /// Aborts all sessions at once.
  void abortAll();
  size_t size() const { return m_Sessions.size(); }
  /// The number of sessions that are not idle.
  size_t busyCount() const;

  /// Bytes of all sessions.
  TrafficCount &traffic() { return m_Traffic; }

  /// Counts bytes of a caller that had been read when its session was closed.
  void noteDiscardedRead() { ++m_DiscardedReads; }
  size_t discardedReads() const { return m_DiscardedReads; }

private:
  std::vector<std::shared_ptr<CallerSession>> m_Sessions;
  TrafficCount m_Traffic;
  size_t m_DiscardedReads = 0;
  bool m_IsDraining = false;
};

} // namespace monsoon

#endif
