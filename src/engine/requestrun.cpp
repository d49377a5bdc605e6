#include "engine/requestrun.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

constexpr int MaxAttempts = 4;
/// Maximum wait for an owner during the handover of a range or the replacement
/// of its target.
constexpr Milliseconds MaxOwnerWait{2500};
/// Maximum wait for a free slot while the targets are at their limits.
constexpr Milliseconds MaxSlotWait{100};
/// Maximum wait for a free slot while targets of the pool are warming up.
constexpr Milliseconds MaxWarmupWait{1000};
constexpr Milliseconds PollInterval{2};
/// Minimum time for an attempt that may be followed by a retry.
constexpr Milliseconds MinAttemptTime{50};

/// The value of a query parameter, not percent-decoded.
std::optional<std::string> queryValue(const std::string &Uri,
                                      const std::string &Name) {
  const size_t Start = Uri.find('?');
  if (Start == std::string::npos)
    return std::nullopt;
  std::string_view Rest = std::string_view(Uri).substr(Start + 1);
  while (!Rest.empty()) {
    const size_t End = std::min(Rest.find('&'), Rest.size());
    const std::string_view Pair = Rest.substr(0, End);
    const size_t Equals = Pair.find('=');
    if (Equals != std::string_view::npos && Pair.substr(0, Equals) == Name)
      return std::string(Pair.substr(Equals + 1));
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  return std::nullopt;
}

/// Records whether the answer has begun to be passed to the caller.
class StartTrackingSink : public AnswerSink {
public:
  StartTrackingSink(AnswerSink &Inner, bool &HasStarted)
      : m_Inner(Inner), m_HasStarted(HasStarted) {}
  bool head(const TargetAnswer &Head) override {
    m_HasStarted = true;
    return m_Inner.head(Head);
  }
  bool body(std::string_view Piece) override { return m_Inner.body(Piece); }

private:
  AnswerSink &m_Inner;
  bool &m_HasStarted;
};

} // namespace

RequestRun::RequestRun(RequestPath &Path, TargetService &Targets,
                       WaitingClock &Time, const RoutingTable &Table,
                       const Route &Matched, const CallerRequest &Request,
                       TimePoint Deadline, AnswerSink *Sink)
    : m_Path(Path), m_Targets(Targets), m_Time(Time), m_Route(Matched),
      m_Pool(*Table.m_Tables->findPool(Matched.pool())), m_Request(Request),
      m_Deadline(Deadline), m_Sink(Sink),
      m_Runtime(Table.runtime(Matched.pool())), m_StartedAt(Time.now()) {}

std::optional<std::string> RequestRun::key() const {
  const KeySource &Source = m_Route.key();
  switch (Source.m_Place) {
  case KeyPlace::None:
    return std::string();
  case KeyPlace::PathParameter:
    if (const auto Part =
            m_Route.path().parameter(m_Request.m_Path, Source.m_Name))
      return std::string(*Part);
    return std::nullopt;
  case KeyPlace::Header:
    if (const auto *Value = findHeader(m_Request.m_Headers, Source.m_Name))
      return *Value;
    return std::nullopt;
  case KeyPlace::Query:
    return queryValue(m_Request.m_Uri, Source.m_Name);
  }
  return std::nullopt;
}

Answer RequestRun::run() {
  m_Key = key();
  if (!m_Key || (m_Pool.isOwnedByKey() && m_Key->empty()))
    return errorAnswer(ErrorKind::KeyMissing,
                       absl::StrCat("route \"", m_Route.name(),
                                    "\" needs the key \"", m_Route.key().m_Name,
                                    "\""));
  m_Runtime->m_Retries.earn();
  return tryTargets();
}

Answer RequestRun::tryTargets() {
  while (true) {
    if (m_Time.now() >= m_Deadline)
      return failWith(ErrorKind::DeadlineSpent,
                      "the deadline passed before a target was available");
    auto Chosen = chooseTarget();
    if (const auto *Reason = std::get_if<ErrorKind>(&Chosen)) {
      if (waitForCapacity(*Reason))
        continue;
      return failWith(*Reason, absl::StrCat("pool \"", m_Pool.name(),
                                            "\" has no target available"));
    }
    const Placement &Place = std::get<Placement>(Chosen);
    AttemptResult Result = attempt(Place);
    if (!m_FirstUncertainError && Result.ran() != RunState::No)
      m_FirstUncertainError = Result.m_Error;
    if (!prepareRetry(Place, Result))
      return makeAnswer(std::move(Result));
  }
}

std::variant<RequestRun::Placement, ErrorKind> RequestRun::chooseTarget() {
  if (m_Pool.isOwnedByKey())
    return chooseOwner();
  auto Place = m_Runtime->m_Targets.reserve(m_Excluded, m_Time.now());
  if (const auto *Reason = std::get_if<ErrorKind>(&Place))
    return *Reason;
  return Placement{std::get<Reservation>(std::move(Place)), std::nullopt};
}

std::variant<RequestRun::Placement, ErrorKind> RequestRun::chooseOwner() {
  RoutingView &View = m_Runtime->m_View;
  const uint32_t Ranges = View.rangeCount();
  if (Ranges == 0)
    return ErrorKind::ViewStale;
  auto Right = View.begin(rangeOfKey(*m_Key, Ranges), m_Time.now());
  if (const auto *Reason = std::get_if<ErrorKind>(&Right))
    return *Reason;
  auto &Owner = std::get<RoutingPermit>(Right);
  auto Place = m_Runtime->m_Targets.reserveAt(Owner.m_Server, m_Time.now());
  if (const auto *Reason = std::get_if<ErrorKind>(&Place)) {
    View.finish(Owner, true);
    return *Reason;
  }
  return Placement{std::get<Reservation>(std::move(Place)), std::move(Owner)};
}

TimePoint RequestRun::attemptDeadline() const {
  // An idempotent request keeps half of its remaining time for a retry, in case
  // the target is unresponsive.
  const bool KeepsRetryTime = m_Route.isIdempotent() && !m_Sink &&
                              m_Attempts < MaxAttempts &&
                              m_Runtime->m_Retries.isAvailable();
  if (!KeepsRetryTime)
    return m_Deadline;
  const TimePoint Now = m_Time.now();
  return Now + std::max<Duration>((m_Deadline - Now) / 2, MinAttemptTime);
}

AttemptResult RequestRun::attempt(const Placement &Chosen) {
  ++m_Attempts;
  const Target &Destination = Chosen.m_Reservation.m_Target;
  m_LastTarget = Destination.m_Name;
  Attempt Order;
  Order.m_Request = &m_Request;
  Order.m_Target = Destination;
  Order.m_CorrelationId = m_Path.nextCorrelationId();
  Order.m_Deadline = attemptDeadline();
  Order.m_ConnectionShare = Chosen.m_Reservation.m_ConnectionShare;
  if (Chosen.m_Right) {
    Order.m_FencingToken = {Chosen.m_Right->m_Range, Chosen.m_Right->m_Fence};
    // A target that doesn't check fencing tokens must finish the request before
    // the next owner may start.
    if (!m_Pool.checksFences()) {
      Order.m_Deadline = std::min(Order.m_Deadline, Chosen.m_Right->m_Until);
      Order.m_TargetEnforcesDeadline = true;
    }
  }
  const auto MaySend = [this, &Chosen, &Destination] {
    if (Chosen.m_Right)
      return m_Runtime->m_View.isStillValid(*Chosen.m_Right, m_Time.now());
    return m_Runtime->m_Targets.mayStillSend(Destination.m_Name);
  };
  std::optional<StartTrackingSink> Sink;
  if (m_Sink)
    Sink.emplace(*m_Sink, m_AnswerStarted);
  AttemptResult Result =
      m_Targets.send(Order, MaySend, Sink ? &*Sink : nullptr);
  m_Runtime->m_Targets.finish(Chosen.m_Reservation, Result, m_Time.now());
  if (Chosen.m_Right)
    m_Runtime->m_View.finish(*Chosen.m_Right,
                             Result.ran() != RunState::Unknown);
  if (!Result.isAnswered() && (Result.m_Error == ErrorKind::DeadlineExceeded ||
                               Result.m_Error == ErrorKind::CallerGone))
    m_Targets.cancel(Destination, Order.m_CorrelationId);
  return Result;
}

bool RequestRun::prepareRetry(const Placement &Chosen,
                              const AttemptResult &Result) {
  if (Result.isAnswered() || m_AnswerStarted ||
      Result.m_Error == ErrorKind::CallerGone)
    return false;
  if (m_Attempts >= MaxAttempts || m_Time.now() >= m_Deadline)
    return false;
  const bool IsProvenNotRun = Result.ran() == RunState::No;
  if (!IsProvenNotRun && !m_Route.isIdempotent())
    return false;
  // This host did not send the request, so the retry adds no load and needs no
  // retry budget.
  if (Result.m_Error == ErrorKind::ViewStale)
    return true;
  if (!m_Runtime->m_Retries.spend())
    return false;
  if (!Chosen.m_Right) {
    m_Excluded.insert(Chosen.m_Reservation.m_Target.m_Name);
    return true;
  }
  // Back off before the owner is tried again, so that a handover in progress
  // can complete.
  m_Time.sleepFor(PollInterval * (5 << m_Attempts));
  return true;
}

bool RequestRun::waitForCapacity(ErrorKind Reason) {
  Milliseconds Limit{0};
  if (Reason == ErrorKind::OwnerUnknown || Reason == ErrorKind::ViewStale)
    Limit = MaxOwnerWait;
  else if (Reason == ErrorKind::TargetsBusy)
    Limit = m_Runtime->m_Targets.isWarming() ? MaxWarmupWait : MaxSlotWait;
  const TimePoint Now = m_Time.now();
  if (Now + PollInterval >= m_Deadline || Now - m_StartedAt >= Limit)
    return false;
  m_Time.sleepFor(PollInterval);
  return true;
}

Answer RequestRun::failWith(ErrorKind Kind, std::string Detail) const {
  // If an earlier attempt may have run, the answer must not claim that the
  // request did not run, whatever the error of the last attempt.
  const bool ClaimsNotRun = errorRule(Kind).m_Ran == RunState::No;
  Answer Failed = errorAnswer(
      ClaimsNotRun && m_FirstUncertainError ? *m_FirstUncertainError : Kind,
      std::move(Detail));
  Failed.m_Streamed = m_AnswerStarted;
  return Failed;
}

Answer RequestRun::makeAnswer(AttemptResult Result) const {
  if (!Result.isAnswered())
    return failWith(
        Result.m_Error,
        absl::StrCat("target \"", m_LastTarget, "\" of pool \"", m_Pool.name(),
                     "\": ",
                     Result.m_Refusal.empty()
                         ? std::string(errorRule(Result.m_Error).m_Meaning)
                         : Result.m_Refusal));
  Answer Passed;
  Passed.m_Status = Result.m_Answer->m_Status;
  Passed.m_Headers = std::move(Result.m_Answer->m_Headers);
  Passed.m_Body = std::move(Result.m_Answer->m_Body);
  Passed.m_Streamed = m_AnswerStarted;
  return Passed;
}

} // namespace monsoon
