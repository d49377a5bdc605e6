#ifndef MONSOON_MEMBERSHIP_TARGETDIRECTORY_H
#define MONSOON_MEMBERSHIP_TARGETDIRECTORY_H

#include "core/targetinfo.h"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace monsoon {

/// The targets that are registered in the membership topic. Entries of targets
/// expire during an outage of the log. If at least a third is missing after a
/// gap of more than 2.5 s between reads, missing entries are kept for 2.2 s, in
/// which live targets register again. If fewer are missing, only this host was
/// cut off, and they are dropped at once. Draining targets are never kept.
///
/// After a restoration of the log, missing entries are kept for the same 2.2 s,
/// however few they are, and entries that are older than what was known have no
/// effect.
class TargetDirectory {
public:
  /// Applies a written entry. Returns true if it changes more than a heartbeat
  /// does, so that peers need it.
  bool applyEntry(TimePoint Now, const TargetInfo &Entry);
  /// Applies the removal of an entry.
  void applyRemoval(TimePoint Now, const std::string &Id);
  /// States that the membership was completely known at this time.
  void noteUpToDate(TimePoint Now);
  /// States that the entries applied next were restored from an older copy.
  void noteRestored(TimePoint Now);

  /// Drops missing entries whose grace period has expired. Returns true if
  /// something has changed since the last call.
  bool update(TimePoint Now);

  const TargetMap &targets() const { return m_Targets; }

private:
  TargetMap m_Targets;
  /// Expiry of the entries that were removed around an outage.
  std::map<std::string, TimePoint> m_MissingUntil;
  /// Draining targets that were known before the log was restored and have
  /// written no entry since.
  std::set<std::string> m_LeavingBeforeRestore;
  /// The newest incarnation and heartbeat number seen of each target; older
  /// entries may arrive late and are ignored.
  std::map<std::string, std::pair<int64_t, int64_t>> m_Newest;
  TimePoint m_LastUpToDate{};
  TimePoint m_GraceExpiry{};
  /// True after a gap until the next update() decides whether the missing
  /// entries are kept.
  bool m_IsGapUnclassified = false;
  bool m_HasChanged = false;
};

} // namespace monsoon

#endif
