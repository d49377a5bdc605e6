#ifndef MONSOON_CORE_TARGETINFO_H
#define MONSOON_CORE_TARGETINFO_H

#include "core/settings.h"
#include "core/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace monsoon {

/// What a target says of itself in the membership.
struct TargetInfo {
  std::string m_Id;
  std::string m_Pool;
  Endpoint m_Address;
  std::string m_FailureDomain;
  /// Requests that it runs at the same time.
  int m_Slots = 1;
  /// True when it is leaving and takes no new work.
  bool m_Draining = false;
  /// How much longer it stays cold, at the time of the entry.
  Milliseconds m_WarmupLeft{0};
  /// Distinguishes the lives of a target that starts again under its id.
  int64_t m_Incarnation = 0;
  /// Counts the heartbeats of one life.
  int64_t m_Sequence = 0;

  auto tie() const {
    return std::tie(m_Id, m_Pool, m_Address, m_FailureDomain, m_Slots,
                    m_Draining, m_WarmupLeft, m_Incarnation, m_Sequence);
  }
  friend bool operator==(const TargetInfo &A, const TargetInfo &B) {
    return A.tie() == B.tie();
  }

  /// True for the same life of the same target.
  bool isSameLife(const TargetInfo &Other) const {
    return m_Id == Other.m_Id && m_Incarnation == Other.m_Incarnation &&
           m_Address == Other.m_Address && m_Pool == Other.m_Pool;
  }
};

/// The members by id.
using TargetMap = std::map<std::string, TargetInfo>;

/// What a target reported of its load with an answer.
struct LoadReport {
  int m_Running = 0;
  int m_Waiting = 0;
  int m_Slots = 0;
  /// How long work takes on its machine just now; 1 means as usual.
  double m_Slowdown = 1;

  friend bool operator==(const LoadReport &A, const LoadReport &B) {
    return std::tie(A.m_Running, A.m_Waiting, A.m_Slots, A.m_Slowdown) ==
           std::tie(B.m_Running, B.m_Waiting, B.m_Slots, B.m_Slowdown);
  }
};

} // namespace monsoon

#endif
