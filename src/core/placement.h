#ifndef MONSOON_CORE_PLACEMENT_H
#define MONSOON_CORE_PLACEMENT_H

#include "core/ownershiplog.h"

#include <map>
#include <string>
#include <vector>

namespace monsoon {

/// Input of placement about one server.
struct PlacementServer {
  std::string m_Name;
  /// True when it may be given ranges: in the table, in a failure domain that
  /// is in, not leaving, reachable.
  bool m_Eligible = false;
  /// True when it provably serves no range any more.
  bool m_Lost = false;
};

/// Limits on the moves of one placement step.
struct PlacementLimits {
  /// Maximum number of moves away from a working owner, either to balance the
  /// load or because the owner leaves.
  int m_PlannedMoves = 8;
  /// False when ranges of lost servers must not move, because too many servers
  /// seem lost at once or the claim was cold.
  bool m_MayMoveLost = true;
};

/// Ranges that change their owner, keyed by the new owner.
using PlacementMoves = std::map<std::string, std::vector<RangeId>>;

/// Decides which ranges move: first those without a working owner, then those
/// of leaving servers, then as few as balance the load. Weights holds the load
/// of each range; when it is empty, all ranges count the same.
PlacementMoves planMoves(const std::vector<RangeOwner> &Owners,
                         const std::vector<double> &Weights,
                         const std::vector<PlacementServer> &Servers,
                         const PlacementLimits &Limits);

} // namespace monsoon

#endif
