#ifndef MONSOON_KEYOWNER_RANGEPLANNER_H
#define MONSOON_KEYOWNER_RANGEPLANNER_H

#include "keyowner/keyload.h"
#include "keyowner/keytable.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace monsoon {

/// A range of keys that is to change its owner.
struct PlannedMove {
  KeyRange m_Keys;
  /// Empty if the keys have no owner yet.
  std::string m_From;
  std::string m_To;

  friend bool operator==(const PlannedMove &A, const PlannedMove &B) {
    return std::tie(A.m_Keys, A.m_From, A.m_To) ==
           std::tie(B.m_Keys, B.m_From, B.m_To);
  }
};

/// State from which moves are planned.
struct PlanInput {
  const KeyTable *m_Table = nullptr;
  /// Relative capacity of each target that may own keys.
  std::map<std::string, double> m_Capacity;
  /// Fences of the assignments that have lost their owner or have to leave it.
  std::set<uint64_t> m_Orphaned;
  /// Receivers of the assignments that are moving already, by fence; empty if
  /// the receiver is not decided.
  std::map<uint64_t, std::string> m_Moving;
  const KeyLoad *m_Load = nullptr;
  /// Load per unit of capacity from which a target counts as overloaded.
  double m_OverloadThreshold = 0;
};

/// Decides which keys move. Keys without an owner are spread over the least
/// loaded targets, and a target without keys gets some. If neither is needed,
/// overloaded targets give away the edge of a range, the one with the most load
/// per key, since the cost of a move grows with the number of its keys.
class RangePlanner {
public:
  /// Returns the initial assignment: ranges of equal width, in the order of the
  /// target IDs, so that every host plans the same.
  static std::vector<PlannedMove>
  initial(const std::map<std::string, double> &Capacity);

  /// Returns the moves to start now; empty if none is needed or possible.
  static std::vector<PlannedMove> plan(const PlanInput &Input);
};

} // namespace monsoon

#endif
