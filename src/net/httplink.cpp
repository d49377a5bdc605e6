#include "net/httplink.h"

#include "core/measure.h"
#include "net/address.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace monsoon {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Bytes asked for by one read outside and (below) inside a response body.
constexpr size_t ReadBytes = 16 << 10;
constexpr size_t BodyReadBytes = 64 << 10;
/// Limit of the bytes written at a time, so that a long request leaves the
/// event loop to others.
constexpr size_t WriteBytes = 64 << 10;
constexpr size_t MaxResponseHeaderBytes = 64 << 10;
/// More bytes than this without a complete part, such as the extension of a
/// chunk, are no response.
constexpr size_t MaxUnparsedBytes = 2 * MaxResponseHeaderBytes;
/// Bodies up to this size do not count in the common budget.
constexpr size_t UncountedBodyBytes = 256 << 10;
/// Idle timeout assumed for a peer that sends no Keep-Alive timeout.
constexpr Milliseconds DefaultPeerIdleTimeout{900};
/// An idle connection is no longer used in this interval before the peer's idle
/// timeout, since the peer could close it while a request is on its way.
constexpr Milliseconds IdleMargin{500};

/// The timeout in a Keep-Alive field such as "timeout=10, max=5". Empty when
/// there is none.
std::optional<Duration> parseKeepAliveTimeout(std::string_view Value) {
  constexpr std::string_view Name = "timeout=";
  const size_t Start = Value.find(Name);
  if (Start == std::string_view::npos)
    return std::nullopt;
  const std::string_view Rest = Value.substr(Start + Name.size());
  return parseDuration(Rest.substr(0, Rest.find_first_of(",; \t")),
                       std::chrono::seconds(1));
}

HttpResponse toResponse(http::response<http::string_body> &&Parsed) {
  HttpResponse Result;
  Result.m_Status = static_cast<int>(Parsed.result_int());
  for (const auto &Field : Parsed) {
    const auto Name = Field.name_string();
    const auto Value = Field.value();
    Result.m_Fields.add({Name.data(), Name.size()},
                        {Value.data(), Value.size()});
  }
  Result.m_Body = std::move(Parsed.body());
  return Result;
}

} // namespace

size_t HttpLink::Message::size() const {
  return m_Head.size() + (m_Body ? m_Body->size() : 0);
}

std::array<asio::const_buffer, 2> HttpLink::Message::part(size_t Start) const {
  const asio::const_buffer Head = asio::buffer(m_Head) + Start;
  const asio::const_buffer Body =
      m_Body ? asio::buffer(*m_Body) + (Start - std::min(Start, m_Head.size()))
             : asio::const_buffer();
  return {asio::buffer(Head, WriteBytes),
          asio::buffer(Body, WriteBytes - std::min(Head.size(), WriteBytes))};
}

HttpLink::HttpLink(asio::io_context &Loop, const Clock &Time, Options Config)
    : m_Socket(Loop), m_Timer(Loop), m_Clock(Time), m_Config(std::move(Config)),
      m_IdleSince(Time.now()), m_PeerIdleTimeout(DefaultPeerIdleTimeout) {}

HttpLink::~HttpLink() { releaseBody(); }

bool HttpLink::isUsable() const {
  if (m_State != State::Free)
    return false;
  return !m_IsConnected ||
         m_Clock.now() - m_IdleSince < m_PeerIdleTimeout - IdleMargin;
}

void HttpLink::send(std::string Head, std::shared_ptr<const std::string> Body,
                    std::string RequestId, bool ExpectsBody,
                    Milliseconds Timeout, Done Callback, IsWanted StillWanted) {
  m_Message = std::make_shared<const Message>(
      Message{std::move(Head), std::move(Body)});
  m_RequestId = std::move(RequestId);
  m_ExpectsBody = ExpectsBody;
  m_Timeout = Timeout;
  m_Done = std::move(Callback);
  m_WriteStart = {};
  if (!m_IsConnected) {
    m_StillWanted = std::move(StillWanted);
    connect();
    return;
  }
  write();
}

void HttpLink::close() {
  if (m_State == State::Closed)
    return;
  m_State = State::Closed;
  releaseBody();
  m_Done = nullptr;
  m_StillWanted = nullptr;
  m_Timer.cancel();
  resetSocket(m_Socket);
}

void HttpLink::connect() {
  m_State = State::Connecting;
  startTimer(m_Config.m_ConnectTimeout, LinkResult::NotSent);
  m_Socket.async_connect(socketAddress(m_Config.m_Address),
                         [Self = shared_from_this()](const error_code &Error) {
                           Self->connected(Error);
                         });
}

void HttpLink::connected(const error_code &Error) {
  if (m_State != State::Connecting)
    return;
  m_Timer.cancel();
  if (Error) {
    const bool IsRefused = Error == asio::error::connection_refused ||
                           Error == asio::error::connection_reset;
    finish(IsRefused ? LinkResult::Refused : LinkResult::NotSent, {});
    return;
  }
  error_code OptionError;
  m_Socket.non_blocking(true, OptionError);
  if (OptionError) {
    finish(LinkResult::NotSent, {});
    return;
  }
  setSocketOptions(m_Socket, m_Config.m_UserTimeout);
  const IsWanted StillWanted = std::exchange(m_StillWanted, nullptr);
  if (StillWanted && !StillWanted()) {
    finish(LinkResult::Withdrawn, {});
    return;
  }
  m_IsConnected = true;
  startRead();
  write();
}

void HttpLink::write() {
  m_State = State::Busy;
  m_WriteStart = m_Clock.now();
  m_Interims = 0;
  m_ResponseStart.reset();
  newParser();
  if (m_Timeout.count() > 0)
    startTimer(m_Timeout, LinkResult::Lost);
  m_IsWriting = true;
  m_WrittenBytes = 0;
  writePart();
}

void HttpLink::writePart() {
  error_code Error;
  const size_t Size =
      m_Socket.write_some(m_Message->part(m_WrittenBytes), Error);
  m_WrittenBytes += Size;
  if (m_Config.m_Traffic)
    m_Config.m_Traffic->m_Sent += Size;
  if (Error == asio::error::would_block)
    m_Socket.async_wait(asio::ip::tcp::socket::wait_write,
                        [Self = shared_from_this(),
                         Buffers = m_Message](const error_code & /*Error*/) {
                          Self->continueWrite();
                        });
  else if (Error)
    writeFailed(Error);
  else if (m_WrittenBytes == m_Message->size())
    writeEnded();
  else
    asio::post(m_Socket.get_executor(),
               [Self = shared_from_this(), Buffers = m_Message]() {
                 Self->continueWrite();
               });
}

void HttpLink::continueWrite() {
  if (m_State == State::Closed)
    m_Message = nullptr;
  else
    writePart();
}

void HttpLink::writeFailed(const error_code &Error) {
  m_IsWriting = false;
  m_Message = nullptr;
  m_ClosesAfterResponse = true;
  // Linux reports EPIPE if the connection was reset after the end of the peer's
  // stream, and another error if it failed before. A timeout may also follow an
  // end that was not read yet; the response then counts as lost.
  m_HasFailed = Error != asio::error::broken_pipe;
  if (m_State == State::Finishing)
    close();
  else if (m_WrittenBytes == 0)
    // send() calls no callback before it returns.
    asio::post(m_Socket.get_executor(), [Self = shared_from_this()]() {
      if (Self->m_State == State::Busy)
        Self->finish(LinkResult::NotSent, {});
    });
}

void HttpLink::writeEnded() {
  m_IsWriting = false;
  m_Message = nullptr;
  if (m_State == State::Finishing)
    becomeFree();
}

bool HttpLink::accountBody() {
  if (!m_Config.m_Budget)
    return true;
  const size_t Size = m_Parser->get().body().size();
  const size_t Counted = Size > UncountedBodyBytes ? Size : 0;
  if (Counted <= m_TakenBytes)
    return true;
  if (!m_Config.m_Budget->take(Counted - m_TakenBytes))
    return false;
  m_TakenBytes = Counted;
  return true;
}

void HttpLink::releaseBody() {
  if (m_Config.m_Budget)
    m_Config.m_Budget->giveBack(std::exchange(m_TakenBytes, 0));
}

void HttpLink::newParser() {
  releaseBody();
  m_Parser.emplace();
  m_Parser->eager(true);
  m_Parser->header_limit(MaxResponseHeaderBytes);
  m_Parser->body_limit(m_Config.m_MaxBodyBytes);
  m_Parser->skip(!m_ExpectsBody);
}

void HttpLink::startRead() {
  const bool InBody = m_Parser && m_Parser->is_header_done();
  m_Socket.async_read_some(
      m_Buffer.beginRead(InBody ? BodyReadBytes : ReadBytes),
      [Self = shared_from_this()](const error_code &Error, size_t Size) {
        Self->m_Buffer.endRead(Size);
        Self->received(Error, Size);
      });
}

void HttpLink::received(const error_code &Error, size_t Size) {
  if (m_State == State::Closed)
    return;
  if (Error) {
    handleReadError(Error);
    return;
  }
  if (m_Config.m_Traffic)
    m_Config.m_Traffic->m_Received += Size;
  if (m_State != State::Busy) {
    // No request is in flight, so these bytes belong to none.
    close();
    return;
  }
  extendTimer();
  if (parse() && m_State != State::Closed)
    startRead();
}

void HttpLink::extendTimer() {
  if (m_Timeout.count() == 0 || m_Config.m_PauseTimeout.count() == 0)
    return;
  const TimePoint Now = m_Clock.now();
  if (!m_ResponseStart)
    m_ResponseStart = Now;
  const auto Remaining = std::chrono::duration_cast<Milliseconds>(
      *m_ResponseStart + m_Config.m_LongestResponse - Now);
  startTimer(
      std::max(Milliseconds(0), std::min(m_Config.m_PauseTimeout, Remaining)),
      LinkResult::Lost);
}

void HttpLink::handleReadError(const error_code &Error) {
  if (m_State != State::Busy) {
    close();
    return;
  }
  error_code ParseError;
  // A response without a length is complete only if the peer ended its stream.
  if (Error == asio::error::eof && !m_HasFailed && m_Parser->is_header_done() &&
      m_Parser->need_eof()) {
    m_Parser->put_eof(ParseError);
    if (!ParseError && m_Parser->is_done()) {
      m_ClosesAfterResponse = true;
      responseComplete();
      return;
    }
  }
  finish(LinkResult::Lost, {});
}

bool HttpLink::parse() {
  while (m_Buffer.size() > 0) {
    error_code Error;
    const size_t Consumed = m_Parser->put(m_Buffer.data(), Error);
    m_Buffer.consume(Consumed);
    const bool IsInvalid =
        m_Parser->is_header_done() && receivedKind() == ResponseKind::Invalid;
    if (!IsInvalid && Error == http::error::need_more &&
        m_Buffer.size() < MaxUnparsedBytes)
      return true;
    if (IsInvalid || Error || !accountBody()) {
      finish(LinkResult::Garbled, {});
      return false;
    }
    if (!m_Parser->is_done())
      continue;
    if (receivedKind() == ResponseKind::Interim)
      interimComplete();
    else
      responseComplete();
    if (m_State != State::Busy)
      return m_State != State::Closed;
  }
  return true;
}

ResponseKind HttpLink::receivedKind() const {
  return responseKind(static_cast<int>(m_Parser->get().result_int()));
}

void HttpLink::interimComplete() {
  if (++m_Interims > MaxInterimResponses) {
    finish(LinkResult::Garbled, {});
    return;
  }
  newParser();
}

void HttpLink::responseComplete() {
  const bool KeepAlive = m_Parser->keep_alive();
  HttpResponse Response = toResponse(m_Parser->release());
  const std::string *Echo =
      m_Config.m_RequestIdField.empty()
          ? nullptr
          : Response.m_Fields.find(m_Config.m_RequestIdField);
  if (Echo && *Echo != m_RequestId && KeepAlive && !m_ClosesAfterResponse) {
    // This is a duplicate response to an earlier request; the response to the
    // current request is still expected.
    m_ClosesAfterResponse = true;
    newParser();
    return;
  }
  if (const std::string *KeepAliveField = Response.m_Fields.find("Keep-Alive"))
    if (const auto Idle = parseKeepAliveTimeout(*KeepAliveField))
      m_PeerIdleTimeout = *Idle;
  const bool IsMismatched = Echo && *Echo != m_RequestId;
  if (!KeepAlive || m_Buffer.size() > 0)
    m_ClosesAfterResponse = true;
  finish(IsMismatched ? LinkResult::Garbled : LinkResult::Answered,
         std::move(Response));
}

void HttpLink::finish(LinkResult Result, HttpResponse Response) {
  m_Timer.cancel();
  Done Callback = std::exchange(m_Done, nullptr);
  if (Result != LinkResult::Answered || m_ClosesAfterResponse) {
    close();
  } else if (m_IsWriting) {
    m_State = State::Finishing;
    startTimer(m_Config.m_WriteTimeout, LinkResult::Lost);
  } else {
    becomeFree();
  }
  if (Callback)
    Callback(Result, std::move(Response));
}

void HttpLink::becomeFree() {
  m_Timer.cancel();
  m_State = State::Free;
  m_IdleSince = m_Clock.now();
  releaseBody();
  m_Parser.reset();
}

void HttpLink::startTimer(Milliseconds Length, LinkResult Result) {
  m_Timer.expires_after(Length);
  m_Timer.async_wait([Self = shared_from_this(), Result,
                      StateAtStart = m_State](const error_code &Error) {
    if (!Error && Self->m_State == StateAtStart)
      Self->finish(Result, {});
  });
}

} // namespace monsoon
