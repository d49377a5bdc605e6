#ifndef MONSOON_KEYOWNER_KEYTABLE_H
#define MONSOON_KEYOWNER_KEYTABLE_H

#include "ports/grantchannel.h"

#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace monsoon {

/// Number of keys of a pool whose targets own keys.
inline constexpr uint32_t KeyCount = 65'536;

/// Keys with their owner.
struct OwnedRange {
  KeyRange m_Keys;
  std::string m_Owner;
  /// The life of the owner to which the keys were assigned.
  int64_t m_Incarnation = 0;
  /// Above every fence under which another target had one of the keys. Unique
  /// within a pool, so it also names the assignment.
  uint64_t m_Fence = 0;

  friend bool operator==(const OwnedRange &A, const OwnedRange &B) {
    return std::tie(A.m_Keys, A.m_Owner, A.m_Incarnation, A.m_Fence) ==
           std::tie(B.m_Keys, B.m_Owner, B.m_Incarnation, B.m_Fence);
  }
};

/// Which target owns which keys of a pool, as agreed on in the log. Immutable;
/// a change makes a new table.
class KeyTable {
public:
  class Builder;

  KeyTable() = default;

  /// Ranges in the order of their keys, without overlap.
  const std::vector<OwnedRange> &ranges() const { return m_Ranges; }
  /// The next fence that may be given out.
  uint64_t nextFence() const { return m_NextFence; }

  /// The range of a key, or null when nobody owns it.
  const OwnedRange *find(uint32_t Key) const;

  friend bool operator==(const KeyTable &A, const KeyTable &B) {
    return std::tie(A.m_NextFence, A.m_Ranges) ==
           std::tie(B.m_NextFence, B.m_Ranges);
  }

private:
  uint64_t m_NextFence = 1;
  std::vector<OwnedRange> m_Ranges;
};

/// Builds a KeyTable, mostly from an earlier one.
class KeyTable::Builder {
public:
  Builder() = default;
  explicit Builder(KeyTable From) : m_Table(std::move(From)) {}

  /// Gives keys to a target under a fence of their own; ranges that overlap
  /// are cut.
  Builder &assign(const KeyRange &Keys, const std::string &Owner,
                  int64_t Incarnation);
  /// Gives every range a new fence.
  Builder &renewFences();
  /// Takes the place of all ranges that have keys in common with these.
  Builder &replace(const std::vector<OwnedRange> &Ranges);
  /// Adds a range as it was recorded.
  Builder &addRecorded(OwnedRange Range);
  Builder &nextFence(uint64_t Value);
  KeyTable build();

private:
  KeyTable m_Table;
};

using KeyTablePtr = std::shared_ptr<const KeyTable>;

/// The right of one host to decide about a pool's keys for a time.
struct OwnerLease {
  /// Empty after a resignation.
  std::string m_Holder;
  /// Rises with each change of the holder.
  uint64_t m_Term = 0;

  friend bool operator==(const OwnerLease &A, const OwnerLease &B) {
    return std::tie(A.m_Holder, A.m_Term) == std::tie(B.m_Holder, B.m_Term);
  }
};

} // namespace monsoon

#endif
