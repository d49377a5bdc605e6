#include "keyowner/keyload.h"

namespace monsoon {

namespace {

/// Fraction of the rate that is left after one second without requests.
constexpr float RetainedPerSecond = 0.75F;
/// Rates below this, in requests a second, are set to zero.
constexpr float NegligibleRate = 0.002F;

} // namespace

KeyLoad::KeyLoad() : m_ByKey(KeyCount, 0.0F) {}

void KeyLoad::addRequests(uint32_t Key, uint32_t Count) {
  if (isUnused()) {
    m_AccumulatedFraction = 1 - RetainedPerSecond;
    m_StartupCorrection = 1 / m_AccumulatedFraction;
  }
  const float Rate = static_cast<float>(Count) * (1 - RetainedPerSecond);
  m_ByKey[Key] += Rate;
  m_Total += Rate;
}

void KeyLoad::decay() {
  m_Total = 0;
  for (float &Each : m_ByKey) {
    Each = Each < NegligibleRate ? 0 : Each * RetainedPerSecond;
    m_Total += Each;
  }
  m_AccumulatedFraction = 1 - (1 - m_AccumulatedFraction) * RetainedPerSecond;
  m_StartupCorrection =
      m_AccumulatedFraction > 0 ? 1 / m_AccumulatedFraction : 1;
}

double KeyLoad::rateOf(const KeyRange &Keys) const {
  double Sum = 0;
  for (uint32_t Key = Keys.m_First; Key <= Keys.m_Last; ++Key)
    Sum += m_ByKey[Key];
  return Sum * m_StartupCorrection;
}

} // namespace monsoon
