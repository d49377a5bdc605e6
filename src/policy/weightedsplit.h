#ifndef MONSOON_POLICY_WEIGHTEDSPLIT_H
#define MONSOON_POLICY_WEIGHTEDSPLIT_H

#include "core/tables.h"

#include <string>
#include <vector>

namespace monsoon {

/// Divides the requests of a route among pools by weight, as evenly over time
/// as possible (smooth weighted round robin).
class WeightedSplit {
public:
  /// Start selects the number of steps to skip; hosts pass different values so
  /// that their first choices differ.
  WeightedSplit(std::vector<PoolWeight> Parts, uint64_t Start);

  /// Returns the pool of the next request.
  const std::string &next();
  const std::vector<PoolWeight> &parts() const { return m_Parts; }

private:
  std::vector<PoolWeight> m_Parts;
  /// Current weight of each part.
  std::vector<double> m_Current;
  double m_TotalWeight = 0;
};

} // namespace monsoon

#endif
