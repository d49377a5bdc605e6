#include "core/keyspace.h"

namespace monsoon {

namespace {

/// Finalizer of SplitMix64: each input bit affects all output bits.
uint64_t finalizeHash(uint64_t Value) {
  Value ^= Value >> 30;
  Value *= 0xbf58476d1ce4e5b9ULL;
  Value ^= Value >> 27;
  Value *= 0x94d049bb133111ebULL;
  Value ^= Value >> 31;
  return Value;
}

} // namespace

uint64_t stableHash(std::string_view Text) {
  uint64_t Hash = 0xcbf29ce484222325ULL; // FNV-1a
  for (const char Each : Text) {
    Hash ^= static_cast<unsigned char>(Each);
    Hash *= 0x100000001b3ULL;
  }
  return finalizeHash(Hash);
}

uint64_t mixHash(uint64_t A, uint64_t B) {
  return finalizeHash(A ^ (B * 0x9e3779b97f4a7c15ULL));
}

RangeId rangeOfKey(std::string_view Key, uint32_t RangeCount) {
  const unsigned __int128 Product =
      static_cast<unsigned __int128>(stableHash(Key)) * RangeCount;
  return static_cast<RangeId>(Product >> 64);
}

} // namespace monsoon
