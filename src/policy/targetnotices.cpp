#include "policy/targetnotices.h"

#include <iterator>

namespace monsoon {

namespace {

/// How long a notice is repeated in the reports to peers, which come several
/// times a second and may be lost.
constexpr std::chrono::seconds ReportTime{1};
/// An entry can be missing for as long as the log is away.
constexpr std::chrono::minutes UnknownLifetime{5};

} // namespace

TargetNotices::Notice *TargetNotices::prepare(TimePoint Now,
                                              const std::string &Id,
                                              int64_t Incarnation) {
  Notice &Known = m_Notices[Id];
  if (Known.m_Incarnation > Incarnation)
    return nullptr;
  if (Known.m_Incarnation < Incarnation) {
    Known = Notice();
    Known.m_Incarnation = Incarnation;
  }
  Known.m_LastNoticeAt = Now;
  return &Known;
}

const TargetNotices::Notice *TargetNotices::find(const std::string &Id,
                                                 int64_t Incarnation) const {
  const auto Found = m_Notices.find(Id);
  const bool IsFound =
      Found != m_Notices.end() && Found->second.m_Incarnation == Incarnation;
  return IsFound ? &Found->second : nullptr;
}

bool TargetNotices::noteLeaving(TimePoint Now, const std::string &Id,
                                int64_t Incarnation, bool FromPeer) {
  Notice *Known = prepare(Now, Id, Incarnation);
  if (!Known || Known->m_LeavingSince)
    return false;
  Known->m_LeavingSince = Now;
  Known->m_IsFromPeer = FromPeer;
  return true;
}

std::optional<TimePoint>
TargetNotices::leavingSince(const std::string &Id, int64_t Incarnation) const {
  const Notice *Known = find(Id, Incarnation);
  return Known ? Known->m_LeavingSince : std::nullopt;
}

std::map<std::string, int64_t>
TargetNotices::leavingToReport(TimePoint Now) const {
  std::map<std::string, int64_t> Result;
  for (const auto &[Id, Each] : m_Notices)
    if (Each.m_LeavingSince && !Each.m_IsFromPeer &&
        Now - *Each.m_LeavingSince < ReportTime)
      Result.emplace(Id, Each.m_Incarnation);
  return Result;
}

bool TargetNotices::noteLimit(TimePoint Now, const std::string &Id,
                              int64_t Incarnation,
                              std::optional<double> PerSecond,
                              TimePoint SentAt) {
  if (!PerSecond) {
    const Notice *Known = find(Id, Incarnation);
    if (!Known || !Known->m_Limit || SentAt < Known->m_LimitNamedAt)
      return false;
  }
  Notice *Known = prepare(Now, Id, Incarnation);
  if (!Known)
    return false;
  if (PerSecond)
    Known->m_LimitNamedAt = Now;
  if (Known->m_Limit == PerSecond)
    return false;
  Known->m_Limit = PerSecond;
  return true;
}

std::optional<double> TargetNotices::limitOf(const std::string &Id,
                                             int64_t Incarnation) const {
  const Notice *Known = find(Id, Incarnation);
  return Known ? Known->m_Limit : std::nullopt;
}

void TargetNotices::forgetUnknown(
    TimePoint Now, const std::function<bool(const std::string &Id)> &IsKnown) {
  for (auto It = m_Notices.begin(); It != m_Notices.end();) {
    const bool IsOld = Now - It->second.m_LastNoticeAt > UnknownLifetime;
    It = IsOld && !IsKnown(It->first) ? m_Notices.erase(It) : std::next(It);
  }
}

} // namespace monsoon
