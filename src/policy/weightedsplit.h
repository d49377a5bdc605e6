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
  /// Start spreads the first choices of different hosts.
  WeightedSplit(std::vector<PoolWeight> Parts, uint64_t Start);

  const std::string &next();
  const std::vector<PoolWeight> &parts() const { return m_Parts; }

private:
  std::vector<PoolWeight> m_Parts;
  std::vector<int64_t> m_Credit;
  int64_t m_Total = 0;
};

} // namespace monsoon

#endif
