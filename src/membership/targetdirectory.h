#ifndef MONSOON_MEMBERSHIP_TARGETDIRECTORY_H
#define MONSOON_MEMBERSHIP_TARGETDIRECTORY_H

#include "core/targetinfo.h"

#include <map>
#include <string>
#include <utility>

namespace monsoon {

/// The targets that the membership names. When many entries vanish while the
/// log is away, they are kept for a while after its return, since live targets
/// enter themselves again. A few that are missing are gone: then it was this
/// host that was away.
class TargetDirectory {
public:
  /// An entry was written. True when it tells more than that the target lives.
  bool noteEntry(TimePoint Now, const TargetInfo &Entry);
  /// An entry was removed.
  void noteRemoved(TimePoint Now, const std::string &Id);
  /// The membership was known whole at this moment.
  void noteContact(TimePoint Now);

  /// Drops lapsed entries whose time is over; true if something changed since
  /// the last call.
  bool update(TimePoint Now);

  const TargetMap &targets() const { return m_Targets; }

private:
  TargetMap m_Targets;
  /// Entries that were removed around an outage, and until when they count.
  std::map<std::string, TimePoint> m_Lapsed;
  /// The newest life and heartbeat of each target ever seen; older entries may
  /// turn up late.
  std::map<std::string, std::pair<int64_t, int64_t>> m_Newest;
  TimePoint m_LastContact{};
  TimePoint m_GraceEnd{};
  /// Whether lapsed entries are kept is decided once after each gap.
  bool m_GapUnjudged = false;
  bool m_Changed = false;
};

} // namespace monsoon

#endif
