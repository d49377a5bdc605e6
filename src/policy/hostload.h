#ifndef MONSOON_POLICY_HOSTLOAD_H
#define MONSOON_POLICY_HOSTLOAD_H

#include "core/timepoint.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace monsoon {

/// How much of its work an entry host can do in time.
enum class HostLoadLevel {
  Normal,
  /// Refuses part of the new requests, those of the lowest priority first.
  Shedding,
  /// Also asks the balancer for no new connections, if its peers can do without
  /// it.
  Full
};

/// Name of a level in logs and metrics.
const char *hostLoadLevelName(HostLoadLevel Level);

/// Measures whether this host keeps up, by the lateness of its event loop, and
/// decides which new requests it refuses.
///
/// Answers the load of a small host that gets several times what its processor
/// can handle, as the balancer divides callers and not work: without shedding
/// all requests are late, new connections are not accepted in time, and leases,
/// grants and gossip fall behind. Refusing costs a fraction of serving, and a
/// refused caller reaches another host next time. The admitted fraction falls
/// while the loop is late and recovers while it is not.
class HostLoad {
public:
  /// The periodic tick ran now; it is due once per Interval.
  void noteTick(TimePoint Now, Duration Interval);

  /// Time by which the loop is, or has just been, behind.
  Duration lateness(TimePoint Now) const;
  HostLoadLevel level() const { return m_Level; }
  /// Fraction of the new requests that is admitted.
  double admittedFraction() const { return m_Admitted; }

  /// Counts a new request, admitted or not.
  void noteArrival(int Priority);
  /// True if a new request may be handled. The hash spreads the decisions over
  /// the requests of one priority; 0 is the highest priority.
  bool admits(int Priority, uint64_t RequestHash) const;
  /// When a refused request may come back; another host is likely to get it.
  static Milliseconds retryAfter(uint64_t RequestHash);

private:
  size_t rankOf(int Priority) const;
  void updateLevel(TimePoint Now);

  TimePoint m_LastTick{};
  Duration m_Interval{};
  Duration m_LastLateness{};
  double m_Admitted = 1;
  /// Recent arrivals by priority; the last counts all lower ones.
  std::array<double, 3> m_Arrivals{};
  TimePoint m_ReducedAt{};
  /// Since when the lowest fraction has been admitted.
  TimePoint m_LowestSince{};
  HostLoadLevel m_Level = HostLoadLevel::Normal;
  TimePoint m_LevelAt{};
};

} // namespace monsoon

#endif
