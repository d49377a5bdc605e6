#ifndef MONSOON_KEYOWNER_KEYLOAD_H
#define MONSOON_KEYOWNER_KEYLOAD_H

#include "keyowner/keytable.h"

#include <vector>

namespace monsoon {

/// Requests per key and second, with old ones fading out. Correct from the
/// first second on, although what has faded by then is missing.
class KeyLoad {
public:
  KeyLoad();

  void note(uint32_t Key, uint32_t Count = 1);
  /// Lets what was noted fade; called once a second.
  void fade();

  double of(uint32_t Key) const { return m_ByKey[Key] * m_Completion; }
  double of(const KeyRange &Keys) const;
  double total() const { return m_Total * m_Completion; }

private:
  bool isUnused() const { return m_Total <= 0; }

  std::vector<float> m_ByKey;
  double m_Total = 0;
  /// Makes up for the seconds before the first request was noted.
  double m_Completion = 1;
  /// What a steady rate has added up to since then, relative to its end value.
  double m_Reached = 0;
};

} // namespace monsoon

#endif
