#include "membership/targetdirectory.h"

#include <utility>

namespace monsoon {

namespace {

/// Reads that are this far apart mean that the log was away; one lost call
/// does not.
constexpr Milliseconds OutageGap{2500};
/// Live targets are back in the membership within this time of the log's
/// return (platform's statement: about two seconds).
constexpr Milliseconds ReentryTime{2200};
/// Fewer than one in so many missing entries don't make an outage.
constexpr size_t FewPart = 3;

} // namespace

void TargetDirectory::noteContact(TimePoint Now) {
  if (Now <= m_LastContact)
    return;
  if (m_LastContact != TimePoint{} && Now - m_LastContact > OutageGap) {
    m_GraceEnd = Now + ReentryTime;
    m_GapUnjudged = true;
  }
  m_LastContact = Now;
}

bool TargetDirectory::noteEntry(TimePoint /*Now*/, const TargetInfo &Entry) {
  const std::pair<int64_t, int64_t> Age{Entry.m_Incarnation, Entry.m_Sequence};
  const auto Newest = m_Newest.find(Entry.m_Id);
  if (Newest != m_Newest.end() && Age < Newest->second)
    return false;
  m_Newest[Entry.m_Id] = Age;
  const bool WasLapsed = m_Lapsed.erase(Entry.m_Id) > 0;
  TargetInfo &Known = m_Targets[Entry.m_Id];
  if (Known == Entry)
    return WasLapsed;
  // The time for which it stays cold runs down by itself.
  TargetInfo SameBeat = Known;
  SameBeat.m_Sequence = Entry.m_Sequence;
  SameBeat.m_WarmupLeft = Entry.m_WarmupLeft;
  const bool Tells = WasLapsed || !(SameBeat == Entry) ||
                     Entry.m_WarmupLeft > Known.m_WarmupLeft;
  Known = Entry;
  m_Changed = true;
  return Tells;
}

void TargetDirectory::noteRemoved(TimePoint Now, const std::string &Id) {
  const auto Known = m_Targets.find(Id);
  if (Known == m_Targets.end())
    return;
  // A target that had announced its leaving has left.
  if (Now < m_GraceEnd && !Known->second.m_Draining) {
    m_Lapsed.emplace(Id, m_GraceEnd);
    return;
  }
  m_Targets.erase(Known);
  m_Lapsed.erase(Id);
  m_Changed = true;
}

bool TargetDirectory::update(TimePoint Now) {
  if (std::exchange(m_GapUnjudged, false) &&
      m_Lapsed.size() * FewPart < m_Targets.size()) {
    m_GraceEnd = Now;
    for (auto &[Id, Until] : m_Lapsed)
      Until = Now;
  }
  for (auto It = m_Lapsed.begin(); It != m_Lapsed.end();) {
    if (Now < It->second) {
      ++It;
      continue;
    }
    m_Targets.erase(It->first);
    m_Changed = true;
    It = m_Lapsed.erase(It);
  }
  return std::exchange(m_Changed, false);
}

} // namespace monsoon
