#include "net/callersession.h"

#include "core/text.h"
#include "net/address.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace monsoon {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr size_t ReadBytes = 8 << 10;
/// Bytes read ahead of the request at work; beyond them the caller's next
/// requests stay in the network.
constexpr size_t ReadAheadBytes = 64 << 10;
/// Requests of one connection that are handled side by side.
constexpr size_t MaxOverlapping = 32;
/// Time in which a caller may read the last answer before the connection is
/// closed with whatever it still sends.
constexpr Milliseconds CloseTimeout{1000};
/// Time for which bytes sent to a caller may stay without acknowledgement.
constexpr Milliseconds CallerUserTimeout{5000};

HttpRequest toRequest(http::request<http::string_body> &&Message) {
  HttpRequest Result;
  const auto Method = Message.method_string();
  Result.m_Method.assign(Method.data(), Method.size());
  const auto Target = Message.target();
  Result.m_Target.assign(Target.data(), Target.size());
  for (const auto &Field : Message) {
    const auto Name = Field.name_string();
    const auto Value = Field.value();
    Result.m_Fields.add({Name.data(), Name.size()},
                        {Value.data(), Value.size()});
  }
  Result.m_HasBody = Result.m_Fields.find("Content-Length") ||
                     Result.m_Fields.find("Transfer-Encoding");
  Result.m_Body = std::move(Message.body());
  return Result;
}

} // namespace

CallerSession::CallerSession(asio::ip::tcp::socket Socket, const Clock &Time,
                             RequestHandler &Handler, SessionBook &Book)
    : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()),
      m_Clock(Time), m_Handler(Handler), m_Book(Book), m_Since(Time.now()) {}

void CallerSession::start() {
  m_Book.add(shared_from_this());
  setSocketOptions(m_Socket, CallerUserTimeout);
  newParser();
  startRead();
  watch();
}

bool CallerSession::isIdle() const {
  return m_Slots.empty() && !m_Writing && m_Buffer.size() == 0 &&
         !(m_Parser && m_Parser->got_some());
}

void CallerSession::drain(bool CloseIdle) {
  m_Draining = true;
  m_CloseIdle = CloseIdle;
  if (m_CloseIdle && isIdle()) {
    abort();
    return;
  }
  // A caller that always has a request under way would never let go.
  if (m_CloseIdle && !m_Slots.empty() && !m_Closing) {
    m_Closing = true;
    m_Slots.back()->m_Last = true;
  }
}

void CallerSession::abort() {
  if (m_Closed)
    return;
  m_Closed = true;
  const auto Self = shared_from_this();
  for (const auto &Each : std::exchange(m_Slots, {}))
    if (Each->m_Pending)
      Each->m_Pending->cancel();
  error_code Ignored;
  m_Timer.cancel();
  m_Socket.close(Ignored);
  m_Book.remove(this);
}

void CallerSession::startRead() {
  if (m_Reading || m_Closed || m_Buffer.size() >= ReadAheadBytes)
    return;
  m_Reading = true;
  m_Socket.async_read_some(
      m_Buffer.prepare(ReadBytes),
      [Self = shared_from_this()](const error_code &Error, size_t Size) {
        Self->m_Reading = false;
        Self->received(Error, Size);
      });
}

void CallerSession::received(const error_code &Error, size_t Size) {
  if (m_Closed)
    return;
  if (Error) {
    callerGone();
    return;
  }
  m_Buffer.commit(Size);
  if (m_Closing) {
    m_Buffer.consume(m_Buffer.size());
    startRead();
    return;
  }
  parse();
  startRead();
}

void CallerSession::callerGone() { abort(); }

bool CallerSession::mayStartNext() const {
  if (m_Closing || m_Closed || m_Slots.size() >= MaxOverlapping)
    return false;
  return std::all_of(m_Slots.begin(), m_Slots.end(), [](const auto &Each) {
    return Each->m_Answer || (Each->m_Pending && Each->m_Pending->mayOverlap());
  });
}

void CallerSession::newParser() {
  m_Limits = m_Handler.limits();
  m_Parser.emplace();
  m_Parser->eager(true);
  m_Parser->header_limit(static_cast<uint32_t>(m_Limits.m_HeaderBytes));
  m_Parser->body_limit(m_Limits.m_BodyBytes);
  m_ContinueSent = false;
}

void CallerSession::parse() {
  while (m_Buffer.size() > 0 && mayStartNext()) {
    const bool Begins = !m_Parser->got_some();
    error_code Error;
    const size_t Used = m_Parser->put(m_Buffer.data(), Error);
    m_Buffer.consume(Used);
    if (Error == http::error::need_more)
      Error = {};
    if (Error) {
      parseFailed(Error);
      return;
    }
    if (Begins && m_Parser->got_some() && !m_Parser->is_done()) {
      // The time for the header counts from its first byte.
      m_Since = m_Clock.now();
      watch();
    }
    if (m_Parser->is_done()) {
      requestComplete();
      continue;
    }
    if (m_Parser->is_header_done() && !m_ContinueSent && m_Slots.empty() &&
        !m_Writing && m_Parser->get().count(http::field::expect) > 0) {
      m_ContinueSent = true;
      m_Output = {"HTTP/1.1 100 Continue\r\n\r\n"};
      finishWriting();
    }
    if (Used == 0)
      return;
  }
}

std::string CallerSession::faultOf(const HttpRequest &Request) const {
  if (Request.m_Target.empty() || Request.m_Target.front() != '/')
    return "the request target has to be a path";
  if (Request.m_Fields.count("Host") != 1)
    return "a request needs one Host field";
  if (Request.m_Fields.count("Content-Length") > 1)
    return "more than one Content-Length";
  const std::string *Coding = Request.m_Fields.find("Transfer-Encoding");
  if (!Coding)
    return "";
  if (Request.m_Fields.find("Content-Length"))
    return "both Content-Length and Transfer-Encoding";
  if (!equalsIgnoreCase(*Coding, "chunked") ||
      Request.m_Fields.count("Transfer-Encoding") > 1)
    return "a transfer coding other than chunked";
  return "";
}

void CallerSession::requestComplete() {
  const bool KeepAlive = m_Parser->keep_alive();
  const bool OldVersion = m_Parser->get().version() < 11;
  HttpRequest Request = toRequest(m_Parser->release());
  newParser();
  m_Since = m_Clock.now();
  const std::string Fault =
      OldVersion ? std::string("HTTP/1.1 is required") : faultOf(Request);
  if (!Fault.empty()) {
    refuse(ErrorKind::BadRequest, Fault);
    return;
  }
  const auto Which = std::make_shared<Slot>();
  Which->m_Last = !KeepAlive;
  if (!KeepAlive)
    m_Closing = true;
  m_Slots.push_back(Which);
  const std::weak_ptr<CallerSession> Weak = weak_from_this();
  const auto Pending =
      m_Handler.handle(std::move(Request), [Weak, Which](HttpResponse Answer) {
        if (const auto Self = Weak.lock())
          Self->answered(Which, std::move(Answer));
      });
  if (!Which->m_Answer)
    Which->m_Pending = Pending;
}

void CallerSession::parseFailed(const error_code &Error) {
  if (Error == http::error::header_limit)
    refuse(ErrorKind::HeaderTooLarge, "the header is too long");
  else if (Error == http::error::body_limit)
    refuse(ErrorKind::BodyTooLarge, "the body is too long");
  else
    refuse(ErrorKind::BadRequest, Error.message());
}

void CallerSession::refuse(ErrorKind Kind, const std::string &Detail) {
  m_Closing = true;
  m_Buffer.consume(m_Buffer.size());
  const auto Which = std::make_shared<Slot>();
  Which->m_Last = true;
  m_Slots.push_back(Which);
  answered(Which, m_Handler.refuse(Kind, Detail));
}

void CallerSession::answered(const std::shared_ptr<Slot> &Which,
                             HttpResponse Answer) {
  if (m_Closed)
    return;
  Which->m_Answer = std::move(Answer);
  Which->m_Pending = nullptr;
  writeReady();
}

void CallerSession::writeReady() {
  if (m_Writing || m_Closed)
    return;
  m_Output.clear();
  bool Last = false;
  while (!m_Slots.empty() && m_Slots.front()->m_Answer && !Last) {
    const auto Which = m_Slots.front();
    m_Slots.pop_front();
    // A draining session ends behind the last request that was begun, since
    // what was read already must be answered.
    if (m_Draining && m_Slots.empty() && m_Buffer.size() == 0 &&
        !m_Parser->got_some())
      m_Closing = Which->m_Last = true;
    Last = Which->m_Last;
    m_Output.push_back(writeResponseHead(*Which->m_Answer, Last));
    m_Output.push_back(std::move(Which->m_Answer->m_Body));
  }
  if (!m_Output.empty())
    finishWriting();
}

void CallerSession::finishWriting() {
  m_Writing = true;
  std::vector<asio::const_buffer> Parts;
  Parts.reserve(m_Output.size());
  for (const std::string &Each : m_Output)
    if (!Each.empty())
      Parts.push_back(asio::buffer(Each));
  const bool Last = m_Closing && m_Slots.empty();
  asio::async_write(
      m_Socket, Parts,
      [Self = shared_from_this(), Last](const error_code &Error, size_t) {
        Self->written(Error, Last);
      });
}

void CallerSession::written(const error_code &Error, bool Last) {
  m_Writing = false;
  m_Output.clear();
  if (m_Closed)
    return;
  if (Error) {
    callerGone();
    return;
  }
  m_Since = m_Clock.now();
  if (Last) {
    // A close with unread bytes would be a reset and could overtake the answer.
    error_code Ignored;
    m_Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    m_Buffer.consume(m_Buffer.size());
    startRead();
    watch();
    return;
  }
  writeReady();
  parse();
  startRead();
  if (m_CloseIdle && isIdle())
    abort();
}

void CallerSession::watch() {
  Milliseconds Limit = m_Limits.m_IdleTimeout;
  if (m_Closing && m_Slots.empty() && !m_Writing)
    Limit = CloseTimeout;
  else if (m_Parser && m_Parser->got_some())
    Limit = m_Limits.m_HeaderTimeout;
  const Duration Left = m_Since + Limit - m_Clock.now();
  m_Timer.expires_after(std::max<Duration>(Left, Milliseconds(1)));
  m_Timer.async_wait([Self = shared_from_this()](const error_code &Error) {
    if (!Error)
      Self->checkTime();
  });
}

void CallerSession::checkTime() {
  if (m_Closed)
    return;
  const Duration Passed = m_Clock.now() - m_Since;
  const bool Closing = m_Closing && m_Slots.empty() && !m_Writing;
  if (Closing && Passed >= CloseTimeout) {
    abort();
    return;
  }
  const bool InHeader = m_Parser->got_some() && !m_Parser->is_header_done();
  if (InHeader && Passed >= m_Limits.m_HeaderTimeout && mayStartNext()) {
    refuse(ErrorKind::RequestTimeout, "the header did not arrive in time");
    return;
  }
  if (m_Slots.empty() && !m_Writing && Passed >= m_Limits.m_IdleTimeout) {
    abort();
    return;
  }
  if (!m_Slots.empty() || m_Writing)
    m_Since = m_Clock.now();
  watch();
}

void SessionBook::add(const std::shared_ptr<CallerSession> &Session) {
  m_Sessions.push_back(Session);
  if (m_Draining)
    Session->drain(false);
}

void SessionBook::remove(const CallerSession *Session) {
  const auto It = std::find_if(
      m_Sessions.begin(), m_Sessions.end(),
      [Session](const auto &Each) { return Each.get() == Session; });
  if (It == m_Sessions.end())
    return;
  std::swap(*It, m_Sessions.back());
  m_Sessions.pop_back();
}

void SessionBook::drainAll(bool CloseIdle) {
  m_Draining = true;
  for (const auto &Each : std::vector(m_Sessions))
    Each->drain(CloseIdle);
}

void SessionBook::abortAll() {
  for (const auto &Each : std::vector(m_Sessions))
    Each->abort();
}

size_t SessionBook::busy() const {
  return static_cast<size_t>(
      std::count_if(m_Sessions.begin(), m_Sessions.end(),
                    [](const auto &Each) { return !Each->isIdle(); }));
}

} // namespace monsoon
