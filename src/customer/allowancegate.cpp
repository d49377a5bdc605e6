#include "customer/allowancegate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoon {

namespace {

/// Fraction of a limit, in addition to it, of which each host without reported
/// demand may use an equal part.
constexpr double EqualFraction = 0.08;
/// Fraction of the burst that is shared out. The rest absorbs what the hosts
/// pass on beyond the limit while their reports are on their way.
constexpr double SharedBurst = 0.5;
/// Time constant of the moving average of the arrivals. That of a small
/// customer is as long as its limit needs for AveragedRequests, up to a bound,
/// since an average of few requests varies too much to divide a limit by.
constexpr double MinAverageSeconds = 0.8;
constexpr double MaxAverageSeconds = 4;
constexpr double AveragedRequests = 50;
/// Time after which a report, at intervals of 200 ms and relayed at intervals
/// of 400 ms, has reached nearly all hosts.
constexpr Milliseconds ReportDelay{600};
/// Least fraction of the peers whose reports must be known.
constexpr double MinCoverage = 0.5;
/// Time for which a host that hears of fewer peers keeps its share. The peers
/// count its last report for CustomerDemandLifetime, which is longer.
constexpr Milliseconds ShareLifetime{4500};
/// A demand below this fraction of the limit needs no limiting. The rest is for
/// demand below the equal parts, which is not reported.
constexpr double UncriticalFraction = 0.85;
/// Requests beyond the share that may still have to be deducted from it: what
/// the limit allows in this time.
constexpr double MaxDebtSeconds = 0.35;
constexpr double MinDebt = 1;
/// Single requests that hosts without demand may pass on together, in addition
/// to the part of the burst that is shared out.
constexpr int SingleRequests = 10;
/// Limit of the names and counts in a report, which has to fit in a datagram.
/// Customers beyond it keep their equal parts.
constexpr size_t MaxReportedBytes = 16 << 10;
/// Bytes of a count and of the text around it and the name.
constexpr size_t ReportedRowBytes = 16;
/// Bounds of the time that a refused request is told to wait.
constexpr Milliseconds MinRetryAfter{50};
constexpr Milliseconds MaxRetryAfter{2000};
/// A host that has just started knows the others soon.
constexpr Milliseconds UnknownHostsRetryAfter{300};

double averageSeconds(const Allowance &Limit) {
  return std::clamp(AveragedRequests / Limit.m_PerSecond, MinAverageSeconds,
                    MaxAverageSeconds);
}

double secondsBetween(TimePoint From, TimePoint To) {
  return std::chrono::duration<double>(To - From).count();
}

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

void AllowanceGate::setCustomers(TimePoint Now,
                                 const CustomerTablePtr &Customers) {
  for (auto It = m_States.begin(); It != m_States.end();) {
    const Customer *Known =
        Customers ? Customers->findByName(It->first) : nullptr;
    const bool IsLimited = Known && Known->m_Allowance.isLimited();
    It = IsLimited ? std::next(It) : m_States.erase(It);
  }
  if (!Customers)
    return;
  for (const Customer &Each : Customers->customers()) {
    if (!Each.m_Allowance.isLimited())
      continue;
    State &Of = m_States[Each.m_Name];
    if (Of.m_Allowance == Each.m_Allowance)
      continue;
    // What the former limit had left is not valid under a lower one.
    if (Of.m_Allowance.isLimited())
      refill(Of, Now);
    Of.m_Allowance = Each.m_Allowance;
    Of.m_TokensAt = Now;
    rank(Each.m_Name, Of);
  }
}

void AllowanceGate::setHosts(TimePoint Now, const HostShare &Hosts) {
  if (m_HostShare && *m_HostShare == Hosts)
    return;
  for (auto &[Name, Of] : m_States)
    refill(Of, Now);
  if (!m_HostShare)
    m_KnownSince = Now;
  m_HostShare = Hosts;
  m_Hosts = Hosts.hosts();
  for (auto &[Name, Of] : m_States)
    rank(Name, Of);
}

void AllowanceGate::rank(const std::string &Name, State &Of) const {
  const int Total =
      SingleRequests +
      static_cast<int>(std::min(1e6, SharedBurst * Of.m_Allowance.m_Burst));
  Of.m_IsRanked = m_HostShare && m_HostShare->of(Total, Name) > 0;
}

void AllowanceGate::setPeerDemand(TimePoint Now, const DemandCounts &Demand,
                                  double Coverage) {
  const double Span = std::chrono::duration<double>(DemandSpan).count();
  for (auto &[Name, Of] : m_States) {
    // The tokens until now follow from the former shares.
    refill(Of, Now);
    const auto Found = Demand.find(Name);
    Of.m_PeerDemand =
        Found == Demand.end() ? 0 : std::max(0, Found->second) / Span;
  }
  m_Coverage = Coverage;
  if (!hearsPeers())
    return;
  m_HeardAt = Now;
  for (auto &[Name, Of] : m_States)
    Of.m_LastShare = shareOf(Of, Now);
}

DemandCounts AllowanceGate::demandToReport(TimePoint Now) {
  const double Span = std::chrono::duration<double>(DemandSpan).count();
  DemandCounts Result;
  size_t BytesLeft = MaxReportedBytes;
  if (m_Hosts == 0)
    return Result;
  for (auto &[Name, Of] : m_States) {
    const double Demand = demandAt(Of, Now);
    const double EqualPart = EqualFraction * Of.m_Allowance.m_PerSecond /
                             static_cast<double>(m_Hosts);
    const size_t Bytes = Name.size() + ReportedRowBytes;
    const double Told = Demand > EqualPart && Bytes <= BytesLeft ? Demand : 0;
    if (Told > 0) {
      BytesLeft -= Bytes;
      Result.emplace(Name, static_cast<int>(std::ceil(Told * Span)));
    }
    Of.m_Reports.push_back({Now, Told});
    // Keeps one report that all hosts have by now.
    while (Of.m_Reports.size() > 1 && Of.m_Reports[1].m_At + ReportDelay <= Now)
      Of.m_Reports.pop_front();
  }
  return Result;
}

AllowanceDecision AllowanceGate::admit(TimePoint Now, const Customer &Sender) {
  const auto Found = m_States.find(Sender.m_Name);
  if (!Sender.m_Allowance.isLimited() || Found == m_States.end())
    return {};
  State &Of = Found->second;
  refill(Of, Now);
  Of.m_Demand = demandAt(Of, Now) + 1 / averageSeconds(Of.m_Allowance);
  Of.m_DemandAt = Now;
  const double MaxDebt =
      std::max(MinDebt, MaxDebtSeconds * Of.m_Allowance.m_PerSecond);
  if (Of.m_Tokens >= 1 ||
      (Of.m_Tokens > -MaxDebt && isFarBelowLimit(Of, Now))) {
    Of.m_Tokens -= 1;
    ++Of.m_Admitted;
    return {};
  }
  ++Of.m_Refused;
  if (m_Hosts == 0)
    return {false, UnknownHostsRetryAfter};
  // Each refused request is promised the next token after those promised to
  // others, so that they do not come back together.
  const double PerSecond =
      std::max(1e-3, shareOf(Of, Now) * Of.m_Allowance.m_PerSecond);
  const TimePoint FirstToken = Now + toDuration((1 - Of.m_Tokens) / PerSecond);
  Of.m_PromisedUntil = std::clamp<TimePoint>(
      std::max(FirstToken, Of.m_PromisedUntil + toDuration(1 / PerSecond)),
      Now + MinRetryAfter, Now + MaxRetryAfter);
  return {false, Of.m_PromisedUntil - Now};
}

void AllowanceGate::giveBack(TimePoint Now, const Customer &Sender) {
  const auto Found = m_States.find(Sender.m_Name);
  if (Found == m_States.end())
    return;
  refill(Found->second, Now);
  Found->second.m_Tokens += 1;
}

std::vector<AllowanceUse> AllowanceGate::use(TimePoint Now) const {
  std::vector<AllowanceUse> Result;
  for (const auto &[Name, Of] : m_States)
    if (Of.m_Admitted + Of.m_Refused > 0)
      Result.push_back({Name, Of.m_Admitted, Of.m_Refused,
                        shareOf(Of, Now) * Of.m_Allowance.m_PerSecond});
  return Result;
}

double AllowanceGate::demandAt(const State &Of, TimePoint Now) {
  return Of.m_Demand * std::exp(-secondsBetween(Of.m_DemandAt, Now) /
                                averageSeconds(Of.m_Allowance));
}

double AllowanceGate::knownDemand(const State &Of, TimePoint Now) {
  // The front is the last report that all have; later ones are on their way.
  if (Of.m_Reports.empty() || Of.m_Reports.front().m_At + ReportDelay > Now)
    return 0;
  return Of.m_Reports.front().m_PerSecond;
}

bool AllowanceGate::hearsPeers() const { return m_Coverage > MinCoverage; }

double AllowanceGate::shareOf(const State &Of, TimePoint Now) const {
  if (m_Hosts == 0)
    return 0;
  if (m_Hosts == 1)
    return 1;
  const double EqualPart = EqualFraction / static_cast<double>(m_Hosts);
  if (!hearsPeers()) {
    if (m_HeardAt == TimePoint{} && Now - m_KnownSince < ShareLifetime)
      return 1 / static_cast<double>(m_Hosts);
    return Now - m_HeardAt < ShareLifetime ? Of.m_LastShare : EqualPart;
  }
  const double Own = knownDemand(Of, Now);
  const double Total = Own + Of.m_PeerDemand;
  if (Total <= 0)
    return 1 / static_cast<double>(m_Hosts);
  return std::max(EqualPart, Own / Total);
}

bool AllowanceGate::isFarBelowLimit(const State &Of, TimePoint Now) const {
  if (m_Hosts == 0 || (m_Hosts > 1 && !hearsPeers()))
    return false;
  return demandAt(Of, Now) + Of.m_PeerDemand <
         UncriticalFraction * Of.m_Allowance.m_PerSecond;
}

void AllowanceGate::refill(State &Of, TimePoint Now) const {
  const double Share = shareOf(Of, Now);
  const double Burst = SharedBurst * Share * Of.m_Allowance.m_Burst;
  double PerSecond = Share * Of.m_Allowance.m_PerSecond;
  // Demand that all know of, and that fits in the limit, leaves no debt.
  if (isFarBelowLimit(Of, Now))
    PerSecond = std::max(PerSecond, knownDemand(Of, Now));
  const double Gained =
      PerSecond * std::max(0.0, secondsBetween(Of.m_TokensAt, Now));
  // A share of less than one request still lets single requests pass where the
  // customer has demand. With all hosts that have none, these would add up.
  const bool PassesSingle =
      m_Hosts > 0 && (Of.m_IsRanked || knownDemand(Of, Now) > 0);
  const double Capacity = PassesSingle ? std::max(1.0, Burst) : Burst;
  Of.m_Tokens = std::min(Capacity, Of.m_Tokens + Gained);
  Of.m_TokensAt = std::max(Of.m_TokensAt, Now);
}

} // namespace monsoon
