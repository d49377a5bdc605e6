#include "soak/soakcaller.h"

#include "net/address.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <utility>

namespace monsoon {

namespace {

constexpr Milliseconds Deadline{1500};
/// The caller's own patience, beyond what a host may take.
constexpr Milliseconds Patience{3000};
constexpr Milliseconds ThinkTime{15};
constexpr Milliseconds RetryPause{100};
/// Trouble before a request excuses its loss for this long.
constexpr Milliseconds TroubleShadow{4000};
constexpr uint32_t Keys = 65'536;
/// Every so many requests are orders, and downloads of a keyed pool.
constexpr int OrderTurn = 3;

} // namespace

SoakCaller::SoakCaller(boost::asio::io_context &Loop, int Number,
                       Referee &Judge, std::mt19937_64 &Random,
                       ChooseHost Choose)
    : m_Loop(Loop), m_Number(Number), m_Referee(Judge), m_Random(Random),
      m_Choose(std::move(Choose)), m_Timer(Loop) {}

void SoakCaller::pauseAndSend(Milliseconds Pause) {
  if (m_Stopped)
    return;
  m_Timer.expires_after(Pause);
  m_Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error)
      sendNext();
  });
}

void SoakCaller::sendNext() {
  if (m_Stopped)
    return;
  if (!m_Link || !m_Link->isUsable()) {
    m_Host = m_Choose();
    if (!m_Host) {
      pauseAndSend(RetryPause);
      return;
    }
    HttpLink::Options Options;
    Options.m_Address = m_Host->callers();
    m_Link = std::make_shared<HttpLink>(m_Loop, m_Time, Options);
  }
  const bool IsOrder = ++m_Sent % OrderTurn == 0;
  const std::string Id = absl::StrFormat("%04x%08x", m_Number, m_Sent);
  HttpRequest Request;
  Request.m_Method = IsOrder ? "POST" : "GET";
  Request.m_Target = absl::StrCat(IsOrder ? "/order/" : "/ledger/", Id);
  Request.m_Fields.add("Host", "shop.example");
  Request.m_Fields.add("X-Monsoonstand-Request-Id", Id);
  Request.m_Fields.add("X-Monsoonstand-Request-Deadline",
                       absl::StrCat(Deadline.count()));
  if (!IsOrder)
    Request.m_Fields.add("X-Monsoonstand-Shard-Key",
                         absl::StrCat(m_Random() % Keys));
  Request.m_HasBody = IsOrder;
  Request.m_Body = IsOrder ? Id : "";
  m_Referee.noteSent(Id, !IsOrder);
  m_SentAt = std::chrono::steady_clock::now();
  std::string Head = writeRequestHead(Request);
  m_Link->send(std::move(Head),
               std::make_shared<const std::string>(std::move(Request.m_Body)),
               "", true, Patience,
               [this, Id](LinkResult Result, const HttpResponse &Answer) {
                 ended(Id, Result, Answer);
               });
}

void SoakCaller::ended(const std::string &Id, LinkResult Result,
                       const HttpResponse &Answer) {
  if (Result == LinkResult::Answered) {
    m_Referee.noteAnswer(Id, Answer);
    (Answer.m_Status == 200 ? m_Good : m_Bad) += 1;
    pauseAndSend(ThinkTime);
    return;
  }
  ++m_Bad;
  if (Result == LinkResult::Garbled)
    m_Referee.violation(absl::StrCat("the answer to ", Id, " is garbled"));
  const bool IsPlanned =
      m_Host->isStopping() && m_SentAt - m_Host->disturbedAt() > TroubleShadow;
  const bool WasSent =
      Result != LinkResult::NotSent && Result != LinkResult::Refused;
  if (WasSent)
    m_Referee.noteCut(Id, IsPlanned);
  m_Link = nullptr;
  pauseAndSend(RetryPause);
}

} // namespace monsoon
