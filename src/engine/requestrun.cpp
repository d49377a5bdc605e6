#include "engine/requestrun.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

constexpr int MaxAttempts = 4;
/// Longest wait for an owner while a range changes hands or its server is
/// being replaced.
constexpr Milliseconds OwnerWait{2500};
/// Longest wait for a place at a target whose limit is reached.
constexpr Milliseconds PlaceWait{100};
/// Longest wait for a place while a pool's targets are cold.
constexpr Milliseconds ColdWait{1000};
constexpr Milliseconds WaitStep{2};
/// Least time that a try gets which could be followed by another.
constexpr Milliseconds ShortestTry{50};

/// The value of a query parameter, as it stands in the URI.
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

/// Notes whether the answer has begun to flow to the caller.
class WatchedSink : public AnswerSink {
public:
  WatchedSink(AnswerSink &Inner, bool &Begun)
      : m_Inner(Inner), m_Begun(Begun) {}
  bool head(const TargetAnswer &Head) override {
    m_Begun = true;
    return m_Inner.head(Head);
  }
  bool body(std::string_view Piece) override { return m_Inner.body(Piece); }

private:
  AnswerSink &m_Inner;
  bool &m_Begun;
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
  return loop();
}

Answer RequestRun::loop() {
  while (true) {
    if (m_Time.now() >= m_Deadline)
      return giveUp(ErrorKind::DeadlineSpent,
                    "the deadline passed before a target was found");
    auto Chosen = choose();
    if (const auto *Reason = std::get_if<ErrorKind>(&Chosen)) {
      if (waitForPlace(*Reason))
        continue;
      return giveUp(*Reason, absl::StrCat("pool \"", m_Pool.name(),
                                          "\" can't take the request"));
    }
    const Lead &Place = std::get<Lead>(Chosen);
    AttemptResult Result = attempt(Place);
    if (!m_MayHaveRun && Result.ran() != RunState::No)
      m_MayHaveRun = Result.m_Error;
    if (!mayTryAgain(Place, Result))
      return conclude(std::move(Result));
  }
}

std::variant<RequestRun::Lead, ErrorKind> RequestRun::choose() {
  if (m_Pool.isOwnedByKey())
    return chooseOwner();
  auto Place = m_Runtime->m_Targets.reserve(m_Excluded, m_Time.now());
  if (const auto *Reason = std::get_if<ErrorKind>(&Place))
    return *Reason;
  return Lead{std::get<Reservation>(std::move(Place)), std::nullopt};
}

std::variant<RequestRun::Lead, ErrorKind> RequestRun::chooseOwner() {
  RoutingView &View = m_Runtime->m_View;
  const uint32_t Ranges = View.rangeCount();
  if (Ranges == 0)
    return ErrorKind::ViewStale;
  auto Right = View.begin(rangeOfKey(*m_Key, Ranges), m_Time.now());
  if (const auto *Reason = std::get_if<ErrorKind>(&Right))
    return *Reason;
  auto &Owner = std::get<OwnerRight>(Right);
  auto Place = m_Runtime->m_Targets.reserveAt(Owner.m_Server, m_Time.now());
  if (const auto *Reason = std::get_if<ErrorKind>(&Place)) {
    View.finish(Owner, true);
    return *Reason;
  }
  return Lead{std::get<Reservation>(std::move(Place)), std::move(Owner)};
}

TimePoint RequestRun::tryDeadline() const {
  // A request that may be repeated does not wait for a silent target until all
  // its time is gone.
  const bool KeepsReserve = m_Route.isIdempotent() && !m_Sink &&
                            m_Attempts < MaxAttempts &&
                            m_Runtime->m_Retries.isLeft();
  if (!KeepsReserve)
    return m_Deadline;
  const TimePoint Now = m_Time.now();
  return Now + std::max<Duration>((m_Deadline - Now) / 2, ShortestTry);
}

AttemptResult RequestRun::attempt(const Lead &Chosen) {
  ++m_Attempts;
  const Target &Destination = Chosen.m_Place.m_Target;
  m_LastTarget = Destination.m_Name;
  Attempt Order;
  Order.m_Request = &m_Request;
  Order.m_Target = Destination;
  Order.m_CorrelationId = m_Path.nextCorrelationId();
  Order.m_Deadline = tryDeadline();
  Order.m_ConnectionShare = Chosen.m_Place.m_ConnectionShare;
  if (Chosen.m_Right) {
    Order.m_Ticket = {Chosen.m_Right->m_Range, Chosen.m_Right->m_Fence};
    // A server that doesn't check fences must be done with the request before
    // a later owner may start.
    if (!m_Pool.checksFences()) {
      Order.m_Deadline = std::min(Order.m_Deadline, Chosen.m_Right->m_Until);
      Order.m_BindsClock = true;
    }
  }
  const auto MaySend = [this, &Chosen, &Destination] {
    if (Chosen.m_Right)
      return m_Runtime->m_View.stillHolds(*Chosen.m_Right, m_Time.now());
    return m_Runtime->m_Targets.mayStillSend(Destination.m_Name);
  };
  std::optional<WatchedSink> Sink;
  if (m_Sink)
    Sink.emplace(*m_Sink, m_AnswerBegun);
  AttemptResult Result =
      m_Targets.send(Order, MaySend, Sink ? &*Sink : nullptr);
  m_Runtime->m_Targets.finish(Chosen.m_Place, Result, m_Time.now());
  if (Chosen.m_Right)
    m_Runtime->m_View.finish(*Chosen.m_Right,
                             Result.ran() != RunState::Unknown);
  if (!Result.isAnswered() && (Result.m_Error == ErrorKind::DeadlineExceeded ||
                               Result.m_Error == ErrorKind::CallerGone))
    m_Targets.cancel(Destination, Order.m_CorrelationId);
  return Result;
}

bool RequestRun::mayTryAgain(const Lead &Chosen, const AttemptResult &Result) {
  if (Result.isAnswered() || m_AnswerBegun ||
      Result.m_Error == ErrorKind::CallerGone)
    return false;
  if (m_Attempts >= MaxAttempts || m_Time.now() >= m_Deadline)
    return false;
  const bool Proven = Result.ran() == RunState::No;
  if (!Proven && !m_Route.isIdempotent())
    return false;
  // Withheld by this host itself: no load was put on any target.
  if (Result.m_Error == ErrorKind::ViewStale)
    return true;
  if (!m_Runtime->m_Retries.spend())
    return false;
  if (!Chosen.m_Right) {
    m_Excluded.insert(Chosen.m_Place.m_Target.m_Name);
    return true;
  }
  // The same owner is asked again only after a pause, in which a handover may
  // come to its end.
  m_Time.sleepFor(WaitStep * (5 << m_Attempts));
  return true;
}

bool RequestRun::waitForPlace(ErrorKind Reason) {
  Milliseconds Limit{0};
  if (Reason == ErrorKind::OwnerUnknown || Reason == ErrorKind::ViewStale)
    Limit = OwnerWait;
  else if (Reason == ErrorKind::TargetsBusy)
    Limit = m_Runtime->m_Targets.isWarming() ? ColdWait : PlaceWait;
  const TimePoint Now = m_Time.now();
  if (Now + WaitStep >= m_Deadline || Now - m_StartedAt >= Limit)
    return false;
  m_Time.sleepFor(WaitStep);
  return true;
}

Answer RequestRun::giveUp(ErrorKind Kind, std::string Detail) const {
  // What an earlier try left open stays open, however the last one ended.
  const bool Denied = errorRule(Kind).m_Ran == RunState::No;
  Answer Failed = errorAnswer(Denied && m_MayHaveRun ? *m_MayHaveRun : Kind,
                              std::move(Detail));
  Failed.m_Streamed = m_AnswerBegun;
  return Failed;
}

Answer RequestRun::conclude(AttemptResult Result) const {
  if (!Result.isAnswered())
    return giveUp(
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
  Passed.m_Streamed = m_AnswerBegun;
  return Passed;
}

} // namespace monsoon
