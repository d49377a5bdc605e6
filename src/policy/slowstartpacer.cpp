#include "policy/slowstartpacer.h"

#include <algorithm>

namespace monsoon {

bool SlowStartPacer::maySend(TimePoint Now, double PerSecond,
                             const HostShare &Share,
                             const std::string &TargetId) const {
  // The limit is divided in whole requests per second; if there are more hosts
  // than requests, some hosts get none.
  const int Total = std::max(1, static_cast<int>(PerSecond));
  const int Own = Share.of(Total, TargetId);
  if (Own <= 0)
    return false;
  return m_LastSent == TimePoint{} ||
         Now - m_LastSent >= Duration(std::chrono::seconds(1)) / Own;
}

} // namespace monsoon
