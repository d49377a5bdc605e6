#include "soak/pipeliningcaller.h"

#include "net/address.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace monsoon {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr Milliseconds Deadline{1500};
constexpr Milliseconds RetryPause{200};
/// A connection is given up if nothing arrives on it for this long.
constexpr Milliseconds AnswerTimeout{8000};
constexpr uint64_t LongestBatch = 90;
constexpr uint64_t LongestPauseMs = 600;
constexpr uint64_t LongestSegment = 4000;
constexpr uint64_t LongestOrder = 100'000;
constexpr uint64_t OrderPeriod = 12;
constexpr uint64_t HeadPeriod = 5;
constexpr uint64_t KeyCount = 65'536;
constexpr size_t ReadBytes = 16 << 10;

} // namespace

PipeliningCaller::PipeliningCaller(int Number, const SoakCaller::Parts &Shared)
    : m_Number(Number), m_Parts(Shared), m_Socket(Shared.m_Loop),
      m_Timer(Shared.m_Loop) {}

void PipeliningCaller::start() {
  m_IsStopped = false;
  if (!m_IsBusy)
    connect();
}

void PipeliningCaller::after(Milliseconds Delay,
                             void (PipeliningCaller::*Step)()) {
  m_Timer.expires_after(Delay);
  m_Timer.async_wait([this, Step](const error_code &Error) {
    if (!Error)
      (this->*Step)();
  });
}

void PipeliningCaller::connect() {
  m_IsBusy = !m_IsStopped;
  if (m_IsStopped)
    return;
  m_Host = m_Parts.m_ChooseHost();
  if (!m_Host) {
    after(RetryPause, &PipeliningCaller::connect);
    return;
  }
  m_Socket = asio::ip::tcp::socket(m_Parts.m_Loop);
  m_Awaited.clear();
  m_Unsent.clear();
  m_Received.clear();
  m_Parser.reset();
  m_Socket.async_connect(
      socketAddress(m_Host->callerAddress()),
      [this, Connection = ++m_Connections](const error_code &Error) {
        if (Connection != m_Connections)
          return;
        if (Error) {
          reconnect();
          return;
        }
        read();
        sendBatch();
      });
}

void PipeliningCaller::reconnect() {
  ++m_Connections;
  error_code Ignored;
  m_Socket.close(Ignored);
  after(RetryPause, &PipeliningCaller::connect);
}

std::string PipeliningCaller::makeRequest() {
  const bool IsOrder = m_Parts.m_Random() % OrderPeriod == 0;
  const std::string Id = absl::StrFormat("%04x%08x", m_Number, ++m_SentCount);
  HttpRequest Request;
  const bool IsHead = m_Parts.m_Random() % HeadPeriod == 0;
  Request.m_Method = IsOrder ? "POST" : IsHead ? "HEAD" : "GET";
  Request.m_Target =
      IsOrder ? absl::StrCat("/order/v", m_Parts.m_VersionInForce(), "/", Id)
              : absl::StrCat("/ledger/", Id);
  Request.m_Fields.add("Host", "shop.example");
  Request.m_Fields.add("X-Monsoonstand-Request-Id", Id);
  Request.m_Fields.add("X-Monsoonstand-Request-Deadline",
                       absl::StrCat(Deadline.count()));
  if (!IsOrder)
    Request.m_Fields.add("X-Monsoonstand-Shard-Key",
                         absl::StrCat(m_Parts.m_Random() % KeyCount));
  Request.m_HasBody = IsOrder;
  if (IsOrder)
    Request.m_Body.assign(m_Parts.m_Random() % LongestOrder, 'o');
  m_Parts.m_Checker.recordSent(Id, !IsOrder, IsOrder ? "orders" : "ledger");
  m_Awaited.push_back({Id, Request.m_Method});
  return writeRequestHead(Request) + Request.m_Body;
}

void PipeliningCaller::sendBatch() {
  if (m_IsStopped) {
    m_IsBusy = false;
    error_code Ignored;
    ++m_Connections;
    m_Socket.close(Ignored);
    return;
  }
  for (uint64_t Left = 1 + m_Parts.m_Random() % LongestBatch; Left > 0; --Left)
    m_Unsent += makeRequest();
  writeNextSegment();
}

void PipeliningCaller::writeNextSegment() {
  after(AnswerTimeout, &PipeliningCaller::reconnect);
  if (m_Unsent.empty())
    return;
  // Now and then all that is left.
  const size_t Size = m_Parts.m_Random() % 16 == 0
                          ? m_Unsent.size()
                          : 1 + m_Parts.m_Random() % LongestSegment;
  m_Segment = m_Unsent.substr(0, Size);
  m_Unsent.erase(0, m_Segment.size());
  asio::async_write(
      m_Socket, asio::buffer(m_Segment),
      [this, Connection = m_Connections](const error_code &Error, size_t) {
        if (Connection != m_Connections)
          return;
        if (Error)
          reconnect();
        else
          writeNextSegment();
      });
}

void PipeliningCaller::read() {
  m_Socket.async_read_some(
      m_Received.prepare(ReadBytes),
      [this, Connection = m_Connections](const error_code &Error, size_t Size) {
        if (Connection != m_Connections)
          return;
        if (Error) {
          reconnect();
          return;
        }
        m_Received.commit(Size);
        if (parse())
          read();
      });
}

bool PipeliningCaller::parse() {
  while (m_Received.size() > 0) {
    if (m_Awaited.empty()) {
      m_Parts.m_Checker.addViolation(
          absl::StrCat(m_Host->name(), " sent bytes that answer no request"));
      reconnect();
      return false;
    }
    if (!m_Parser) {
      m_Parser.emplace();
      m_Parser->eager(true);
      m_Parser->skip(m_Awaited.front().m_Method == "HEAD");
    }
    error_code Error;
    m_Received.consume(m_Parser->put(m_Received.data(), Error));
    if (Error == http::error::need_more)
      return true;
    if (Error) {
      m_Parts.m_Checker.addViolation(absl::StrCat(
          "the answer to pipelined ", m_Awaited.front().m_Id, " is garbled"));
      reconnect();
      return false;
    }
    if (!m_Parser->is_done())
      continue;
    const Sent Request = m_Awaited.front();
    m_Awaited.pop_front();
    const bool KeepAlive = m_Parser->keep_alive();
    if (!checkAnswer(Request, *m_Parser) || !KeepAlive) {
      reconnect();
      return false;
    }
    m_Parser.reset();
    if (m_Awaited.empty() && m_Unsent.empty())
      after(Milliseconds(m_Parts.m_Random() % LongestPauseMs),
            &PipeliningCaller::sendBatch);
  }
  return true;
}

bool PipeliningCaller::checkAnswer(const Sent &Request, Parser &Answer) {
  const auto Parsed = Answer.release();
  HttpResponse Response;
  Response.m_Status = static_cast<int>(Parsed.result_int());
  Response.m_Body = Parsed.body();
  for (const auto &Field : Parsed)
    Response.m_Fields.add(
        {Field.name_string().data(), Field.name_string().size()},
        {Field.value().data(), Field.value().size()});
  const std::string *Id = Response.m_Fields.find("X-Monsoonstand-Request-Id");
  const std::string Named = absl::StrCat("\"request_id\":\"", Request.m_Id);
  const bool IsForeign =
      (Id && *Id != Request.m_Id) ||
      (absl::StrContains(Response.m_Body, "\"request_id\":\"") &&
       !absl::StrContains(Response.m_Body, Named));
  if (IsForeign) {
    m_Parts.m_Checker.addViolation(absl::StrCat("pipelined ", Request.m_Id,
                                                " got the answer to ",
                                                Id ? *Id : Response.m_Body));
    return false;
  }
  if (Request.m_Method == "HEAD" && Response.m_Status / 100 == 2)
    Response.m_Body = InvariantChecker::expectedBody(Request.m_Id);
  m_Parts.m_Checker.recordResponse(Request.m_Id, Response);
  return true;
}

} // namespace monsoon
