#include "keyowner/keyload.h"

namespace monsoon {

namespace {

/// What is left of the load of a second ago.
constexpr float KeptPerSecond = 0.75F;
/// Below this a key counts as unused.
constexpr float Negligible = 0.002F;

} // namespace

KeyLoad::KeyLoad() : m_ByKey(KeyCount, 0.0F) {}

void KeyLoad::note(uint32_t Key, uint32_t Count) {
  if (isUnused()) {
    m_Reached = 1 - KeptPerSecond;
    m_Completion = 1 / m_Reached;
  }
  const float Rate = static_cast<float>(Count) * (1 - KeptPerSecond);
  m_ByKey[Key] += Rate;
  m_Total += Rate;
}

void KeyLoad::fade() {
  m_Total = 0;
  for (float &Each : m_ByKey) {
    Each = Each < Negligible ? 0 : Each * KeptPerSecond;
    m_Total += Each;
  }
  m_Reached = 1 - (1 - m_Reached) * KeptPerSecond;
  m_Completion = m_Reached > 0 ? 1 / m_Reached : 1;
}

double KeyLoad::of(const KeyRange &Keys) const {
  double Sum = 0;
  for (uint32_t Key = Keys.m_First; Key <= Keys.m_Last; ++Key)
    Sum += m_ByKey[Key];
  return Sum * m_Completion;
}

} // namespace monsoon
