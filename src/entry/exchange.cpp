#include "entry/exchange.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// The deadline is this long before the caller's own time limit, so that the
/// answer arrives while the caller still waits.
constexpr Milliseconds AnswerMargin{15};

TimePoint deadlineOf(TimePoint Now, const RequestMetadata &Facts,
                     const Route &MatchedRoute) {
  Duration Length = MatchedRoute.deadline();
  if (Facts.m_TimeLeft)
    Length = std::min<Duration>(Length, *Facts.m_TimeLeft - AnswerMargin);
  return Now + Length;
}

} // namespace

Exchange::Exchange(boost::asio::io_context &Loop, const Clock &Time,
                   const Dialect &Protocol, RouteIndexPtr Routes,
                   const Route &MatchedRoute, std::string Pool,
                   HttpRequest Request, RequestMetadata Facts,
                   RequestHandler::Reply Reply)
    : m_Timer(Loop), m_Clock(Time), m_Dialect(Protocol),
      m_Routes(std::move(Routes)), m_Route(MatchedRoute),
      m_Pool(std::move(Pool)), m_Request(std::move(Request)),
      m_Facts(std::move(Facts)), m_Reply(std::move(Reply)),
      m_Arrived(Time.now()),
      m_Deadline(deadlineOf(m_Arrived, m_Facts, MatchedRoute)) {
  m_Request.m_Fields.removeHopByHop();
  m_Request.m_Fields.remove("Expect");
}

int Exchange::priority() const {
  return m_Customer.m_Customer && m_Customer.m_Customer->m_Priority
             ? *m_Customer.m_Customer->m_Priority
             : m_Route.priority();
}

void Exchange::startTimer() { armTimer(); }

Milliseconds Exchange::timeLeft() const {
  return std::chrono::duration_cast<Milliseconds>(m_Deadline - m_Clock.now());
}

bool Exchange::wasTriedAt(const std::string &TargetId) const {
  return std::find(m_TriedTargets.begin(), m_TriedTargets.end(), TargetId) !=
         m_TriedTargets.end();
}

void Exchange::send(const TargetNodePtr &Target, Milliseconds SlowAfter) {
  HttpRequest Forwarded;
  Forwarded.m_Method = m_Request.m_Method;
  Forwarded.m_Target = m_Request.m_Target;
  Forwarded.m_Fields = m_Request.m_Fields;
  Forwarded.m_HasBody = m_Request.m_HasBody;
  // After the caller's hop-by-hop fields are gone, which could name this one.
  if (m_Customer.m_Table)
    m_Dialect.setCustomer(Forwarded.m_Fields,
                          m_Customer.m_Customer ? m_Customer.m_Customer->m_Name
                                                : std::string());
  m_Dialect.prepareForTarget(Forwarded.m_Fields, Target->info(), timeLeft());
  if (!m_Body)
    m_Body = std::make_shared<const std::string>(std::move(m_Request.m_Body));
  if (Forwarded.m_HasBody)
    Forwarded.m_Fields.add("Content-Length", std::to_string(m_Body->size()));
  Forwarded.m_HasBody = false;

  m_HoldsRetry = false;
  m_SentAt = m_Clock.now();
  m_FirstByteAt.reset();
  m_SlowAt = SlowAfter.count() > 0 ? m_SentAt + SlowAfter : TimePoint{};
  m_Target = Target;
  m_TriedTargets.push_back(Target->info().m_Id);
  ++m_SendCount;
  Target->load().noteSent(m_SentAt);
  Target->pace().noteSent(m_SentAt);
  m_Link = Target->links().acquire(m_UsedLinks);
  m_UsedLinks.push_back(m_Link);
  m_Link->send(
      writeRequestHead(Forwarded), m_Body, m_Facts.m_Id,
      m_Request.m_Method != "HEAD", Milliseconds(0),
      [Self = shared_from_this(), Target](LinkResult Result,
                                          HttpResponse Answer) {
        Self->sendFinished(Target, Result, std::move(Answer));
      },
      [Self = shared_from_this(), Target]() {
        return Self->m_Listener->maySend(*Self, Target);
      });
  armTimer();
}

void Exchange::sendFinished(const TargetNodePtr &Target, LinkResult Result,
                            HttpResponse Answer) {
  noteFirstByte();
  m_Link = nullptr;
  m_SlowAt = {};
  AttemptOutcome Outcome;
  Outcome.m_Result = Result;
  Outcome.m_Elapsed = m_Clock.now() - m_SentAt;
  if (Result == LinkResult::Answered)
    Outcome.m_Facts = m_Dialect.readAnswer(Answer);
  Outcome.m_Answer = std::move(Answer);
  if (Result == LinkResult::Withdrawn) {
    --m_SendCount;
  } else if (Result == LinkResult::NotSent || Result == LinkResult::Refused) {
    --m_SendCount;
    ++m_UnreachableCount;
  } else if (Result != LinkResult::Answered ||
             !(Outcome.m_Facts.m_NotExecuted ||
               Outcome.m_Facts.m_IsMisdirected)) {
    m_MayHaveRun = true;
  }
  m_Listener->attemptDone(shared_from_this(), Target, std::move(Outcome));
}

void Exchange::noteFirstByte() {
  if (m_Link && m_Link->writeStart() != TimePoint{})
    m_FirstByteAt = m_Link->writeStart();
}

void Exchange::abandonSend() {
  if (!m_Link)
    return;
  noteFirstByte();
  if (m_Link->mayHaveSent()) {
    m_MayHaveRun = true;
  } else {
    --m_SendCount;
    ++m_UnreachableCount;
  }
  m_Link->close();
  m_Link = nullptr;
  m_SlowAt = {};
}

void Exchange::answer(HttpResponse Answer, const char *Reason) {
  if (!m_Reply)
    return;
  m_Timer.cancel();
  const auto Self = shared_from_this();
  m_Listener->requestFinished(*this, Answer.m_Status, Reason);
  std::exchange(m_Reply, nullptr)(std::move(Answer));
}

void Exchange::cancel() {
  if (!m_Reply)
    return;
  const auto Self = shared_from_this();
  m_Reply = nullptr;
  m_Timer.cancel();
  m_Listener->callerDisconnected(Self);
}

void Exchange::armTimer() {
  TimePoint Next = m_Deadline;
  if (m_SlowAt != TimePoint{})
    Next = std::min(Next, m_SlowAt);
  m_Timer.expires_after(
      std::max<Duration>(Next - m_Clock.now(), Duration::zero()));
  m_Timer.async_wait(
      [Weak = weak_from_this()](const boost::system::error_code &Error) {
        const auto Self = Weak.lock();
        if (!Error && Self)
          Self->timerFired();
      });
}

void Exchange::timerFired() {
  if (!m_Reply)
    return;
  const TimePoint Now = m_Clock.now();
  if (Now >= m_Deadline) {
    m_Listener->deadlineExpired(shared_from_this());
    return;
  }
  if (m_SlowAt != TimePoint{} && Now >= m_SlowAt) {
    m_SlowAt = {};
    m_Listener->attemptSlow(shared_from_this());
  }
  if (m_Reply)
    armTimer();
}

} // namespace monsoon
