#include "soak/soakcaller.h"

#include "net/address.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <utility>

namespace monsoon {

namespace {

/// Sent with each request, as the time that the host may take.
constexpr Milliseconds Deadline{1500};
/// The caller's own timeout, longer than Deadline so that the host responds
/// first.
constexpr Milliseconds AnswerTimeout{3000};
constexpr Milliseconds ThinkTime{15};
constexpr Milliseconds RetryPause{100};
/// A request aborted by a graceful stop is no violation if the host had a fault
/// less than this long before it was sent, or later.
constexpr Milliseconds FaultGrace{4000};
constexpr uint32_t KeyCount = 65'536;
/// One request in this many is an order; the others read from the keyed pool.
constexpr int OrderPeriod = 3;

} // namespace

SoakCaller::SoakCaller(boost::asio::io_context &Loop, int Number,
                       InvariantChecker &Checker, std::mt19937_64 &Random,
                       ChooseHost Choose)
    : m_Loop(Loop), m_Number(Number), m_Checker(Checker), m_Random(Random),
      m_ChooseHost(std::move(Choose)), m_Timer(Loop) {}

void SoakCaller::sendAfter(Milliseconds Delay) {
  if (m_IsStopped)
    return;
  m_Timer.expires_after(Delay);
  m_Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      sendNext();
  });
}

void SoakCaller::sendNext() {
  if (m_IsStopped)
    return;
  if (!m_Link || !m_Link->isUsable()) {
    m_Host = m_ChooseHost();
    if (!m_Host) {
      sendAfter(RetryPause);
      return;
    }
    HttpLink::Options Options;
    Options.m_Address = m_Host->callerAddress();
    m_Link = std::make_shared<HttpLink>(m_Loop, m_Clock, Options);
  }
  const bool IsOrder = ++m_SentCount % OrderPeriod == 0;
  const std::string Id = absl::StrFormat("%04x%08x", m_Number, m_SentCount);
  HttpRequest Request;
  Request.m_Method = IsOrder ? "POST" : "GET";
  Request.m_Target = absl::StrCat(IsOrder ? "/order/" : "/ledger/", Id);
  Request.m_Fields.add("Host", "shop.example");
  Request.m_Fields.add("X-Monsoonstand-Request-Id", Id);
  Request.m_Fields.add("X-Monsoonstand-Request-Deadline",
                       absl::StrCat(Deadline.count()));
  if (!IsOrder)
    Request.m_Fields.add("X-Monsoonstand-Shard-Key",
                         absl::StrCat(m_Random() % KeyCount));
  Request.m_HasBody = IsOrder;
  Request.m_Body = IsOrder ? Id : "";
  m_Checker.recordSent(Id, !IsOrder);
  m_SentAt = std::chrono::steady_clock::now();
  std::string Head = writeRequestHead(Request);
  m_Link->send(std::move(Head),
               std::make_shared<const std::string>(std::move(Request.m_Body)),
               "", true, AnswerTimeout,
               [this, Id](LinkResult Result, const HttpResponse &Answer) {
                 handleResult(Id, Result, Answer);
               });
}

void SoakCaller::handleResult(const std::string &Id, LinkResult Result,
                              const HttpResponse &Answer) {
  if (Result == LinkResult::Answered) {
    m_Checker.recordResponse(Id, Answer);
    (Answer.m_Status == 200 ? m_Succeeded : m_Failed) += 1;
    sendAfter(ThinkTime);
    return;
  }
  ++m_Failed;
  if (Result == LinkResult::Garbled)
    m_Checker.addViolation(absl::StrCat("the response to ", Id, " is garbled"));
  const bool IsGraceful =
      m_Host->isStopping() && m_SentAt - m_Host->lastFaultAt() > FaultGrace;
  const bool WasSent =
      Result != LinkResult::NotSent && Result != LinkResult::Refused;
  if (WasSent)
    m_Checker.recordAborted(Id, IsGraceful);
  m_Link = nullptr;
  sendAfter(RetryPause);
}

} // namespace monsoon
