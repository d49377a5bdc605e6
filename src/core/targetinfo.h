#ifndef MONSOON_CORE_TARGETINFO_H
#define MONSOON_CORE_TARGETINFO_H

#include "core/settings.h"
#include "core/timepoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

namespace monsoon {

/// What a target publishes about itself in the membership.
struct TargetInfo {
  std::string m_Id;
  std::string m_Pool;
  Endpoint m_Address;
  std::string m_FailureDomain;
  /// Requests that it runs concurrently.
  int m_Slots = 1;
  /// True when it is about to leave and accepts no new work.
  bool m_Draining = false;
  /// Remaining warm-up time when the entry was written.
  Duration m_WarmupLeft = Milliseconds(0);
  /// Tells apart the incarnations of a target that restarts under the same id.
  int64_t m_Incarnation = 0;
  /// Number of the heartbeat within one incarnation.
  int64_t m_Sequence = 0;

  auto tie() const {
    return std::tie(m_Id, m_Pool, m_Address, m_FailureDomain, m_Slots,
                    m_Draining, m_WarmupLeft, m_Incarnation, m_Sequence);
  }
  friend bool operator==(const TargetInfo &A, const TargetInfo &B) {
    return A.tie() == B.tie();
  }

  /// True if both describe the same incarnation at the same address.
  bool isSameIncarnation(const TargetInfo &Other) const {
    return m_Id == Other.m_Id && m_Incarnation == Other.m_Incarnation &&
           m_Address == Other.m_Address && m_Pool == Other.m_Pool;
  }
};

/// The targets in the membership, by id.
using TargetMap = std::map<std::string, TargetInfo>;

/// Load that a target reports with a response.
struct LoadReport {
  int m_Running = 0;
  int m_Waiting = 0;
  int m_Slots = 0;
  /// Current duration of work on its machine relative to the usual; 1 means
  /// normal speed.
  double m_Slowdown = 1;

  friend bool operator==(const LoadReport &A, const LoadReport &B) {
    return std::tie(A.m_Running, A.m_Waiting, A.m_Slots, A.m_Slowdown) ==
           std::tie(B.m_Running, B.m_Waiting, B.m_Slots, B.m_Slowdown);
  }
};

} // namespace monsoon

#endif
