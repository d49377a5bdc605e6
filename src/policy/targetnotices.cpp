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

bool TargetNotices::noteLeaving(TimePoint Now, const std::string &Id,
                                int64_t Incarnation, bool FromPeer) {
  Notice &Known = m_Notices[Id];
  const bool IsNew =
      Known.m_LeavingSince == TimePoint{} || Known.m_Incarnation < Incarnation;
  if (IsNew)
    Known = {Incarnation, Now, FromPeer};
  return IsNew;
}

std::optional<TimePoint>
TargetNotices::leavingSince(const std::string &Id, int64_t Incarnation) const {
  const auto Found = m_Notices.find(Id);
  if (Found == m_Notices.end() || Found->second.m_Incarnation != Incarnation)
    return std::nullopt;
  return Found->second.m_LeavingSince;
}

std::map<std::string, int64_t>
TargetNotices::leavingToReport(TimePoint Now) const {
  std::map<std::string, int64_t> Result;
  for (const auto &[Id, Each] : m_Notices)
    if (!Each.m_IsFromPeer && Now - Each.m_LeavingSince < ReportTime)
      Result.emplace(Id, Each.m_Incarnation);
  return Result;
}

void TargetNotices::forgetUnknown(
    TimePoint Now, const std::function<bool(const std::string &Id)> &IsKnown) {
  for (auto It = m_Notices.begin(); It != m_Notices.end();) {
    const bool IsOld = Now - It->second.m_LeavingSince > UnknownLifetime;
    It = IsOld && !IsKnown(It->first) ? m_Notices.erase(It) : std::next(It);
  }
}

} // namespace monsoon
