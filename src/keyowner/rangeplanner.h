#ifndef MONSOON_KEYOWNER_RANGEPLANNER_H
#define MONSOON_KEYOWNER_RANGEPLANNER_H

#include "keyowner/keyload.h"
#include "keyowner/keytable.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// Keys that are to change their owner.
struct PlannedMove {
  KeyRange m_Keys;
  /// Empty when nobody owns the keys yet.
  std::string m_From;
  std::string m_To;

  friend bool operator==(const PlannedMove &A, const PlannedMove &B) {
    return std::tie(A.m_Keys, A.m_From, A.m_To) ==
           std::tie(B.m_Keys, B.m_From, B.m_To);
  }
};

/// What a plan starts from.
struct PlanInput {
  const KeyTable *m_Table = nullptr;
  /// How much work each target that may own keys can do, relative to others.
  std::map<std::string, double> m_Capacity;
  /// Assignments, by fence, that have lost their owner or are to leave it.
  std::set<uint64_t> m_Orphaned;
  /// Assignments, by fence, that are moving already and to whom.
  std::map<uint64_t, std::string> m_Moving;
  const KeyLoad *m_Load = nullptr;
  /// Load per unit of capacity from which a target counts as crowded.
  double m_CrowdedLoad = 0;
};

/// Decides which keys move. Keys without an owner are spread over the least
/// loaded targets; a target without keys gets some; a crowded target gives
/// away the edge of a range, the densest one first, since moves are paid for
/// by the number of keys.
class RangePlanner {
public:
  /// The first table: equal parts in an order that is the same everywhere.
  static std::vector<PlannedMove>
  initial(const std::map<std::string, double> &Capacity);

  static std::vector<PlannedMove> plan(const PlanInput &Input);
};

} // namespace monsoon

#endif
