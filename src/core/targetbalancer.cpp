#include "core/targetbalancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoon {

namespace {

constexpr double LatencyWeight = 0.2; // of a new answer in the moving average
constexpr double BaselineWeight =
    0.02; // of a new answer in the baseline latency
constexpr double MinLatencyMs = 0.2;
/// Half-life of the average latency's excess over the baseline.
constexpr Milliseconds ExcessHalfLife{100};
/// A target with a request in flight for longer than this multiple of the
/// baseline latency counts as straggling.
constexpr double StragglerFactor = 4;
constexpr double MinStragglerMs = 20;
constexpr double StragglerPenalty = 50;
/// Scores within this factor of the best count as equal.
constexpr double EqualScoreFactor = 1.5;
/// Latency above this multiple of the baseline lowers this host's limit.
constexpr double CongestionFactor = 3;
constexpr double CongestionDecrease = 0.8;
constexpr Milliseconds InitialBackoff{100};
constexpr Milliseconds MaxBackoff{1000};
/// Consecutive lost answers after which a target counts as down; a failed
/// connect suffices on its own.
constexpr int FailuresUntilDown = 2;

double toMilliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

} // namespace

std::string_view targetStateName(TargetState State) {
  switch (State) {
  case TargetState::Cold:
    return "cold";
  case TargetState::Warming:
    return "warming";
  case TargetState::Warm:
    return "warm";
  case TargetState::Straggling:
    return "straggling";
  case TargetState::Down:
    return "down";
  case TargetState::Out:
    return "out";
  }
  return "out";
}

TargetBalancer::TargetBalancer(const Pool &Value)
    : m_Pool(Value), m_Share("", {}, true) {
  setPool(Value);
}

void TargetBalancer::setPool(const Pool &Value) {
  const absl::MutexLock Lock(&m_Mutex);
  m_Pool = Value;
  for (auto &[Name, Entry] : m_Entries)
    Entry.m_InTable = false;
  for (const Target &Member : Value.targets()) {
    auto [It, IsNew] = m_Entries.try_emplace(Member.m_Name);
    TargetEntry &Entry = It->second;
    Entry.m_Target = Member;
    Entry.m_InTable = true;
    if (IsNew)
      resetWarmUp(Entry, TimePoint());
  }
  for (auto It = m_Entries.begin(); It != m_Entries.end();) {
    const bool IsGone = !It->second.m_InTable && It->second.m_InFlight == 0;
    It = IsGone ? m_Entries.erase(It) : std::next(It);
  }
}

void TargetBalancer::setShare(const HostShare &Value) {
  const absl::MutexLock Lock(&m_Mutex);
  m_Share = Value;
}

void TargetBalancer::setLeaving(std::set<std::string> Names) {
  const absl::MutexLock Lock(&m_Mutex);
  m_Leaving = std::move(Names);
}

int TargetBalancer::fullLimit(const TargetEntry &Entry) const {
  return static_cast<int>(
      std::floor(Entry.m_Target.m_Slots * m_Pool.policy().m_QueuePerSlot));
}

bool TargetBalancer::isWarm(const TargetEntry &Entry) const {
  return Entry.m_WarmUpLimit >= fullLimit(Entry);
}

int TargetBalancer::limit(const TargetEntry &Entry) const {
  const int Connections = std::max(1, Entry.m_Target.m_Connections /
                                          static_cast<int>(m_Share.hosts()));
  if (!isWarm(Entry))
    return std::min(m_Share.of(Entry.m_WarmUpLimit, Entry.m_Target.m_Name),
                    Connections);
  const int Adaptive =
      std::max(1, static_cast<int>(std::floor(Entry.m_AdaptiveLimit)));
  return std::min({Adaptive, fullLimit(Entry), Connections});
}

bool TargetBalancer::isOut(const TargetEntry &Entry) const {
  return !Entry.m_InTable || m_Leaving.count(Entry.m_Target.m_Name) != 0 ||
         m_Pool.isDomainOut(Entry.m_Target.m_FailureDomain);
}

TargetState TargetBalancer::state(const TargetEntry &Entry,
                                  TimePoint Now) const {
  if (isOut(Entry))
    return TargetState::Out;
  if (Now < Entry.m_DownUntil)
    return TargetState::Down;
  if (!Entry.m_StartTimes.empty()) {
    const double Age = toMilliseconds(Now - *Entry.m_StartTimes.begin());
    if (Age >
        std::max(MinStragglerMs, StragglerFactor * Entry.m_BaselineLatencyMs))
      return TargetState::Straggling;
  }
  if (isWarm(Entry))
    return TargetState::Warm;
  return Entry.m_WarmUpLimit > m_Pool.policy().m_ColdLimit
             ? TargetState::Warming
             : TargetState::Cold;
}

double TargetBalancer::score(const TargetEntry &Entry, TimePoint Now) const {
  const double HalfLives = toMilliseconds(Now - Entry.m_LatencyUpdatedAt) /
                           static_cast<double>(ExcessHalfLife.count());
  const double Excess =
      std::max(0.0, Entry.m_AverageLatencyMs - Entry.m_BaselineLatencyMs) *
      std::exp2(-HalfLives);
  return (Entry.m_InFlight + 1) *
         std::max(MinLatencyMs, Entry.m_BaselineLatencyMs + Excess);
}

Reservation TargetBalancer::reserveSlot(TargetEntry &Entry, TimePoint Now) {
  ++Entry.m_InFlight;
  Entry.m_StartTimes.insert(Now);
  const int Connections = std::max(1, Entry.m_Target.m_Connections /
                                          static_cast<int>(m_Share.hosts()));
  return {Entry.m_Target, Now, Connections};
}

std::variant<Reservation, ErrorKind>
TargetBalancer::reserve(const std::set<std::string> &Excluded, TimePoint Now) {
  const absl::MutexLock Lock(&m_Mutex);
  std::vector<std::pair<double, TargetEntry *>> Candidates;
  double BestScore = 0;
  bool HasAllowed = false;
  for (auto &[Name, Entry] : m_Entries) {
    const TargetState Current = state(Entry, Now);
    if (Current == TargetState::Out || Current == TargetState::Down)
      continue;
    HasAllowed = true;
    if (Excluded.count(Name) != 0 || Entry.m_InFlight >= limit(Entry))
      continue;
    double Score = score(Entry, Now);
    if (Current == TargetState::Straggling)
      Score *= StragglerPenalty;
    if (Candidates.empty() || Score < BestScore)
      BestScore = Score;
    Candidates.emplace_back(Score, &Entry);
  }
  if (Candidates.empty())
    return HasAllowed ? ErrorKind::TargetsBusy : ErrorKind::NoTarget;
  // Among targets with about equal scores, choose the least recently chosen: a
  // target that gets no requests could never show that it has become faster.
  TargetEntry *Chosen = nullptr;
  for (const auto &[Score, Entry] : Candidates)
    if (Score <= BestScore * EqualScoreFactor &&
        (!Chosen || Entry->m_LastChoice < Chosen->m_LastChoice))
      Chosen = Entry;
  Chosen->m_LastChoice = ++m_ChoiceCount;
  return reserveSlot(*Chosen, Now);
}

std::variant<Reservation, ErrorKind>
TargetBalancer::reserveAt(const std::string &Name, TimePoint Now) {
  const absl::MutexLock Lock(&m_Mutex);
  const auto It = m_Entries.find(Name);
  if (It == m_Entries.end())
    return ErrorKind::OwnerUnknown;
  TargetEntry &Entry = It->second;
  if (Now < Entry.m_DownUntil)
    return ErrorKind::OwnerUnknown;
  if (Entry.m_InFlight >= limit(Entry))
    return ErrorKind::TargetsBusy;
  return reserveSlot(Entry, Now);
}

bool TargetBalancer::isWarming() const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  return std::any_of(m_Entries.begin(), m_Entries.end(),
                     [this](const auto &Entry) {
                       m_Mutex.AssertReaderHeld();
                       return !isOut(Entry.second) && !isWarm(Entry.second);
                     });
}

bool TargetBalancer::mayStillSend(const std::string &Name) const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  const auto It = m_Entries.find(Name);
  return It != m_Entries.end() && !isOut(It->second);
}

void TargetBalancer::resetWarmUp(TargetEntry &Entry, TimePoint Now) {
  Entry.m_WarmUpLimit = m_Pool.policy().m_ColdLimit;
  Entry.m_AdaptiveLimit = fullLimit(Entry);
  Entry.m_StepStartedAt = Now;
  Entry.m_StepAnswers = 0;
}

void TargetBalancer::noteColdStart(TargetEntry &Entry, TimePoint Now) {
  resetWarmUp(Entry, Now);
  ++Entry.m_ColdCount;
  Entry.m_InstanceSince = Now;
}

void TargetBalancer::noteInstance(TargetEntry &Entry,
                                  const std::string &Instance, TimePoint Now) {
  if (Instance.empty())
    return;
  Entry.m_ConfirmedAt = Now;
  if (Instance == Entry.m_Instance)
    return;
  Entry.m_Instance = Instance;
  Entry.m_ColdCount = 0;
  Entry.m_InstanceSince = Now;
  resetWarmUp(Entry, Now);
}

void TargetBalancer::advanceWarmUp(TargetEntry &Entry, TimePoint Now) {
  if (isWarm(Entry))
    return;
  if (Entry.m_StepAnswers++ == 0)
    Entry.m_StepStartedAt = std::max(Entry.m_StepStartedAt, Now);
  if (Now - Entry.m_StepStartedAt < m_Pool.policy().m_WarmStep)
    return;
  Entry.m_WarmUpLimit = std::min(Entry.m_WarmUpLimit * 2, fullLimit(Entry));
  Entry.m_StepStartedAt = Now;
  Entry.m_StepAnswers = 0;
}

void TargetBalancer::recordAnswer(TargetEntry &Entry, double LatencyMs,
                                  TimePoint Now) {
  ++Entry.m_Answered;
  Entry.m_ConsecutiveFailures = 0;
  if (Entry.m_BaselineLatencyMs == 0)
    Entry.m_AverageLatencyMs = Entry.m_BaselineLatencyMs = LatencyMs;
  Entry.m_AverageLatencyMs +=
      LatencyWeight * (LatencyMs - Entry.m_AverageLatencyMs);
  // Bound outliers, as they say little about the baseline latency.
  const double Bounded =
      std::min(LatencyMs, StragglerFactor * std::max(Entry.m_BaselineLatencyMs,
                                                     MinLatencyMs));
  Entry.m_BaselineLatencyMs +=
      BaselineWeight * (Bounded - Entry.m_BaselineLatencyMs);
  Entry.m_LatencyUpdatedAt = Now;
  const bool IsCongested =
      LatencyMs > CongestionFactor * Entry.m_BaselineLatencyMs &&
      LatencyMs > MinStragglerMs;
  if (!IsCongested) {
    Entry.m_AdaptiveLimit = std::min<double>(
        fullLimit(Entry),
        Entry.m_AdaptiveLimit + 1.0 / std::max(1.0, Entry.m_AdaptiveLimit));
    advanceWarmUp(Entry, Now);
    return;
  }
  // Decrease once per round trip, as all requests in flight waited in the same
  // queue.
  if (toMilliseconds(Now - Entry.m_LastDecreaseAt) < LatencyMs)
    return;
  Entry.m_LastDecreaseAt = Now;
  Entry.m_AdaptiveLimit =
      std::max(1.0, Entry.m_AdaptiveLimit * CongestionDecrease);
  Entry.m_StepStartedAt = Now;
}

void TargetBalancer::recordFailure(TargetEntry &Entry,
                                   const AttemptResult &Result, TimePoint Now) {
  if (Result.m_Error == ErrorKind::TargetRefused) {
    if (Result.m_Refusal == "cold" && isWarm(Entry))
      noteColdStart(Entry, Now);
    else if (Result.m_Refusal == "cold")
      resetWarmUp(Entry, Now);
    else if (Result.m_Refusal == "shed")
      Entry.m_AdaptiveLimit =
          std::max(1.0, Entry.m_AdaptiveLimit * CongestionDecrease);
    Entry.m_StepStartedAt = Now;
    return;
  }
  if (Result.m_Error != ErrorKind::ConnectFailed &&
      Result.m_Error != ErrorKind::AnswerLost)
    return;
  ++Entry.m_ConsecutiveFailures;
  const bool IsRefused = Result.m_Error == ErrorKind::ConnectFailed;
  if (!IsRefused && Entry.m_ConsecutiveFailures < FailuresUntilDown)
    return;
  // A target that returns after an outage has most likely been restarted.
  noteColdStart(Entry, Now);
  const int Doublings = std::min(Entry.m_ConsecutiveFailures - 1, 4);
  Entry.m_DownUntil =
      Now + std::min(InitialBackoff * (1 << Doublings), MaxBackoff);
}

void TargetBalancer::finish(const Reservation &Reserved,
                            const AttemptResult &Result, TimePoint Now) {
  const absl::MutexLock Lock(&m_Mutex);
  const auto It = m_Entries.find(Reserved.m_Target.m_Name);
  if (It == m_Entries.end())
    return;
  TargetEntry &Entry = It->second;
  --Entry.m_InFlight;
  const auto Started = Entry.m_StartTimes.find(Reserved.m_StartedAt);
  if (Started != Entry.m_StartTimes.end())
    Entry.m_StartTimes.erase(Started);
  noteInstance(Entry, Result.m_Instance, Now);
  if (Result.isAnswered())
    recordAnswer(Entry, toMilliseconds(Now - Reserved.m_StartedAt), Now);
  else
    recordFailure(Entry, Result, Now);
}

std::vector<TargetWarmth> TargetBalancer::warmth(TimePoint Now) const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  std::vector<TargetWarmth> Result;
  for (const auto &[Name, Entry] : m_Entries)
    if (!Entry.m_Instance.empty())
      Result.push_back({m_Pool.name(), Name, Entry.m_Instance,
                        Entry.m_ColdCount, isWarm(Entry),
                        std::chrono::duration_cast<Milliseconds>(
                            Now - Entry.m_InstanceSince)});
  return Result;
}

void TargetBalancer::learnWarmth(const TargetWarmth &Update, TimePoint Now) {
  const absl::MutexLock Lock(&m_Mutex);
  const auto It = m_Entries.find(Update.m_Target);
  if (It == m_Entries.end())
    return;
  TargetEntry &Entry = It->second;
  const bool IsSameProcess = Entry.m_Instance == Update.m_Instance;
  const bool IsSeenLater =
      Entry.m_Instance.empty() || Now - Update.m_Age > Entry.m_ConfirmedAt;
  if (IsSameProcess ? Update.m_ColdCount < Entry.m_ColdCount : !IsSeenLater)
    return;
  if (!IsSameProcess || Update.m_ColdCount > Entry.m_ColdCount) {
    Entry.m_Instance = Update.m_Instance;
    Entry.m_ColdCount = Update.m_ColdCount;
    Entry.m_InstanceSince = Now - Update.m_Age;
    resetWarmUp(Entry, Now);
  }
  if (Update.m_Warm)
    Entry.m_WarmUpLimit = fullLimit(Entry);
}

std::vector<TargetReport> TargetBalancer::report(TimePoint Now) const {
  const absl::ReaderMutexLock Lock(&m_Mutex);
  std::vector<TargetReport> Result;
  for (const auto &[Name, Entry] : m_Entries)
    Result.push_back({Name, Entry.m_Target.m_FailureDomain, state(Entry, Now),
                      Entry.m_InFlight, limit(Entry), Entry.m_Answered,
                      Entry.m_AverageLatencyMs});
  return Result;
}

} // namespace monsoon
