#ifndef MONSOON_NET_CALLERSESSION_H
#define MONSOON_NET_CALLERSESSION_H

#include "net/requesthandler.h"
#include "ports/clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoon {

class SessionBook;

/// One connection of a caller. Requests that were sent ahead are handled side
/// by side as far as they may overlap, and answered in their order. The read
/// side stays open while requests run, so that a caller's leaving is noticed.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
public:
  CallerSession(boost::asio::ip::tcp::socket Socket, const Clock &Time,
                RequestHandler &Handler, SessionBook &Book);

  CallerSession(const CallerSession &) = delete;
  CallerSession &operator=(const CallerSession &) = delete;

  void start();

  /// Ends the connection behind the answers to what was read. CloseIdle also
  /// ends it when no request is under way.
  void drain(bool CloseIdle);
  /// Ends the connection at once.
  void abort();

  /// True when no request was begun or waits for its answer.
  bool isIdle() const;

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// A request in the order of arrival.
  struct Slot {
    std::shared_ptr<PendingRequest> m_Pending;
    std::optional<HttpResponse> m_Answer;
    /// The connection ends after this answer.
    bool m_Last = false;
  };

  void startRead();
  void received(const boost::system::error_code &Error, size_t Size);
  void parse();
  void newParser();
  bool mayStartNext() const;
  /// Checks what the parser leaves open; empty when the request is sound.
  std::string faultOf(const HttpRequest &Request) const;
  void requestComplete();
  void parseFailed(const boost::system::error_code &Error);
  void refuse(ErrorKind Kind, const std::string &Detail);
  void answered(const std::shared_ptr<Slot> &Which, HttpResponse Answer);
  void writeReady();
  void written(const boost::system::error_code &Error, bool Last);
  void finishWriting();
  void watch();
  void checkTime();
  void callerGone();

  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  const Clock &m_Clock;
  RequestHandler &m_Handler;
  SessionBook &m_Book;

  boost::beast::flat_buffer m_Buffer;
  std::optional<Parser> m_Parser;
  std::deque<std::shared_ptr<Slot>> m_Slots;
  std::vector<std::string> m_Output;
  RequestLimits m_Limits;
  bool m_Reading = false;
  bool m_Writing = false;
  bool m_Draining = false;
  bool m_CloseIdle = false;
  /// No further request is read.
  bool m_Closing = false;
  bool m_Closed = false;
  bool m_ContinueSent = false;
  /// Since when the present phase (idle, header, closing) has lasted.
  TimePoint m_Since;
};

/// Keeps the open sessions, so that a stop can end them in order.
class SessionBook {
public:
  void add(const std::shared_ptr<CallerSession> &Session);
  void remove(const CallerSession *Session);

  /// Drains all sessions, and those that are added later.
  void drainAll(bool CloseIdle);
  void abortAll();
  size_t size() const { return m_Sessions.size(); }
  /// Sessions with a request that was begun and not answered.
  size_t busy() const;

private:
  std::vector<std::shared_ptr<CallerSession>> m_Sessions;
  bool m_Draining = false;
};

} // namespace monsoon

#endif
