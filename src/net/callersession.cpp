#include "net/callersession.h"

#include "core/text.h"
#include "net/address.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace monsoon {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr size_t ReadBytes = 8 << 10;
/// Limit of the bytes buffered beyond the current request. Beyond it nothing is
/// read, so that TCP flow control holds the caller back.
constexpr size_t ReadAheadBytes = 64 << 10;
/// Maximum number of pipelined requests of one connection that are handled
/// concurrently.
constexpr size_t MaxPipelined = 32;
/// A method whose responses have no body.
constexpr std::string_view HeadMethod = "HEAD";
/// Time that a caller has to read the last response before the connection is
/// closed; bytes that it still sends are discarded.
constexpr Milliseconds CloseTimeout{1000};
/// Time after which a connection is dropped when bytes sent to the caller are
/// not acknowledged.
constexpr Milliseconds CallerUserTimeout{5000};

HttpRequest toRequest(const http::request<http::string_body> &Parsed) {
  HttpRequest Result;
  const auto Method = Parsed.method_string();
  Result.m_Method.assign(Method.data(), Method.size());
  const auto Target = Parsed.target();
  Result.m_Target.assign(Target.data(), Target.size());
  for (const auto &Field : Parsed) {
    const auto Name = Field.name_string();
    const auto Value = Field.value();
    Result.m_Fields.add({Name.data(), Name.size()},
                        {Value.data(), Value.size()});
  }
  Result.m_HasBody = Result.m_Fields.find("Content-Length") ||
                     Result.m_Fields.find("Transfer-Encoding");
  return Result;
}

} // namespace

CallerSession::CallerSession(asio::ip::tcp::socket Socket, const Clock &Time,
                             RequestHandler &Handler, SessionRegistry &Registry)
    : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()),
      m_Clock(Time), m_Handler(Handler), m_Registry(Registry),
      m_PhaseStart(Time.now()) {}

void CallerSession::start() {
  m_Registry.add(shared_from_this());
  setSocketOptions(m_Socket, CallerUserTimeout);
  newParser();
  startRead();
  armTimer();
}

bool CallerSession::isIdle() const {
  return m_Slots.empty() && !m_IsWriting && m_Buffer.size() == 0 &&
         !(m_Parser && m_Parser->got_some());
}

bool CallerSession::hasDisconnected() {
  if (m_IsClosed)
    return true;
  char Byte = 0;
  const ssize_t Size = ::recv(m_Socket.native_handle(), &Byte, sizeof(Byte),
                              MSG_PEEK | MSG_DONTWAIT);
  const bool IsOpen =
      Size > 0 ||
      (Size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR));
  // No read may be pending that would notice it.
  if (!IsOpen)
    asio::post(m_Socket.get_executor(),
               [Self = shared_from_this()]() { Self->abort(); });
  return !IsOpen;
}

void CallerSession::drain(bool CloseIdle) {
  m_IsDraining = true;
  m_ClosesWhenIdle = CloseIdle;
  if (m_ClosesWhenIdle && isIdle()) {
    closeIfIdle();
    return;
  }
  // A caller that always has a request in flight would otherwise keep the
  // connection open for ever.
  if (m_ClosesWhenIdle && !m_Slots.empty() && !m_IsClosing) {
    m_IsClosing = true;
    m_Slots.back()->m_IsLast = true;
  }
}

void CallerSession::closeIfIdle() {
  // After the last response the caller ends the connection, or CloseTimeout.
  if (m_IsClosed || m_IsClosing || !isIdle())
    return;
  if (!m_Buffer.isReadPending()) {
    closeUnlessReadable();
    return;
  }
  // Cancelling has no effect on a read that has completed.
  m_IsReadCancelled = true;
  error_code Ignored;
  m_Socket.cancel(Ignored);
}

void CallerSession::closeUnlessReadable() {
  error_code Error;
  if (m_Socket.available(Error) > 0 && !Error)
    startRead();
  else
    abort();
}

void CallerSession::abort() {
  if (m_IsClosed)
    return;
  m_IsClosed = true;
  const auto Self = shared_from_this();
  // From the last to the first: what a request in flight leaves free must not
  // go to a queued one of the same caller.
  const auto Slots = std::exchange(m_Slots, {});
  for (auto It = Slots.rbegin(); It != Slots.rend(); ++It)
    if ((*It)->m_Pending)
      (*It)->m_Pending->cancel();
  error_code Ignored;
  m_Timer.cancel();
  m_Socket.close(Ignored);
  m_Registry.remove(this);
}

void CallerSession::startRead() {
  if (m_Buffer.isReadPending() || m_IsClosed ||
      m_Buffer.size() >= ReadAheadBytes)
    return;
  m_Socket.async_read_some(
      m_Buffer.beginRead(ReadBytes),
      [Self = shared_from_this()](const error_code &Error, size_t Size) {
        Self->m_Buffer.endRead(Size);
        Self->received(Error, Size);
      });
}

void CallerSession::received(const error_code &Error, size_t Size) {
  if (m_IsClosed) {
    if (!Error && m_ClosesWhenIdle)
      m_Registry.noteDiscardedRead();
    return;
  }
  if (std::exchange(m_IsReadCancelled, false) &&
      Error == asio::error::operation_aborted) {
    closeUnlessReadable();
    return;
  }
  if (Error) {
    handleDisconnect();
    return;
  }
  m_Registry.traffic().m_Received += Size;
  if (m_IsClosing) {
    m_Buffer.clear();
    startRead();
    return;
  }
  parse();
  startRead();
}

void CallerSession::handleDisconnect() { abort(); }

bool CallerSession::mayStartNext() const {
  if (m_IsClosing || m_IsClosed || m_Slots.size() >= MaxPipelined)
    return false;
  return std::all_of(m_Slots.begin(), m_Slots.end(), [](const auto &Each) {
    return Each->m_Response ||
           (Each->m_Pending && Each->m_Pending->mayOverlap());
  });
}

void CallerSession::newParser() {
  m_Limits = m_Handler.limits();
  m_Parser.emplace();
  m_Parser->eager(true);
  m_Parser->header_limit(static_cast<uint32_t>(m_Limits.m_HeaderBytes));
  m_Parser->body_limit(m_Limits.m_BodyBytes);
  m_HasSentContinue = false;
  m_HasCheckedHeader = false;
}

void CallerSession::parse() {
  while (m_Buffer.size() > 0 && mayStartNext()) {
    const bool IsFirstByte = !m_Parser->got_some();
    error_code Error;
    const size_t Consumed = m_Parser->put(m_Buffer.data(), Error);
    m_Buffer.consume(Consumed);
    if (Error == http::error::need_more)
      Error = {};
    if (Error) {
      parseFailed(Error);
      return;
    }
    if (IsFirstByte && m_Parser->got_some() && !m_Parser->is_done()) {
      // The header timeout starts at the first byte of the header.
      m_PhaseStart = m_Clock.now();
      armTimer();
    }
    if (m_Parser->is_done()) {
      requestComplete();
      continue;
    }
    if (m_Parser->is_header_done() && refusedByHeader())
      return;
    sendContinueIfAwaited();
    if (Consumed == 0)
      return;
  }
}

void CallerSession::sendContinueIfAwaited() {
  const bool IsAwaited = m_Parser->is_header_done() && !m_Parser->is_done() &&
                         !m_HasSentContinue &&
                         m_Parser->get().count(http::field::expect) > 0;
  if (!IsAwaited || !m_Slots.empty() || m_IsWriting || m_IsClosing)
    return;
  m_HasSentContinue = true;
  m_Output = {"HTTP/1.1 100 Continue\r\n\r\n"};
  writeOutput();
}

std::string CallerSession::validationError(const HttpRequest &Request) const {
  if (Request.m_Target.empty() || Request.m_Target.front() != '/')
    return "the request target must be a path that starts with /";
  if (Request.m_Fields.count("Host") != 1)
    return "a request must have exactly one Host field";
  if (Request.m_Fields.count("Content-Length") > 1)
    return "more than one Content-Length field";
  const std::string *Coding = Request.m_Fields.find("Transfer-Encoding");
  if (!Coding)
    return "";
  if (Request.m_Fields.find("Content-Length"))
    return "Content-Length and Transfer-Encoding exclude each other";
  if (!equalsIgnoreCase(*Coding, "chunked") ||
      Request.m_Fields.count("Transfer-Encoding") > 1)
    return "the only supported transfer coding is chunked";
  return "";
}

void CallerSession::requestComplete() {
  const bool KeepAlive = m_Parser->keep_alive();
  const bool IsOldVersion = m_Parser->get().version() < 11;
  auto Parsed = m_Parser->release();
  HttpRequest Request = toRequest(Parsed);
  Request.m_Body = std::move(Parsed.body());
  newParser();
  m_PhaseStart = m_Clock.now();
  const std::string Violation = IsOldVersion
                                    ? std::string("HTTP/1.1 is required")
                                    : validationError(Request);
  const bool IsHead = Request.m_Method == HeadMethod;
  if (!Violation.empty()) {
    refuse(m_Handler.refuse(ErrorKind::BadRequest, Violation), IsHead);
    return;
  }
  const auto Current = std::make_shared<Slot>();
  Current->m_IsHead = IsHead;
  Current->m_IsLast = !KeepAlive;
  if (!KeepAlive)
    m_IsClosing = true;
  m_Slots.push_back(Current);
  const std::weak_ptr<CallerSession> Weak = weak_from_this();
  const auto Pending = m_Handler.handle(
      std::move(Request), ReplyChannel(
                              [Weak, Current](HttpResponse Response) {
                                if (const auto Self = Weak.lock())
                                  Self->answered(Current, std::move(Response));
                              },
                              [Weak]() {
                                const auto Self = Weak.lock();
                                return !Self || Self->hasDisconnected();
                              }));
  if (!Current->m_Response)
    Current->m_Pending = Pending;
}

bool CallerSession::refusedByHeader() {
  if (std::exchange(m_HasCheckedHeader, true))
    return false;
  const HttpRequest Head = toRequest(m_Parser->get());
  auto Refusal = m_Handler.refuseByHeader(Head);
  if (!Refusal)
    return false;
  refuse(std::move(*Refusal), Head.m_Method == HeadMethod);
  return true;
}

void CallerSession::parseFailed(const error_code &Error) {
  if (Error == http::error::header_limit)
    refuse(ErrorKind::HeaderTooLarge,
           "the request header exceeds the size limit");
  else if (Error == http::error::body_limit)
    refuse(ErrorKind::BodyTooLarge, "the request body exceeds the size limit");
  else
    refuse(ErrorKind::BadRequest, Error.message());
}

void CallerSession::refuse(ErrorKind Kind, const std::string &Detail) {
  // Known as soon as the request line was read.
  const bool IsHead = m_Parser->get().method() == http::verb::head;
  refuse(m_Handler.refuse(Kind, Detail), IsHead);
}

void CallerSession::refuse(HttpResponse Response, bool IsHead) {
  m_IsClosing = true;
  m_Buffer.clear();
  const auto Current = std::make_shared<Slot>();
  Current->m_IsLast = true;
  Current->m_IsHead = IsHead;
  m_Slots.push_back(Current);
  answered(Current, std::move(Response));
}

void CallerSession::answered(const std::shared_ptr<Slot> &Current,
                             HttpResponse Response) {
  if (m_IsClosed)
    return;
  Current->m_Response = std::move(Response);
  Current->m_Pending = nullptr;
  writeCompleted();
}

void CallerSession::writeCompleted() {
  if (m_IsWriting || m_IsClosed)
    return;
  m_Output.clear();
  bool IsLast = false;
  while (!m_Slots.empty() && m_Slots.front()->m_Response && !IsLast) {
    const auto Current = m_Slots.front();
    m_Slots.pop_front();
    // A draining session closes after the last request of which any byte was
    // read, since those requests must be answered.
    if (m_IsDraining && m_Slots.empty() && m_Buffer.size() == 0 &&
        !m_Parser->got_some())
      m_IsClosing = Current->m_IsLast = true;
    IsLast = Current->m_IsLast;
    m_Output.push_back(
        writeResponseHead(*Current->m_Response, {IsLast, Current->m_IsHead}));
    if (!Current->m_IsHead)
      m_Output.push_back(std::move(Current->m_Response->m_Body));
  }
  if (!m_Output.empty())
    writeOutput();
}

void CallerSession::writeOutput() {
  m_IsWriting = true;
  std::vector<asio::const_buffer> Parts;
  Parts.reserve(m_Output.size());
  for (const std::string &Each : m_Output)
    if (!Each.empty())
      Parts.push_back(asio::buffer(Each));
  const bool IsLast = m_IsClosing && m_Slots.empty();
  asio::async_write(m_Socket, Parts,
                    [Self = shared_from_this(), IsLast](const error_code &Error,
                                                        size_t Size) {
                      Self->m_Registry.traffic().m_Sent += Size;
                      Self->written(Error, IsLast);
                    });
}

void CallerSession::written(const error_code &Error, bool IsLast) {
  m_IsWriting = false;
  m_Output.clear();
  if (m_IsClosed)
    return;
  if (Error) {
    handleDisconnect();
    return;
  }
  m_PhaseStart = m_Clock.now();
  if (IsLast) {
    // Closing a socket with unread bytes sends a reset, which could discard the
    // response before the caller reads it.
    error_code Ignored;
    m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    m_Buffer.clear();
    startRead();
    armTimer();
    return;
  }
  writeCompleted();
  // The header may have been read while earlier requests were in flight.
  sendContinueIfAwaited();
  parse();
  startRead();
  if (m_ClosesWhenIdle)
    closeIfIdle();
}

void CallerSession::armTimer() {
  Duration Timeout = m_Limits.m_IdleTimeout;
  if (m_IsClosing && m_Slots.empty() && !m_IsWriting)
    Timeout = CloseTimeout;
  else if (m_Parser && m_Parser->got_some())
    Timeout = m_Limits.m_HeaderTimeout;
  const Duration Remaining = m_PhaseStart + Timeout - m_Clock.now();
  m_Timer.expires_after(std::max<Duration>(Remaining, Milliseconds(1)));
  m_Timer.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error)
      Self->checkTimeouts();
  });
}

void CallerSession::checkTimeouts() {
  if (m_IsClosed)
    return;
  const Duration Elapsed = m_Clock.now() - m_PhaseStart;
  const bool IsClosing = m_IsClosing && m_Slots.empty() && !m_IsWriting;
  if (IsClosing && Elapsed >= CloseTimeout) {
    abort();
    return;
  }
  const bool InHeader = m_Parser->got_some() && !m_Parser->is_header_done();
  if (InHeader && Elapsed >= m_Limits.m_HeaderTimeout && mayStartNext()) {
    refuse(ErrorKind::RequestTimeout,
           "the request header was not received before the timeout");
    return;
  }
  if (m_Slots.empty() && !m_IsWriting && Elapsed >= m_Limits.m_IdleTimeout) {
    if (!isIdle()) {
      abort();
      return;
    }
    closeIfIdle();
    if (m_IsClosed)
      return;
  }
  if (!m_Slots.empty() || m_IsWriting)
    m_PhaseStart = m_Clock.now();
  armTimer();
}

void SessionRegistry::add(const std::shared_ptr<CallerSession> &Session) {
  m_Sessions.push_back(Session);
  if (m_IsDraining)
    Session->drain(false);
}

void SessionRegistry::remove(const CallerSession *Session) {
  const auto It = std::find_if(
      m_Sessions.begin(), m_Sessions.end(),
      [Session](const auto &Each) { return Each.get() == Session; });
  if (It == m_Sessions.end())
    return;
  std::swap(*It, m_Sessions.back());
  m_Sessions.pop_back();
}

void SessionRegistry::drainAll(bool CloseIdle) {
  m_IsDraining = true;
  for (const auto &Each : std::vector(m_Sessions))
    Each->drain(CloseIdle);
}

void SessionRegistry::abortAll() {
  for (const auto &Each : std::vector(m_Sessions))
    Each->abort();
}

size_t SessionRegistry::busyCount() const {
  return static_cast<size_t>(
      std::count_if(m_Sessions.begin(), m_Sessions.end(),
                    [](const auto &Each) { return !Each->isIdle(); }));
}

} // namespace monsoon
