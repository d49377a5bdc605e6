#include "policy/coldpace.h"

#include <algorithm>

namespace monsoon {

bool ColdPace::maySend(TimePoint Now, double PerSecond, const HostShare &Share,
                       const std::string &TargetId) const {
  // Whole requests a second are dealt out, so that with more hosts than
  // requests some hosts send none.
  const int Total = std::max(1, static_cast<int>(PerSecond));
  const int Own = Share.of(Total, TargetId);
  if (Own <= 0)
    return false;
  return m_Last == TimePoint{} ||
         Now - m_Last >= Duration(std::chrono::seconds(1)) / Own;
}

} // namespace monsoon
