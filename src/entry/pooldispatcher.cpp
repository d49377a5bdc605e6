#include "entry/pooldispatcher.h"

#include "core/keyspace.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Assumed until answers were measured.
constexpr Milliseconds FirstUsualTime{150};
/// Weight of the newest answer in the usual time.
constexpr double UsualWeight = 0.03;
/// Weight of the newest answer in the mean number of bytes.
constexpr double BytesWeight = 0.05;
/// A send counts as slow after this multiple of the expected time, but not
/// before the part of the deadline.
constexpr double SlowMultiple = 4;
constexpr double SlowDeadlinePart = 0.3;
/// Tries to reach a target before a request is refused.
constexpr int MaxUnreachable = 4;
/// Pause before a key's owner is asked again after it refused the key.
constexpr Milliseconds WrongOwnerPause{60};
/// A waiting request is refused when less than this part of the usual time is
/// left.
constexpr double HopelessPart = 0.7;
/// Grain of the preferences of hosts among targets.
constexpr uint64_t ReserveSteps = 64;
/// Bounds of the time after which a refused caller is asked to return.
constexpr Milliseconds ShortestReturn{50};
constexpr Milliseconds LongestReturn{1000};
/// Requests beyond the slots that an owner may hold: with one place to go, a
/// short queue there costs less than idle slots.
constexpr double OwnerQueue = 2;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// True when an answer can be passed on as the target's own.
bool isTrustworthy(const AttemptOutcome &Outcome) {
  return !isSuccess(Outcome.m_Answer.m_Status) ||
         (Outcome.m_Facts.m_Signed &&
          !Outcome.m_Answer.m_Fields.find("Content-Encoding"));
}

Duration scaled(Duration Length, double Factor) {
  return std::chrono::duration_cast<Duration>(Length * Factor);
}

} // namespace

HttpAnswer errorAnswer(ErrorKind Kind, const std::string &RequestId,
                       const std::string &Detail, Duration RetryAfter) {
  const ErrorRule &Rule = errorRule(Kind);
  HttpAnswer Answer;
  Answer.m_Status = Rule.m_Status;
  Answer.m_Fields.add("Content-Type", "application/json");
  Answer.m_Fields.add("X-Error-Kind", Rule.m_Name);
  if (RetryAfter > Duration::zero())
    Answer.m_Fields.add(
        "Retry-After",
        absl::StrFormat("%.3f",
                        std::chrono::duration<double>(RetryAfter).count()));
  Answer.m_Body =
      absl::StrCat(R"({"error":")", std::string(Rule.m_Name), R"(","ran":")",
                   std::string(runStateName(Rule.m_Ran)), R"(","detail":")",
                   Detail, R"(","request_id":")", RequestId, "\"}\n");
  return Answer;
}

PoolDispatcher::PoolDispatcher(std::string Name, const Parts &Shared)
    : m_Name(std::move(Name)), m_Parts(Shared), m_Usual(FirstUsualTime),
      m_Retries(Shared.m_Limits.m_Retries) {}

void PoolDispatcher::submit(const ExchangePtr &Request) {
  m_Retries.noteRequest(m_Parts.m_Clock.now());
  Request->setOwner(this);
  if (m_Keeper) {
    if (!Request->facts().m_Key) {
      Request->answer(errorAnswer(ErrorKind::KeyMissing, Request->facts().m_Id,
                                  "the request has no key", {}),
                      "key_missing");
      return;
    }
    m_Keeper->noteRequest(*Request->facts().m_Key);
  }
  Request->startTimer();
  placeOrWait(Request);
}

void PoolDispatcher::placeOrWait(const ExchangePtr &Request) {
  const std::string Lane = laneOf(*Request);
  const auto Waiting = m_Lanes.find(Lane);
  // Nobody overtakes a request of the same rank that waits.
  const bool MustWait = Waiting != m_Lanes.end() &&
                        !Waiting->second.isEmpty() && Request->sends() == 0;
  if (!MustWait && place(Request))
    return;
  const TargetNodePtr Owner =
      Lane.empty() ? nullptr : m_Parts.m_Targets.find(Lane);
  // Its keys go to others, but not within the time of this request.
  if (Owner && !Request->mayHaveRun() &&
      Owner->load().isSilent(m_Parts.m_Clock.now(), m_Usual)) {
    refuse(Request, "owner_silent");
    return;
  }
  PoolQueue &Queue = m_Lanes[Lane];
  if (!Queue.wouldServeBy(waitLimit(*Request), m_Parts.m_Clock.now(),
                          Request->priority(), outlookOf(Lane))) {
    if (Request->mayHaveRun())
      giveUp(Request, ErrorKind::AnswerLost, "no_time_to_retry");
    else
      refuse(Request, "queue_too_long");
    return;
  }
  Queue.add(Request);
}

std::string PoolDispatcher::laneOf(const Exchange &Request) const {
  if (!m_Keeper || !m_Keeper->table())
    return "";
  const OwnedRange *Range = m_Keeper->table()->find(*Request.facts().m_Key);
  return Range ? Range->m_Owner : "";
}

QueueOutlook PoolDispatcher::outlookOf(const std::string &Lane) const {
  const TimePoint Now = m_Parts.m_Clock.now();
  QueueOutlook Result;
  Result.m_Service = m_Usual;
  Result.m_Hosts = std::max<size_t>(1, m_Parts.m_Hosts.hosts());
  if (!Lane.empty()) {
    const TargetNodePtr Owner = m_Parts.m_Targets.find(Lane);
    if (!Owner)
      return Result;
    Result.m_Service = Owner->load().serviceTime(Now, m_Usual);
    Result.m_Room = Owner->load().slots();
    Result.m_Elsewhere = Owner->load().othersWaiting(Now);
    return Result;
  }
  Result.m_Room = 0;
  for (const TargetNodePtr &Each : m_Parts.m_Targets.ofPool(m_Name))
    if (m_Parts.m_Targets.isUsable(*Each))
      Result.m_Room += Each->load().slots();
  // The others wait for this room as well, about as many of them as here.
  Result.m_Room /= static_cast<double>(Result.m_Hosts);
  Result.m_Hosts = 1;
  return Result;
}

TimePoint PoolDispatcher::waitLimit(const Exchange &Request) const {
  return std::min(Request.objective(), Request.deadline());
}

TimePoint PoolDispatcher::giveUpAt(const Exchange &Request) const {
  // With its objective gone, there is still time to be served by another host
  // or a new owner, if it is told now.
  return std::min(Request.objective(),
                  Request.deadline() - scaled(m_Usual, HopelessPart));
}

bool PoolDispatcher::place(const ExchangePtr &Request) {
  if (m_Parts.m_Clock.now() < Request->notBefore())
    return false;
  const TargetNodePtr Target =
      m_Keeper ? chooseOwner(*Request) : chooseTarget(*Request);
  if (!Target)
    return false;
  Request->send(Target, slowAfter(*Request, *Target));
  return true;
}

Milliseconds PoolDispatcher::slowAfter(const Exchange &Request,
                                       const TargetNode &Target) const {
  // Work that must not run twice is left alone, and a key has one owner only.
  if (!Request.isIdempotent() || m_Keeper)
    return Milliseconds(0);
  const Duration Expected = scaled(
      Target.load().expectedTime(m_Parts.m_Clock.now(), m_Usual), SlowMultiple);
  const Duration Least =
      scaled(Request.deadline() - Request.arrived(), SlowDeadlinePart);
  return std::chrono::duration_cast<Milliseconds>(std::max(Expected, Least));
}

bool PoolDispatcher::paceAllows(const TargetNode &Node, TimePoint Now) const {
  if (!Node.isCold(Now) || m_WarmRate <= 0)
    return true;
  return Node.pace().maySend(Now, m_WarmRate * m_Parts.m_Limits.m_ColdRatePart,
                             m_Parts.m_Hosts.share(), Node.info().m_Id);
}

TargetNodePtr PoolDispatcher::chooseTarget(const Exchange &Request) const {
  const TimePoint Now = m_Parts.m_Clock.now();
  std::vector<TargetNodePtr> Nodes;
  std::vector<Candidate> Candidates;
  for (const TargetNodePtr &Each : m_Parts.m_Targets.ofPool(m_Name)) {
    if (!m_Parts.m_Targets.isUsable(*Each))
      continue;
    Candidate One;
    One.m_Load = &Each->load();
    One.m_SameDomain = Each->info().m_FailureDomain == m_Parts.m_FailureDomain;
    One.m_PaceAllows = paceAllows(*Each, Now);
    One.m_Reserve =
        static_cast<double>(stableHash(m_Parts.m_HostName + Each->info().m_Id) %
                            ReserveSteps) /
        ReserveSteps;
    One.m_TriedBefore = Request.wasTriedAt(Each->info().m_Id);
    Candidates.push_back(One);
    Nodes.push_back(Each);
  }
  const int Index = TargetChooser(TargetChooser::distanceFactor(m_MeanBytes))
                        .choose(Candidates, Now, m_Usual, Nodes.size() == 1);
  return Index < 0 ? nullptr : Nodes[static_cast<size_t>(Index)];
}

TargetNodePtr PoolDispatcher::chooseOwner(const Exchange &Request) const {
  const KeyTablePtr Table = m_Keeper->table();
  const OwnedRange *Range =
      Table ? Table->find(*Request.facts().m_Key) : nullptr;
  if (!Range)
    return nullptr;
  const TargetNodePtr Owner = m_Parts.m_Targets.find(Range->m_Owner);
  const TimePoint Now = m_Parts.m_Clock.now();
  if (!Owner || Owner->info().m_Incarnation != Range->m_Incarnation ||
      !m_Parts.m_Targets.isUsable(*Owner) || !paceAllows(*Owner, Now))
    return nullptr;
  const TargetLoad &Load = Owner->load();
  if (Load.isSilent(Now, m_Usual) || Load.isSuspended(Now) ||
      (Load.isOnTrial() && Load.inFlight() > 0))
    return nullptr;
  const bool HasRoom =
      Load.inFlight() + Load.othersInFlight(Now) < Load.slots() + OwnerQueue;
  return HasRoom ? Owner : nullptr;
}

void PoolDispatcher::attemptDone(const ExchangePtr &Request,
                                 const TargetNodePtr &Target,
                                 AttemptOutcome Outcome) {
  const TimePoint Now = m_Parts.m_Clock.now();
  switch (Outcome.m_Result) {
  case LinkResult::Answered: {
    const bool Failed =
        Outcome.m_Answer.m_Status >= 500 || !isTrustworthy(Outcome);
    noteLoad(*Target, Outcome, Failed);
    m_MeanBytes +=
        BytesWeight * (static_cast<double>(Outcome.m_Answer.m_Body.size() +
                                           Request->bodyBytes()) -
                       m_MeanBytes);
    if (Request->isOver())
      break;
    if (Outcome.m_Facts.m_NotExecuted || Outcome.m_Facts.m_WrongTarget)
      retryNotRun(Request, Outcome.m_Facts.m_WrongTarget);
    else
      judgeAnswer(Request, std::move(Outcome));
    break;
  }
  case LinkResult::NotSent:
  case LinkResult::Refused:
    Target->load().noteUnreachable(Now);
    if (Request->isOver())
      break;
    if (Request->unreachable() >= MaxUnreachable)
      giveUp(Request, ErrorKind::AnswerLost, "targets_unreachable");
    else
      placeOrWait(Request);
    break;
  case LinkResult::Lost:
  case LinkResult::Garbled:
    Target->load().noteLost(Now, true);
    if (Request->isOver())
      break;
    if (Request->isIdempotent() && mayRetry(*Request))
      placeOrWait(Request);
    else
      giveUp(Request, ErrorKind::AnswerLost,
             Outcome.m_Result == LinkResult::Lost ? "answer_lost"
                                                  : "answer_garbled");
    break;
  }
  offerWaiting();
}

void PoolDispatcher::noteLoad(TargetNode &Target, const AttemptOutcome &Outcome,
                              bool Failed) {
  const TimePoint Now = m_Parts.m_Clock.now();
  // The report tells how slow the machine was while the request ran.
  if (Outcome.m_Facts.m_Load)
    Target.load().noteReport(Now, *Outcome.m_Facts.m_Load);
  if (Outcome.m_Facts.m_NotExecuted || Outcome.m_Facts.m_WrongTarget) {
    Target.load().noteRefused(Now);
  } else {
    if (!Failed)
      m_Usual = scaled(m_Usual, 1 - UsualWeight) +
                scaled(Target.load().ordinaryPart(Now, Outcome.m_Elapsed),
                       UsualWeight);
    Target.load().noteAnswered(Now, Outcome.m_Elapsed, m_Usual, Failed);
  }
  if (Outcome.m_Facts.m_WarmupLeft)
    Target.setWarmupLeft(Now, *Outcome.m_Facts.m_WarmupLeft);
}

void PoolDispatcher::judgeAnswer(const ExchangePtr &Request,
                                 AttemptOutcome Outcome) {
  const bool Trusted = isTrustworthy(Outcome);
  const bool Retryable = !Trusted || Outcome.m_Answer.m_Status >= 500;
  if (Retryable && Request->isIdempotent() && mayRetry(*Request)) {
    if (Trusted)
      Request->keepFailure(std::move(Outcome.m_Answer));
    placeOrWait(Request);
    return;
  }
  if (!Trusted) {
    giveUp(Request, ErrorKind::AnswerMismatch, "answer_unsigned");
    return;
  }
  Outcome.m_Answer.m_Fields.removeHopByHop();
  Request->answer(std::move(Outcome.m_Answer), "answered");
}

void PoolDispatcher::retryNotRun(const ExchangePtr &Request, bool WrongOwner) {
  if (WrongOwner)
    Request->setNotBefore(m_Parts.m_Clock.now() + WrongOwnerPause);
  if (mayRetry(*Request))
    placeOrWait(Request);
  else if (Request->mayHaveRun())
    giveUp(Request, ErrorKind::AnswerLost, "refused_after_loss");
  else
    refuse(Request, WrongOwner ? "wrong_owner" : "target_refused");
}

bool PoolDispatcher::mayRetry(const Exchange &Request) {
  if (Request.sends() >= Request.route().maxAttempts() ||
      Request.timeLeft() < m_Usual)
    return false;
  return m_Retries.spend(m_Parts.m_Clock.now(), m_Parts.m_Hosts.hosts());
}

void PoolDispatcher::giveUp(const ExchangePtr &Request, ErrorKind Lost,
                            const char *Reason) {
  if (!Request->mayHaveRun()) {
    refuse(Request, Reason);
    return;
  }
  if (Request->lastFailure()) {
    HttpAnswer Failure = *Request->lastFailure();
    Failure.m_Fields.removeHopByHop();
    Request->answer(std::move(Failure), Reason);
    return;
  }
  Request->answer(errorAnswer(Lost, Request->facts().m_Id, Reason, {}), Reason);
}

void PoolDispatcher::refuse(const ExchangePtr &Request, const char *Reason) {
  const std::string Lane = laneOf(*Request);
  const auto Queue = m_Lanes.find(Lane);
  Duration Return = m_Usual;
  if (Queue != m_Lanes.end())
    Return = Queue->second.expectedWait(m_Parts.m_Clock.now(),
                                        Request->priority(), outlookOf(Lane));
  Return = std::clamp<Duration>(Return, ShortestReturn, LongestReturn);
  // Spread, so that a refused crowd does not return as one.
  const double Spread =
      0.75 +
      0.5 * static_cast<double>(stableHash(Request->facts().m_Id) % 997) / 997;
  Request->answer(errorAnswer(ErrorKind::TargetsBusy, Request->facts().m_Id,
                              Reason, scaled(Return, Spread)),
                  Reason);
}

void PoolDispatcher::timeOver(const ExchangePtr &Request) {
  m_Lanes[laneOf(*Request)].remove(Request.get());
  if (Request->isInFlight()) {
    Request->abandonSend();
    Request->target()->load().noteLost(m_Parts.m_Clock.now(), true);
  }
  if (Request->mayHaveRun())
    Request->answer(errorAnswer(ErrorKind::DeadlineExceeded,
                                Request->facts().m_Id, "no answer in time", {}),
                    "deadline_exceeded");
  else
    refuse(Request, "waited_too_long");
  offerWaiting();
}

void PoolDispatcher::attemptSlow(const ExchangePtr &Request) {
  const TargetNodePtr Other = chooseTarget(*Request);
  if (!Other || !mayRetry(*Request))
    return;
  Request->abandonSend();
  Request->target()->load().noteLost(m_Parts.m_Clock.now(), true);
  Request->send(Other, Milliseconds(0));
}

void PoolDispatcher::callerGone(const ExchangePtr &Request) {
  m_Lanes[laneOf(*Request)].remove(Request.get());
  if (Request->isInFlight()) {
    Request->abandonSend();
    Request->target()->load().noteLost(m_Parts.m_Clock.now(), false);
  }
  finished(*Request, 0, "caller_gone");
  offerWaiting();
}

bool PoolDispatcher::hasWaiting() const {
  return std::any_of(m_Lanes.begin(), m_Lanes.end(),
                     [](const auto &Each) { return !Each.second.isEmpty(); });
}

void PoolDispatcher::addWaiting(std::map<std::string, int> &ByTarget) const {
  for (const auto &[Lane, Queue] : m_Lanes)
    if (!Lane.empty() && !Queue.isEmpty())
      ByTarget[Lane] += static_cast<int>(Queue.size());
}

void PoolDispatcher::sortLanes() {
  if (!m_Keeper || m_Keeper->table() == m_SortedBy)
    return;
  m_SortedBy = m_Keeper->table();
  const TimePoint Now = m_Parts.m_Clock.now();
  std::map<std::string, PoolQueue> Lanes;
  for (auto &[Lane, Queue] : m_Lanes)
    Queue.offer(Now, m_Usual, [&](const PoolQueue::Item &Each) {
      const auto Request = std::static_pointer_cast<Exchange>(Each);
      Request->setNotBefore({});
      Lanes[laneOf(*Request)].add(Each);
      return PoolQueue::Verdict::Waits;
    });
  m_Lanes = std::move(Lanes);
}

void PoolDispatcher::offerWaiting() {
  sortLanes();
  const TimePoint Now = m_Parts.m_Clock.now();
  std::vector<ExchangePtr> Hopeless;
  for (auto &[Lane, Queue] : m_Lanes) {
    if (Queue.isEmpty())
      continue;
    // Also those behind a request for which there is no room yet.
    for (const PoolQueue::Item &Each :
         Queue.takeIf([&](const QueuedRequest &Waiting) {
           return Now >= giveUpAt(static_cast<const Exchange &>(Waiting));
         }))
      Hopeless.push_back(std::static_pointer_cast<Exchange>(Each));
    Queue.offer(Now, m_Usual, [&](const PoolQueue::Item &Each) {
      const auto Request = std::static_pointer_cast<Exchange>(Each);
      if (Request->isOver())
        return PoolQueue::Verdict::Taken;
      if (place(Request))
        return PoolQueue::Verdict::Taken;
      const bool OthersMayFit =
          Request->sends() > 0 || Request->notBefore() > Now;
      return OthersMayFit ? PoolQueue::Verdict::Waits
                          : PoolQueue::Verdict::Stop;
    });
  }
  for (const ExchangePtr &Each : Hopeless)
    if (!Each->isOver())
      giveUp(Each, ErrorKind::AnswerLost, "no_room_in_time");
}

void PoolDispatcher::finished(const Exchange &Request, int Status,
                              const char *Reason) {
  RequestReport Report;
  Report.m_RequestId = Request.facts().m_Id;
  Report.m_Route = Request.route().name();
  Report.m_Pool = m_Name;
  if (Request.target())
    Report.m_Target = Request.target()->info().m_Id;
  Report.m_Class = Request.route().trafficClass();
  Report.m_Status = Status;
  Report.m_Reason = Reason;
  Report.m_ConfigVersion = Request.configVersion();
  Report.m_Attempts = Request.sends();
  const TimePoint Now = m_Parts.m_Clock.now();
  Report.m_Elapsed = Now - Request.arrived();
  if (Request.sends() > 0)
    Report.m_Waited = Request.sentAt() - Request.arrived();
  else
    Report.m_Waited = Report.m_Elapsed;
  m_Parts.m_Metrics.requestDone(Report);
}

} // namespace monsoon
