#include "net/httplink.h"

#include "net/address.h"

#include "absl/strings/numbers.h"

#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace monsoon {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr size_t ReadBytes = 16 << 10;
constexpr size_t LongReadBytes = 64 << 10;
constexpr size_t AnswerHeaderBytes = 64 << 10;
/// Assumed when a peer does not say how long it keeps idle connections.
constexpr Milliseconds DefaultPeerKeepsIdle{900};
/// A connection is not used any more this long before the peer closes it.
constexpr Milliseconds IdleMargin{500};

/// The timeout of a Keep-Alive field such as "timeout=10, max=5".
std::optional<Milliseconds> statedIdleTimeout(std::string_view Value) {
  constexpr std::string_view Name = "timeout=";
  const size_t Start = Value.find(Name);
  if (Start == std::string_view::npos)
    return std::nullopt;
  std::string_view Rest = Value.substr(Start + Name.size());
  Rest = Rest.substr(0, Rest.find_first_not_of("0123456789"));
  int Seconds = 0;
  if (!absl::SimpleAtoi(std::string(Rest), &Seconds))
    return std::nullopt;
  return std::chrono::seconds(Seconds);
}

HttpResponse toAnswer(http::response<http::string_body> &&Message) {
  HttpResponse Result;
  Result.m_Status = static_cast<int>(Message.result_int());
  for (const auto &Field : Message) {
    const auto Name = Field.name_string();
    const auto Value = Field.value();
    Result.m_Fields.add({Name.data(), Name.size()},
                        {Value.data(), Value.size()});
  }
  Result.m_Body = std::move(Message.body());
  return Result;
}

} // namespace

HttpLink::HttpLink(asio::io_context &Loop, const Clock &Time, Options Config)
    : m_Socket(Loop), m_Timer(Loop), m_Clock(Time), m_Config(std::move(Config)),
      m_IdleSince(Time.now()), m_PeerKeepsIdle(DefaultPeerKeepsIdle) {}

bool HttpLink::isUsable() const {
  if (m_State != State::Free)
    return false;
  return !m_Connected ||
         m_Clock.now() - m_IdleSince < m_PeerKeepsIdle - IdleMargin;
}

void HttpLink::send(std::string Head, std::shared_ptr<const std::string> Body,
                    std::string RequestId, bool ExpectsBody,
                    Milliseconds Timeout, Done Callback) {
  m_Head = std::move(Head);
  m_Body = std::move(Body);
  m_RequestId = std::move(RequestId);
  m_ExpectsBody = ExpectsBody;
  m_Timeout = Timeout;
  m_Done = std::move(Callback);
  if (!m_Connected) {
    connect();
    return;
  }
  write();
}

void HttpLink::close() {
  if (m_State == State::Closed)
    return;
  m_State = State::Closed;
  m_Done = nullptr;
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
    const bool Refused = Error == asio::error::connection_refused ||
                         Error == asio::error::connection_reset;
    finish(Refused ? LinkResult::Refused : LinkResult::NotSent, {});
    return;
  }
  setSocketOptions(m_Socket, m_Config.m_UserTimeout);
  m_Connected = true;
  startRead();
  write();
}

void HttpLink::write() {
  m_State = State::Busy;
  newParser();
  if (m_Timeout.count() > 0)
    startTimer(m_Timeout, LinkResult::Lost);
  const std::array<asio::const_buffer, 2> Parts = {
      asio::buffer(m_Head),
      m_Body ? asio::buffer(*m_Body) : asio::const_buffer()};
  // An answer may come before a long body is written; the end of the read side
  // tells of a failed connection, so that only a write without effect matters.
  asio::async_write(
      m_Socket, Parts,
      [Self = shared_from_this()](const error_code &Error, size_t Written) {
        if (Error && Written == 0 && Self->m_State == State::Busy)
          Self->finish(LinkResult::NotSent, {});
      });
}

void HttpLink::newParser() {
  m_Parser.emplace();
  m_Parser->eager(true);
  m_Parser->header_limit(AnswerHeaderBytes);
  m_Parser->body_limit(m_Config.m_AnswerBytes);
  m_Parser->skip(!m_ExpectsBody);
}

void HttpLink::startRead() {
  const bool InBody = m_Parser && m_Parser->is_header_done();
  m_Socket.async_read_some(
      m_Buffer.prepare(InBody ? LongReadBytes : ReadBytes),
      [Self = shared_from_this()](const error_code &Error, size_t Size) {
        Self->received(Error, Size);
      });
}

void HttpLink::received(const error_code &Error, size_t Size) {
  if (m_State == State::Closed)
    return;
  if (Error) {
    ended(Error);
    return;
  }
  m_Buffer.commit(Size);
  if (m_State != State::Busy) {
    // Nothing was asked, so these bytes belong to no request.
    close();
    return;
  }
  if (parse() && m_State != State::Closed)
    startRead();
}

void HttpLink::ended(const error_code &Error) {
  if (m_State != State::Busy) {
    close();
    return;
  }
  error_code ParseError;
  // Only an orderly end completes an answer that has no length.
  if (Error == asio::error::eof && m_Parser->is_header_done() &&
      m_Parser->need_eof()) {
    m_Parser->put_eof(ParseError);
    if (!ParseError && m_Parser->is_done()) {
      m_LastAnswer = true;
      answerComplete();
      return;
    }
  }
  finish(LinkResult::Lost, {});
}

bool HttpLink::parse() {
  while (m_Buffer.size() > 0) {
    error_code Error;
    const size_t Used = m_Parser->put(m_Buffer.data(), Error);
    m_Buffer.consume(Used);
    if (Error == http::error::need_more)
      return true;
    if (Error) {
      finish(LinkResult::Garbled, {});
      return false;
    }
    if (!m_Parser->is_done())
      continue;
    answerComplete();
    if (m_State != State::Busy)
      return m_State == State::Free;
  }
  return true;
}

void HttpLink::answerComplete() {
  const bool KeepAlive = m_Parser->keep_alive();
  HttpResponse Answer = toAnswer(m_Parser->release());
  const std::string *Echo = m_Config.m_EchoField.empty()
                                ? nullptr
                                : Answer.m_Fields.find(m_Config.m_EchoField);
  if (Echo && *Echo != m_RequestId && KeepAlive && !m_LastAnswer) {
    // A second answer to an earlier request; ours is still to come.
    m_LastAnswer = true;
    newParser();
    return;
  }
  if (const std::string *Stated = Answer.m_Fields.find("Keep-Alive"))
    if (const auto Idle = statedIdleTimeout(*Stated))
      m_PeerKeepsIdle = *Idle;
  const bool Foreign = Echo && *Echo != m_RequestId;
  if (!KeepAlive || m_Buffer.size() > 0)
    m_LastAnswer = true;
  finish(Foreign ? LinkResult::Garbled : LinkResult::Answered,
         std::move(Answer));
}

void HttpLink::finish(LinkResult Result, HttpResponse Answer) {
  m_Timer.cancel();
  Done Callback = std::exchange(m_Done, nullptr);
  if (Result != LinkResult::Answered || m_LastAnswer) {
    close();
  } else {
    m_State = State::Free;
    m_IdleSince = m_Clock.now();
    m_Parser.reset();
  }
  if (Callback)
    Callback(Result, std::move(Answer));
}

void HttpLink::startTimer(Milliseconds Length, LinkResult Result) {
  m_Timer.expires_after(Length);
  m_Timer.async_wait([Self = shared_from_this(), Result,
                      Running = m_State](const error_code &Error) {
    if (!Error && Self->m_State == Running)
      Self->finish(Result, {});
  });
}

} // namespace monsoon
