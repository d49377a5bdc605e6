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
constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;

} // namespace

SoakCaller::SoakCaller(int Number, bool Reconnects, const Parts &Shared)
    : m_Number(Number), m_Reconnects(Reconnects), m_Parts(Shared),
      m_Timer(Shared.m_Loop) {}

void SoakCaller::start() {
  m_IsStopped = false;
  if (!m_IsBusy)
    sendNext();
}

void SoakCaller::sendAfter(Milliseconds Delay) {
  m_Timer.expires_after(Delay);
  m_Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      sendNext();
  });
}

void SoakCaller::sendNext() {
  m_IsBusy = !m_IsStopped;
  if (m_IsStopped)
    return;
  if (!m_Link || !m_Link->isUsable()) {
    m_Host = m_Parts.m_ChooseHost();
    if (!m_Host) {
      sendAfter(RetryPause);
      return;
    }
    HttpLink::Options Options;
    Options.m_Address = m_Host->callerAddress();
    m_Link = std::make_shared<HttpLink>(m_Parts.m_Loop, m_Clock, Options);
  }
  const bool IsOrder = ++m_SentCount % OrderPeriod == 0 && !m_Parts.m_OnlyReads;
  const std::string Id = absl::StrFormat("%04x%08x", m_Number, m_SentCount);
  m_Version = IsOrder ? m_Parts.m_VersionInForce() : 0;
  HttpRequest Request;
  Request.m_Method = IsOrder ? "POST" : "GET";
  Request.m_Target =
      IsOrder
          ? absl::StrCat("/order/v", m_Version, "/", Id)
          : absl::StrCat(m_Parts.m_OnlyReads ? "/catalog/" : "/ledger/", Id);
  Request.m_Fields.add("Host", "shop.example");
  Request.m_Fields.add("X-Monsoonstand-Request-Id", Id);
  Request.m_Fields.add("X-Monsoonstand-Request-Deadline",
                       absl::StrCat(Deadline.count()));
  if (!IsOrder && !m_Parts.m_OnlyReads)
    Request.m_Fields.add("X-Monsoonstand-Shard-Key",
                         absl::StrCat(m_Parts.m_Random() % KeyCount));
  Request.m_HasBody = IsOrder;
  Request.m_Body = IsOrder ? Id : "";
  m_Parts.m_Checker.recordSent(
      Id, !IsOrder, IsOrder || m_Parts.m_OnlyReads ? "orders" : "ledger");
  m_SentAt = std::chrono::steady_clock::now();
  std::string Head = writeRequestHead(Request);
  m_Link->send(std::move(Head),
               std::make_shared<const std::string>(std::move(Request.m_Body)),
               "", true, AnswerTimeout,
               [this, Id](LinkResult Result, const HttpResponse &Answer) {
                 handleResult(Id, Result, Answer);
               });
}

void SoakCaller::checkVersion(const std::string &Id, int Status) {
  if (Status == StatusOk)
    m_Host->noteVersion(m_Version);
  if (Status != StatusNotFound)
    return;
  if (m_Host->hasShownVersion(m_Version, m_SentAt))
    m_Parts.m_Checker.addViolation(
        absl::StrCat(m_Host->name(), " went back behind config ", m_Version,
                     ", which it had shown, for ", Id));
  else if (m_Parts.m_MustKnowConfig(*m_Host, m_SentAt))
    m_Parts.m_Checker.addViolation(
        absl::StrCat(m_Host->name(), " doesn't know config ", m_Version,
                     ", which is in force, for ", Id));
}

void SoakCaller::handleResult(const std::string &Id, LinkResult Result,
                              const HttpResponse &Answer) {
  if (Result == LinkResult::Answered) {
    m_Parts.m_Checker.recordResponse(Id, Answer);
    if (m_Version > 0)
      checkVersion(Id, Answer.m_Status);
    const bool IsServed = Answer.m_Status == StatusOk;
    (IsServed ? m_Succeeded : m_Failed) += 1;
    if (m_Reconnects)
      m_Link = nullptr;
    sendAfter(IsServed || !m_Reconnects ? ThinkTime : RetryPause);
    return;
  }
  ++m_Failed;
  if (Result == LinkResult::Garbled)
    m_Parts.m_Checker.addViolation(
        absl::StrCat("the response to ", Id, " is garbled"));
  const bool IsGraceful =
      m_Host->isStopping() && m_SentAt - m_Host->lastFaultAt() > FaultGrace;
  const bool WasSent =
      Result != LinkResult::NotSent && Result != LinkResult::Refused;
  if (WasSent)
    m_Parts.m_Checker.recordAborted(Id, m_Host->name(), IsGraceful,
                                    std::chrono::steady_clock::now() -
                                        m_SentAt -
                                        m_Parts.m_DelaySince(m_SentAt));
  m_Link = nullptr;
  sendAfter(RetryPause);
}

} // namespace monsoon
