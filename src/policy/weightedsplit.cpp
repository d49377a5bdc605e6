#include "policy/weightedsplit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace monsoon {

namespace {

/// Small weights, such as fractions, have a longer cycle than their sum.
constexpr double MinSkippableSteps = 100;

} // namespace

WeightedSplit::WeightedSplit(std::vector<PoolWeight> Parts, uint64_t Start)
    : m_Parts(std::move(Parts)), m_Current(m_Parts.size(), 0) {
  for (const PoolWeight &Each : m_Parts)
    m_TotalWeight += Each.m_Weight;
  if (m_TotalWeight <= 0)
    return;
  const auto SkippableSteps = static_cast<uint64_t>(
      std::max(MinSkippableSteps, std::ceil(m_TotalWeight)));
  for (uint64_t Step = Start % SkippableSteps; Step > 0; --Step)
    next();
}

const std::string &WeightedSplit::next() {
  size_t Best = 0;
  for (size_t Index = 0; Index < m_Parts.size(); ++Index) {
    m_Current[Index] += m_Parts[Index].m_Weight;
    if (m_Current[Index] > m_Current[Best])
      Best = Index;
  }
  m_Current[Best] -= m_TotalWeight;
  return m_Parts[Best].m_Pool;
}

} // namespace monsoon
