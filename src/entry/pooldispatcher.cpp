#include "entry/pooldispatcher.h"

#include "core/keyspace.h"
#include "policy/limitpacer.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

/// Typical service time until answers have been measured.
constexpr Milliseconds InitialServiceTime{150};
/// Weight of the newest answer in the typical service time.
constexpr double ServiceTimeWeight = 0.03;
/// Weight of the newest answer in the mean number of bytes.
constexpr double BytesWeight = 0.05;
/// A send counts as slow after this multiple of the expected time, but not
/// before this fraction of the time from arrival to deadline.
constexpr double SlowMultiple = 4;
constexpr double SlowDeadlineFraction = 0.3;
/// Sends that failed to reach a target after which a request is refused.
constexpr int MaxUnreachable = 4;
/// Pause before a retry after a target refused a key as not its own.
constexpr Milliseconds WrongOwnerPause{60};
/// A queued request is refused when less than this fraction of the typical
/// service time is left until its deadline.
constexpr double MinTimeLeftFraction = 0.7;
/// Number of steps of the preference that each host has for each target.
constexpr uint64_t PreferenceSteps = 64;
/// Bounds of the Retry-After of a refusal, before jitter.
constexpr Milliseconds MinRetryAfter{50};
constexpr Milliseconds MaxRetryAfter{1000};
/// Requests in flight that an owner may have beyond its slots. Only the owner
/// can serve its keys, so a short queue there costs less than idle slots.
constexpr double MaxQueuedAtOwner = 2;
/// A disconnect may not have been read if the request arrived this long ago, or
/// if the event loop is this late.
constexpr Milliseconds DisconnectCheckAge{200};
constexpr Milliseconds DisconnectCheckLateness{100};

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// True if an answer may be passed on: a success must be signed by the target
/// and not be content-encoded.
bool isTrustworthy(const AttemptOutcome &Outcome) {
  return !isSuccess(Outcome.m_Answer.m_Status) ||
         (Outcome.m_Facts.m_IsSigned &&
          !Outcome.m_Answer.m_Fields.find("Content-Encoding"));
}

const char *lossReason(LinkResult Result) {
  return Result == LinkResult::Lost ? "answer_lost" : "answer_garbled";
}

Duration scaled(Duration Length, double Factor) {
  return std::chrono::duration_cast<Duration>(Length * Factor);
}

} // namespace

HttpResponse errorAnswer(ErrorKind Kind, const std::string &RequestId,
                         const std::string &Detail, Duration RetryAfter) {
  const ErrorRule &Rule = errorRule(Kind);
  HttpResponse Answer;
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
    : m_Name(std::move(Name)), m_Parts(Shared),
      m_TypicalServiceTime(InitialServiceTime),
      m_Retries(Shared.m_Limits.m_Retries, Shared.m_Clock.now()) {}

void PoolDispatcher::submit(const ExchangePtr &Request) {
  m_Retries.noteRequest(m_Parts.m_Clock.now());
  Request->setListener(this);
  ++m_Unfinished;
  if (m_Ownership) {
    if (lacksKey(*Request)) {
      Request->answer(errorAnswer(ErrorKind::KeyMissing, Request->facts().m_Id,
                                  "the request has no key", {}),
                      "key_missing");
      return;
    }
    m_Ownership->countRequest(*Request->facts().m_Key);
    m_ArrivalShare.noteArrival(m_Parts.m_Clock.now());
    const std::string OwnerId = ownerQueueId(*Request);
    if (!OwnerId.empty() && !admitsDemand(OwnerId, *Request)) {
      refuse(Request, "owner_overloaded", MaxRetryAfter);
      return;
    }
  }
  Request->startTimer();
  dispatchOrQueue(Request);
}

bool PoolDispatcher::lostAccess(Exchange &Request) const {
  RequestCustomer Now = Request.customer();
  if (!m_Customers || Now.m_Table == m_Customers)
    return false;
  const Customer *Holder = Now.m_Key ? m_Customers->find(*Now.m_Key) : nullptr;
  // The request names the customer that held the key when it arrived.
  const bool IsSameHolder =
      Holder && Now.m_Customer && Holder->m_Name == Now.m_Customer->m_Name;
  if (!IsSameHolder && !Request.route().isPublic())
    return true;
  if (!IsSameHolder && std::exchange(Now.m_UsesAllowance, false))
    m_Parts.m_Allowances->giveBack(m_Parts.m_Clock.now(), *Now.m_Customer);
  Now.m_Table = m_Customers;
  Now.m_Customer = IsSameHolder ? Holder : nullptr;
  Request.setCustomer(std::move(Now));
  return false;
}

void PoolDispatcher::refuseWithoutAccess(const ExchangePtr &Request) {
  if (Request->mayHaveRun()) {
    failRequest(Request, ErrorKind::AnswerLost, "key_revoked");
    return;
  }
  // A valid key of which the request's fields don't name the present holder.
  const std::optional<KeyDigest> &Key = Request->customer().m_Key;
  if (!Key || m_Customers->find(*Key)) {
    refuse(Request, "customer_changed");
    return;
  }
  Request->answer(errorAnswer(ErrorKind::CustomerUnknown, Request->facts().m_Id,
                              "the key has been revoked", {}),
                  "key_revoked");
}

void PoolDispatcher::dispatchOrQueue(const ExchangePtr &Request) {
  if (m_Parts.m_Clock.now() >= Request->deadline()) {
    deadlineExpired(Request);
    return;
  }
  if (lostAccess(*Request)) {
    refuseWithoutAccess(Request);
    return;
  }
  if (lacksKey(*Request)) {
    failRequest(Request, ErrorKind::AnswerLost, "key_missing");
    return;
  }
  const std::string OwnerId = ownerQueueId(*Request);
  const auto Waiting = m_OwnerQueues.find(OwnerId);
  // A new request does not overtake a queued one of the same priority.
  const bool MustWait = Waiting != m_OwnerQueues.end() &&
                        !Waiting->second.isEmpty() && Request->sendCount() == 0;
  if (!MustWait && tryDispatch(Request)) {
    cancelDisconnected();
    return;
  }
  const TargetNodePtr Owner =
      OwnerId.empty() ? nullptr : m_Parts.m_Targets.find(OwnerId);
  // The keys of an unresponsive owner are reassigned, but not in time for this
  // request.
  if (Owner && !Request->mayHaveRun() &&
      Owner->load().isUnresponsive(m_Parts.m_Clock.now(),
                                   m_TypicalServiceTime)) {
    refuse(Request, "owner_silent");
    return;
  }
  if (Owner && Owner->leavingSince() &&
      !m_Parts.m_Targets.isUsableOwner(*Owner)) {
    failRequest(Request, ErrorKind::AnswerLost, "owner_leaving");
    return;
  }
  if (!m_Ownership && !m_Parts.m_Targets.hasUsable(m_Name)) {
    failRequest(Request, ErrorKind::AnswerLost, "no_usable_target");
    return;
  }
  PoolQueue &Queue = m_OwnerQueues[OwnerId];
  if (!Queue.wouldServeBy(admissionLimit(*Request), m_Parts.m_Clock.now(),
                          Request->priority(), queueOutlook(OwnerId))) {
    if (Request->mayHaveRun())
      failRequest(Request, ErrorKind::AnswerLost, "no_time_to_retry");
    else
      refuse(Request, "queue_too_long");
    return;
  }
  Queue.add(Request);
}

std::string PoolDispatcher::ownerQueueId(const Exchange &Request) const {
  if (!m_Ownership || !m_Ownership->table() || lacksKey(Request))
    return "";
  const OwnedRange *Range = m_Ownership->table()->find(*Request.facts().m_Key);
  return Range ? Range->m_Owner : "";
}

bool PoolDispatcher::admitsDemand(const std::string &OwnerId,
                                  const Exchange &Request) {
  const TimePoint Now = m_Parts.m_Clock.now();
  DemandGate &Gate = m_Demand[OwnerId];
  const QueueOutlook Outlook = queueOutlook(OwnerId);
  double ServedRate =
      Outlook.m_Concurrency /
      std::chrono::duration<double>(Outlook.m_ServiceTime).count();
  const TargetNodePtr Owner = m_Parts.m_Targets.find(OwnerId);
  if (Owner && Owner->requestLimit())
    ServedRate = std::min(ServedRate, *Owner->requestLimit());
  const bool IsAdmitted = Gate.admits(Now, ServedRate, totalDemandRatio(),
                                      stableHash(Request.facts().m_Id));
  Gate.noteArrival(Now);
  return IsAdmitted;
}

double PoolDispatcher::totalDemandRatio() const {
  const size_t Hosts = std::max<size_t>(1, m_Parts.m_Hosts.hosts());
  // Among many hosts only the lease holder learns of all requests.
  if (m_Parts.m_Hosts.isLarge())
    return static_cast<double>(Hosts);
  return m_ArrivalShare.totalRatio(m_Parts.m_Clock.now(),
                                   m_Ownership->requestRate(), Hosts);
}

QueueOutlook PoolDispatcher::queueOutlook(const std::string &OwnerId) const {
  const TimePoint Now = m_Parts.m_Clock.now();
  QueueOutlook Result;
  Result.m_ServiceTime = m_TypicalServiceTime;
  Result.m_Hosts = std::max<size_t>(1, m_Parts.m_Hosts.hosts());
  if (!OwnerId.empty()) {
    const TargetNodePtr Owner = m_Parts.m_Targets.find(OwnerId);
    if (!Owner)
      return Result;
    Result.m_ServiceTime = Owner->load().serviceTime(Now, m_TypicalServiceTime);
    Result.m_Concurrency = Owner->load().slots();
    Result.m_PeersWaiting = Owner->load().peersWaiting(Now);
    Result.m_SendInterval = limitInterval(*Owner);
    Result.m_UntilNextSend =
        std::max(Duration::zero(),
                 Owner->pace().lastSent() + Result.m_SendInterval - Now);
    return Result;
  }
  Result.m_Concurrency = 0;
  for (const TargetNodePtr &Each : m_Parts.m_Targets.findByPool(m_Name))
    if (m_Parts.m_Targets.isUsable(*Each))
      Result.m_Concurrency += Each->load().slots();
  // Requests at the other hosts wait for the same slots, about as many at each
  // host as here.
  Result.m_Concurrency /= static_cast<double>(Result.m_Hosts);
  Result.m_Hosts = 1;
  return Result;
}

TimePoint PoolDispatcher::admissionLimit(const Exchange &Request) const {
  return std::min(Request.objective(), Request.deadline());
}

TimePoint PoolDispatcher::waitDeadline(const Exchange &Request) const {
  // A caller that is refused at its objective still has time to be served by
  // another host or a new owner.
  return std::min(Request.objective(),
                  Request.deadline() -
                      scaled(m_TypicalServiceTime, MinTimeLeftFraction));
}

bool PoolDispatcher::tryDispatch(const ExchangePtr &Request) {
  if (m_Parts.m_Clock.now() < Request->notBefore())
    return false;
  const TargetNodePtr Target =
      m_Ownership ? chooseOwner(*Request) : chooseTarget(*Request);
  if (!Target)
    return false;
  if (hasDisconnected(*Request))
    m_Disconnected.push_back(Request);
  else
    send(Request, Target, slowAfter(*Request, *Target));
  return true;
}

void PoolDispatcher::send(const ExchangePtr &Request,
                          const TargetNodePtr &Target, Milliseconds SlowAfter) {
  if (Request->holdsRetry()) {
    m_Retries.noteSent(m_Parts.m_Clock.now());
    if (!Request->retryReasons().empty())
      ++m_RetriesSent[Request->retryReasons().back()];
  }
  Request->setMembershipAge(m_Parts.m_Targets.membershipAge());
  Request->send(Target, SlowAfter);
}

bool PoolDispatcher::hasDisconnected(const Exchange &Request) const {
  const TimePoint Now = m_Parts.m_Clock.now();
  const bool IsCheckDue =
      Now - Request.arrivedAt() >= DisconnectCheckAge ||
      (m_Parts.m_HostLoad &&
       m_Parts.m_HostLoad->lateness(Now) >= DisconnectCheckLateness);
  return IsCheckDue && Request.hasCallerDisconnected();
}

void PoolDispatcher::cancelDisconnected() {
  for (const ExchangePtr &Each : std::exchange(m_Disconnected, {}))
    Each->cancel();
}

Milliseconds PoolDispatcher::slowAfter(const Exchange &Request,
                                       const TargetNode &Target) const {
  // A slow send is moved to another target. That is not allowed for work that
  // must not run twice, nor for keyed requests, which have one owner only.
  if (!Request.isIdempotent() || m_Ownership)
    return Milliseconds(0);
  const Duration Expected = scaled(
      Target.load().expectedTime(m_Parts.m_Clock.now(), m_TypicalServiceTime),
      SlowMultiple);
  const Duration Minimum =
      scaled(Request.deadline() - Request.arrivedAt(), SlowDeadlineFraction);
  return std::chrono::duration_cast<Milliseconds>(std::max(Expected, Minimum));
}

Duration PoolDispatcher::limitInterval(const TargetNode &Node) const {
  if (!Node.requestLimit())
    return Duration::zero();
  return LimitPacer::interval(*Node.requestLimit(), m_Parts.m_Hosts.share(),
                              Node.info().m_Id);
}

bool PoolDispatcher::paceAllows(const TargetNode &Node, TimePoint Now) const {
  if (Node.requestLimit() && Now - Node.pace().lastSent() < limitInterval(Node))
    return false;
  if (!Node.isCold(Now) || m_WarmupRate <= 0)
    return true;
  return Node.pace().maySend(Now,
                             m_WarmupRate * m_Parts.m_Limits.m_ColdRateFraction,
                             m_Parts.m_Hosts.share(), Node.info().m_Id);
}

TargetNodePtr PoolDispatcher::chooseTarget(const Exchange &Request) const {
  const TimePoint Now = m_Parts.m_Clock.now();
  const uint64_t HostHash = stableHash(m_Parts.m_HostName);
  const std::vector<TargetNodePtr> &All = m_Parts.m_Targets.findByPool(m_Name);
  std::vector<const TargetNodePtr *> Nodes;
  std::vector<Candidate> Candidates;
  Nodes.reserve(All.size());
  Candidates.reserve(All.size());
  for (const TargetNodePtr &Each : All) {
    if (!m_Parts.m_Targets.isUsable(*Each))
      continue;
    Candidate One;
    One.m_Load = &Each->load();
    One.m_IsSameDomain =
        Each->info().m_FailureDomain == m_Parts.m_FailureDomain;
    One.m_PaceAllows = paceAllows(*Each, Now);
    One.m_Bias = static_cast<double>(mixHash(HostHash, Each->idHash()) %
                                     PreferenceSteps) /
                 PreferenceSteps;
    One.m_WasTried = Request.wasTriedAt(Each->info().m_Id);
    Candidates.push_back(One);
    Nodes.push_back(&Each);
  }
  const int Index =
      TargetChooser(TargetChooser::crossDomainFactor(m_MeanBytes))
          .choose(Candidates, Now, m_TypicalServiceTime, Nodes.size() == 1);
  return Index < 0 ? nullptr : *Nodes[static_cast<size_t>(Index)];
}

TargetNodePtr PoolDispatcher::chooseOwner(const Exchange &Request) const {
  const KeyTablePtr Table = m_Ownership->table();
  const OwnedRange *Range =
      Table ? Table->find(*Request.facts().m_Key) : nullptr;
  if (!Range)
    return nullptr;
  const TargetNodePtr Owner = m_Parts.m_Targets.find(Range->m_Owner);
  const TimePoint Now = m_Parts.m_Clock.now();
  if (!Owner || Owner->info().m_Incarnation != Range->m_Incarnation ||
      !m_Parts.m_Targets.isUsableOwner(*Owner) || !paceAllows(*Owner, Now))
    return nullptr;
  const TargetLoad &Load = Owner->load();
  if (Load.isUnresponsive(Now, m_TypicalServiceTime) || Load.isEjected(Now) ||
      (Load.isOnProbation() && Load.inFlight() > 0))
    return nullptr;
  const bool HasCapacity = Load.inFlight() + Load.peersInFlight(Now) <
                           Load.slots() + MaxQueuedAtOwner;
  return HasCapacity ? Owner : nullptr;
}

void PoolDispatcher::attemptDone(const ExchangePtr &Request,
                                 const TargetNodePtr &Target,
                                 AttemptOutcome Outcome) {
  const TimePoint Now = m_Parts.m_Clock.now();
  switch (Outcome.m_Result) {
  case LinkResult::Answered: {
    const bool Failed =
        Outcome.m_Answer.m_Status >= 500 || !isTrustworthy(Outcome);
    recordLoad(*Target, Outcome, Failed);
    m_MeanBytes +=
        BytesWeight * (static_cast<double>(Outcome.m_Answer.m_Body.size() +
                                           Request->bodyBytes()) -
                       m_MeanBytes);
    if (Request->isFinished())
      break;
    if (Outcome.m_Facts.m_NotExecuted || Outcome.m_Facts.m_IsMisdirected)
      retryUnexecuted(Request, Outcome.m_Facts.m_IsMisdirected);
    else
      processAnswer(Request, std::move(Outcome));
    break;
  }
  case LinkResult::Withdrawn:
    Target->load().noteLost(Now, false);
    if (Request->isFinished())
      break;
    restoreRetry(*Request);
    dispatchOrQueue(Request);
    break;
  case LinkResult::NotSent:
  case LinkResult::Refused:
    Target->load().noteUnreachable(Now);
    if (Request->isFinished())
      break;
    restoreRetry(*Request);
    if (Request->unreachableCount() >= MaxUnreachable)
      failRequest(Request, ErrorKind::AnswerLost, "targets_unreachable");
    else
      dispatchOrQueue(Request);
    break;
  case LinkResult::Lost:
  case LinkResult::Garbled:
    Target->load().noteLost(Now, true);
    if (Request->isFinished())
      break;
    if (Request->isIdempotent() &&
        tryReserveRetry(*Request, lossReason(Outcome.m_Result)))
      dispatchOrQueue(Request);
    else
      failRequest(Request, ErrorKind::AnswerLost, lossReason(Outcome.m_Result));
    break;
  }
  dispatchWaiting();
}

bool PoolDispatcher::maySend(const Exchange &Request,
                             const TargetNodePtr &Target) const {
  if (m_Parts.m_Targets.find(Target->info().m_Id) != Target)
    return false;
  if (!m_Ownership)
    return m_Parts.m_Targets.isUsable(*Target);
  const KeyTablePtr Table = m_Ownership->table();
  const OwnedRange *Range = Table && !lacksKey(Request)
                                ? Table->find(*Request.facts().m_Key)
                                : nullptr;
  return Range && Range->m_Owner == Target->info().m_Id &&
         Range->m_Incarnation == Target->info().m_Incarnation &&
         m_Parts.m_Targets.isUsableOwner(*Target);
}

void PoolDispatcher::restoreRetry(Exchange &Request) {
  if (Request.sendCount() == 0)
    return;
  m_Retries.noteNotSent(Request.sentAt());
  Request.restoreRetry();
}

void PoolDispatcher::recordLoad(TargetNode &Target,
                                const AttemptOutcome &Outcome, bool Failed) {
  const TimePoint Now = m_Parts.m_Clock.now();
  // Applied before the measured time: the report states how slow the machine
  // was while the request ran.
  if (Outcome.m_Facts.m_Load)
    Target.load().noteReport(Now, *Outcome.m_Facts.m_Load);
  if (Outcome.m_Facts.m_NotExecuted || Outcome.m_Facts.m_IsMisdirected) {
    Target.load().noteRefused(Now);
  } else {
    if (!Failed)
      m_TypicalServiceTime =
          scaled(m_TypicalServiceTime, 1 - ServiceTimeWeight) +
          scaled(Target.load().normalizedTime(Now, Outcome.m_Elapsed),
                 ServiceTimeWeight);
    Target.load().noteAnswered(Now, Outcome.m_Elapsed, m_TypicalServiceTime,
                               Failed);
  }
  m_Parts.m_Targets.noteAnswer(Target.info(), Outcome.m_Facts,
                               Now - Outcome.m_Elapsed);
  if (Outcome.m_Facts.m_WarmupLeft)
    Target.setWarmupLeft(Now, *Outcome.m_Facts.m_WarmupLeft);
}

void PoolDispatcher::processAnswer(const ExchangePtr &Request,
                                   AttemptOutcome Outcome) {
  const bool Trusted = isTrustworthy(Outcome);
  const bool Retryable = !Trusted || Outcome.m_Answer.m_Status >= 500;
  if (Retryable && Request->isIdempotent() &&
      tryReserveRetry(*Request,
                      Trusted ? "target_failed" : "answer_unsigned")) {
    if (Trusted)
      Request->setLastFailure(std::move(Outcome.m_Answer));
    dispatchOrQueue(Request);
    return;
  }
  if (!Trusted) {
    failRequest(Request, ErrorKind::AnswerMismatch, "answer_unsigned");
    return;
  }
  Outcome.m_Answer.m_Fields.removeHopByHop();
  Request->answer(std::move(Outcome.m_Answer), "answered");
}

void PoolDispatcher::retryUnexecuted(const ExchangePtr &Request,
                                     bool WrongOwner) {
  if (WrongOwner)
    Request->setNotBefore(m_Parts.m_Clock.now() + WrongOwnerPause);
  const char *Reason = WrongOwner ? "wrong_owner" : "target_refused";
  if (tryReserveRetry(*Request, Reason))
    dispatchOrQueue(Request);
  else if (Request->mayHaveRun())
    failRequest(Request, ErrorKind::AnswerLost, "refused_after_loss");
  else
    refuse(Request, Reason);
}

bool PoolDispatcher::tryReserveRetry(Exchange &Request, const char *Reason) {
  if (Request.sendCount() >= Request.route().maxAttempts() ||
      Request.timeLeft() < m_TypicalServiceTime)
    return false;
  if (!m_Retries.reserve(m_Parts.m_Clock.now(), retryShare())) {
    Request.noteRetryDenied();
    return false;
  }
  Request.reserveRetry(Reason);
  return true;
}

RetryShare PoolDispatcher::retryShare() const {
  const Duration Window = m_Retries.allowance().m_Window;
  return {m_Parts.m_RetryShare.windowShare(Window),
          m_Parts.m_RetryShare.newHosts(Window)};
}

RetryUse PoolDispatcher::retryUse() {
  const TimePoint Now = m_Parts.m_Clock.now();
  RetryUse Result;
  Result.m_Pool = m_Name;
  Result.m_Allowed = m_Retries.allowed(Now, retryShare());
  Result.m_Spent = m_Retries.spent(Now);
  Result.m_Denied = m_Retries.denied();
  Result.m_SentByReason = m_RetriesSent;
  return Result;
}

void PoolDispatcher::failRequest(const ExchangePtr &Request,
                                 ErrorKind KindIfSent, const char *Reason) {
  if (!Request->mayHaveRun()) {
    refuse(Request, Reason);
    return;
  }
  if (Request->lastFailure()) {
    HttpResponse Failure = *Request->lastFailure();
    Failure.m_Fields.removeHopByHop();
    Request->answer(std::move(Failure), Reason);
    return;
  }
  Request->answer(errorAnswer(KindIfSent, Request->facts().m_Id, Reason, {}),
                  Reason);
}

void PoolDispatcher::refuse(const ExchangePtr &Request, const char *Reason,
                            Duration MinDelay) {
  const std::string OwnerId = ownerQueueId(*Request);
  const auto Queue = m_OwnerQueues.find(OwnerId);
  Duration RetryDelay = m_TypicalServiceTime;
  if (Queue != m_OwnerQueues.end())
    RetryDelay = Queue->second.expectedWait(
        m_Parts.m_Clock.now(), Request->priority(), queueOutlook(OwnerId));
  RetryDelay = std::clamp<Duration>(std::max(RetryDelay, MinDelay),
                                    MinRetryAfter, MaxRetryAfter);
  // Jitter, so that callers refused together do not retry together.
  const double Jitter =
      0.75 +
      0.5 * static_cast<double>(stableHash(Request->facts().m_Id) % 997) / 997;
  Request->answer(errorAnswer(ErrorKind::TargetsBusy, Request->facts().m_Id,
                              Reason, scaled(RetryDelay, Jitter)),
                  Reason);
}

void PoolDispatcher::deadlineExpired(const ExchangePtr &Request) {
  m_OwnerQueues[ownerQueueId(*Request)].remove(Request.get());
  if (Request->isInFlight()) {
    Request->abandonSend();
    Request->target()->load().noteLost(m_Parts.m_Clock.now(), true);
  }
  if (Request->mayHaveRun())
    Request->answer(
        errorAnswer(ErrorKind::DeadlineExceeded, Request->facts().m_Id,
                    "no answer from the target before the deadline", {}),
        "deadline_exceeded");
  else
    refuse(Request, "waited_too_long");
  dispatchWaiting();
}

void PoolDispatcher::attemptSlow(const ExchangePtr &Request) {
  // The present send may still be answered.
  if (lostAccess(*Request))
    return;
  if (hasDisconnected(*Request)) {
    Request->cancel();
    return;
  }
  const TargetNodePtr Other = chooseTarget(*Request);
  if (!Other || !tryReserveRetry(*Request, "target_slow"))
    return;
  Request->abandonSend();
  Request->target()->load().noteLost(m_Parts.m_Clock.now(), true);
  send(Request, Other, Milliseconds(0));
}

void PoolDispatcher::callerDisconnected(const ExchangePtr &Request) {
  m_OwnerQueues[ownerQueueId(*Request)].remove(Request.get());
  if (Request->isInFlight()) {
    Request->abandonSend();
    Request->target()->load().noteLost(m_Parts.m_Clock.now(), false);
  }
  requestFinished(*Request, 0, "caller_gone");
  dispatchWaiting();
}

bool PoolDispatcher::hasWaiting() const {
  return std::any_of(m_OwnerQueues.begin(), m_OwnerQueues.end(),
                     [](const auto &Each) { return !Each.second.isEmpty(); });
}

void PoolDispatcher::addWaiting(std::map<std::string, int> &ByTarget) const {
  for (const auto &[OwnerId, Queue] : m_OwnerQueues)
    if (!OwnerId.empty() && !Queue.isEmpty())
      ByTarget[OwnerId] += static_cast<int>(Queue.size());
}

void PoolDispatcher::requeueByOwner() {
  if (!m_Ownership || m_Ownership->table() == m_QueuedByTable)
    return;
  m_QueuedByTable = m_Ownership->table();
  const TimePoint Now = m_Parts.m_Clock.now();
  std::map<std::string, PoolQueue> ByOwner;
  for (auto &[OwnerId, Queue] : m_OwnerQueues)
    Queue.offer(Now, m_TypicalServiceTime, [&](const PoolQueue::Item &Each) {
      const auto Request = std::static_pointer_cast<Exchange>(Each);
      Request->setNotBefore({});
      ByOwner[ownerQueueId(*Request)].add(Each);
      return PoolQueue::Verdict::Waits;
    });
  m_OwnerQueues = std::move(ByOwner);
  for (auto It = m_Demand.begin(); It != m_Demand.end();)
    It = m_Parts.m_Targets.find(It->first) ? std::next(It) : m_Demand.erase(It);
}

void PoolDispatcher::dispatchWaiting() {
  requeueByOwner();
  const TimePoint Now = m_Parts.m_Clock.now();
  std::vector<ExchangePtr> Unservable;
  std::vector<ExchangePtr> WithoutAccess;
  for (auto &[OwnerId, Queue] : m_OwnerQueues) {
    if (Queue.isEmpty())
      continue;
    for (const PoolQueue::Item &Each :
         Queue.takeIf([&](QueuedRequest &Waiting) {
           return lostAccess(static_cast<Exchange &>(Waiting));
         }))
      WithoutAccess.push_back(std::static_pointer_cast<Exchange>(Each));
    // Includes requests behind one that no target can take yet.
    for (const PoolQueue::Item &Each :
         Queue.takeIf([&](QueuedRequest &Waiting) {
           const auto &Request = static_cast<const Exchange &>(Waiting);
           return lacksKey(Request) || Now >= waitDeadline(Request);
         }))
      Unservable.push_back(std::static_pointer_cast<Exchange>(Each));
    Queue.offer(Now, m_TypicalServiceTime, [&](const PoolQueue::Item &Each) {
      const auto Request = std::static_pointer_cast<Exchange>(Each);
      if (Request->isFinished())
        return PoolQueue::Verdict::Taken;
      if (tryDispatch(Request))
        return PoolQueue::Verdict::Taken;
      const bool OthersMayDispatch =
          Request->sendCount() > 0 || Request->notBefore() > Now;
      return OthersMayDispatch ? PoolQueue::Verdict::Waits
                               : PoolQueue::Verdict::Stop;
    });
  }
  for (const ExchangePtr &Each : WithoutAccess)
    if (!Each->isFinished())
      refuseWithoutAccess(Each);
  for (const ExchangePtr &Each : Unservable)
    if (!Each->isFinished())
      failRequest(Each, ErrorKind::AnswerLost,
                  lacksKey(*Each) ? "key_missing" : "no_room_in_time");
  cancelDisconnected();
}

void PoolDispatcher::requestFinished(const Exchange &Request, int Status,
                                     const char *Reason) {
  --m_Unfinished;
  if (Request.holdsRetry())
    m_Retries.giveBack();
  const RequestCustomer &Sender = Request.customer();
  if (Sender.m_UsesAllowance && Sender.m_Customer && !Request.mayHaveRun())
    m_Parts.m_Allowances->giveBack(m_Parts.m_Clock.now(), *Sender.m_Customer);
  RequestReport Report;
  Report.m_RequestId = Request.facts().m_Id;
  Report.m_Route = Request.route().name();
  Report.m_Pool = m_Name;
  if (Request.target())
    Report.m_Target = Request.target()->info().m_Id;
  Report.m_Class = Request.route().trafficClass();
  if (Request.customer().m_Customer)
    Report.m_Tenant = Request.customer().m_Customer->m_Name;
  Report.m_Status = Status;
  Report.m_Reason = Reason;
  Report.m_ConfigVersion = Request.configVersion();
  Report.m_Config = Request.configView();
  Report.m_Attempts = Request.sendCount();
  Report.m_RetryReasons = absl::StrJoin(Request.retryReasons(), ",");
  Report.m_WasRetryDenied = Request.wasRetryDenied();
  const TimePoint Now = m_Parts.m_Clock.now();
  Report.m_Elapsed = Now - Request.arrivedAt();
  if (Request.sendCount() > 0)
    Report.m_Waited = Request.sentAt() - Request.arrivedAt();
  else
    Report.m_Waited = Report.m_Elapsed;
  if (const auto FirstByteAt = Request.firstByteAt()) {
    Report.m_Connecting = *FirstByteAt - Request.sentAt();
    if (const auto &Leave = Request.target()->leave())
      Report.m_Leaving =
          SentToLeaving{Leave->m_Source, *FirstByteAt - Leave->m_LearntAt,
                        Request.membershipAge()};
  }
  m_Parts.m_Metrics.requestDone(Report);
}

} // namespace monsoon
