#ifndef MONSOON_CUSTOMER_KEYDIGEST_H
#define MONSOON_CUSTOMER_KEYDIGEST_H

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

namespace monsoon {

/// Keyed hash of a customer's key: HMAC-SHA-256 under a secret that is drawn at
/// random when the process starts. Digests can be compared within one process
/// and say nothing about the key outside of it.
class KeyDigest {
public:
  static KeyDigest of(std::string_view Key);

  friend bool operator==(const KeyDigest &A, const KeyDigest &B) {
    return A.m_Bytes == B.m_Bytes;
  }
  friend bool operator!=(const KeyDigest &A, const KeyDigest &B) {
    return !(A == B);
  }
  template <typename State>
  friend State AbslHashValue(State Hash, const KeyDigest &Value) { // NOLINT
    return State::combine(std::move(Hash), Value.m_Bytes);
  }

private:
  static constexpr size_t Size = 32;
  std::array<uint8_t, Size> m_Bytes{};
};

} // namespace monsoon

#endif
