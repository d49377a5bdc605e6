#ifndef MONSOON_KEYOWNER_KEYLOAD_H
#define MONSOON_KEYOWNER_KEYLOAD_H

#include "keyowner/keytable.h"

#include <vector>

namespace monsoon {

/// Requests per key and second, with old ones fading out.
class KeyLoad {
public:
  KeyLoad();

  void note(uint32_t Key, uint32_t Count = 1);
  /// Lets what was noted fade; called once a second.
  void fade();

  double of(uint32_t Key) const { return m_ByKey[Key]; }
  double of(const KeyRange &Keys) const;
  double total() const { return m_Total; }

private:
  std::vector<float> m_ByKey;
  double m_Total = 0;
};

} // namespace monsoon

#endif
