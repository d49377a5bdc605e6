#ifndef MONSOON_KEYOWNER_KEYLOAD_H
#define MONSOON_KEYOWNER_KEYLOAD_H

#include "keyowner/keytable.h"

#include <vector>

namespace monsoon {

/// Exponentially decaying average of the request rate of each key, in requests
/// a second. Corrected for the start-up phase, so that rates are right from the
/// first second on.
class KeyLoad {
public:
  KeyLoad();

  /// Counts requests for a key below KeyCount.
  void addRequests(uint32_t Key, uint32_t Count = 1);
  /// Applies one second of decay. Has to be called once a second.
  void decay();

  /// Returns the rate of one key.
  double rateOf(uint32_t Key) const {
    return m_ByKey[Key] * m_StartupCorrection;
  }
  /// Returns the sum of the rates of a range of keys.
  double rateOf(const KeyRange &Keys) const;
  /// Returns the sum of the rates of all keys.
  double totalRate() const { return m_Total * m_StartupCorrection; }

private:
  bool isUnused() const { return m_Total <= 0; }

  std::vector<float> m_ByKey;
  double m_Total = 0;
  /// Factor that corrects for the seconds before the first request; the
  /// inverse of m_AccumulatedFraction.
  double m_StartupCorrection = 1;
  /// Sum that a steady rate has reached since the first request, relative to
  /// its final value.
  double m_AccumulatedFraction = 0;
};

} // namespace monsoon

#endif
