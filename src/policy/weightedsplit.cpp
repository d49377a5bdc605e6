#include "policy/weightedsplit.h"

#include <utility>

namespace monsoon {

WeightedSplit::WeightedSplit(std::vector<PoolWeight> Parts, uint64_t Start)
    : m_Parts(std::move(Parts)), m_Credit(m_Parts.size(), 0) {
  for (const PoolWeight &Each : m_Parts)
    m_Total += Each.m_Weight;
  if (m_Total <= 0)
    return;
  for (uint64_t Step = Start % static_cast<uint64_t>(m_Total); Step > 0; --Step)
    next();
}

const std::string &WeightedSplit::next() {
  size_t Best = 0;
  for (size_t Index = 0; Index < m_Parts.size(); ++Index) {
    m_Credit[Index] += m_Parts[Index].m_Weight;
    if (m_Credit[Index] > m_Credit[Best])
      Best = Index;
  }
  m_Credit[Best] -= m_Total;
  return m_Parts[Best].m_Pool;
}

} // namespace monsoon
