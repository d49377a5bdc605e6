#ifndef MONSOON_CORE_KEYSPACE_H
#define MONSOON_CORE_KEYSPACE_H

#include <cstdint>
#include <string_view>

namespace monsoon {

/// Index of a range of the hashed key space of a pool.
using RangeId = uint32_t;

/// Hash of a key or name. The same in all processes, versions and machines,
/// since entry hosts have to agree on it.
uint64_t stableHash(std::string_view Text);

/// Combines two hashes into one, for rendezvous hashing.
uint64_t mixHash(uint64_t A, uint64_t B);

/// The range that contains a key when the hashed key space is divided into
/// RangeCount equal ranges.
RangeId rangeOfKey(std::string_view Key, uint32_t RangeCount);

} // namespace monsoon

#endif
