#include "membership/targetdirectory.h"

#include <utility>

namespace monsoon {

namespace {

/// Minimum time between two reads that counts as an outage of the log; a single
/// failed call causes a shorter gap.
constexpr Milliseconds OutageGap{2500};
/// Live targets register again within this time after the log is readable
/// again (stated by the platform: about two seconds).
constexpr Milliseconds ReentryTime{2200};
/// If fewer than one in this many entries are missing, the log had no outage.
constexpr size_t OutageDivisor = 3;

} // namespace

void TargetDirectory::noteUpToDate(TimePoint Now) {
  if (Now <= m_LastUpToDate)
    return;
  if (m_LastUpToDate != TimePoint{} && Now - m_LastUpToDate > OutageGap) {
    m_GraceExpiry = Now + ReentryTime;
    m_IsGapUnclassified = true;
  }
  m_LastUpToDate = Now;
}

void TargetDirectory::noteRestored(TimePoint Now) {
  m_GraceExpiry = Now + ReentryTime;
  m_IsGapUnclassified = false;
  m_LeavingBeforeRestore.clear();
  for (const auto &[Id, Info] : m_Targets)
    if (Info.m_Draining)
      m_LeavingBeforeRestore.insert(Id);
}

bool TargetDirectory::applyEntry(TimePoint /*Now*/, const TargetInfo &Entry) {
  const std::pair<int64_t, int64_t> Version{Entry.m_Incarnation,
                                            Entry.m_Sequence};
  const auto Newest = m_Newest.find(Entry.m_Id);
  if (Newest != m_Newest.end() && Version < Newest->second)
    return false;
  // The last entry of a target that is gone can come from a restored log. One
  // that is back writes a newer entry.
  if (Newest != m_Newest.end() && Version == Newest->second &&
      m_Targets.count(Entry.m_Id) == 0)
    return false;
  m_Newest[Entry.m_Id] = Version;
  const bool WasMissing = m_MissingUntil.erase(Entry.m_Id) > 0;
  // Hosts that started since then know only what the restored log says of it.
  const bool IsFirstInEpoch = m_LeavingBeforeRestore.erase(Entry.m_Id) > 0;
  TargetInfo &Known = m_Targets[Entry.m_Id];
  if (Known == Entry)
    return WasMissing;
  // The remaining warm-up time decreases without a change of the target.
  TargetInfo ExceptHeartbeat = Known;
  ExceptHeartbeat.m_Sequence = Entry.m_Sequence;
  ExceptHeartbeat.m_WarmupLeft = Entry.m_WarmupLeft;
  const bool IsUpdate = WasMissing || IsFirstInEpoch ||
                        !(ExceptHeartbeat == Entry) ||
                        Entry.m_WarmupLeft > Known.m_WarmupLeft;
  Known = Entry;
  m_HasChanged = true;
  return IsUpdate;
}

void TargetDirectory::applyRemoval(TimePoint Now, const std::string &Id) {
  const auto Known = m_Targets.find(Id);
  if (Known == m_Targets.end())
    return;
  // A draining target was expected to leave, so it gets no grace period.
  if (Now < m_GraceExpiry && !Known->second.m_Draining) {
    m_MissingUntil.emplace(Id, m_GraceExpiry);
    return;
  }
  m_Targets.erase(Known);
  m_MissingUntil.erase(Id);
  m_HasChanged = true;
}

bool TargetDirectory::update(TimePoint Now) {
  if (std::exchange(m_IsGapUnclassified, false) &&
      m_MissingUntil.size() * OutageDivisor < m_Targets.size()) {
    m_GraceExpiry = Now;
    for (auto &[Id, Until] : m_MissingUntil)
      Until = Now;
  }
  for (auto It = m_MissingUntil.begin(); It != m_MissingUntil.end();) {
    if (Now < It->second) {
      ++It;
      continue;
    }
    m_Targets.erase(It->first);
    m_HasChanged = true;
    It = m_MissingUntil.erase(It);
  }
  return std::exchange(m_HasChanged, false);
}

} // namespace monsoon
