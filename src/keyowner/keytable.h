#ifndef MONSOON_KEYOWNER_KEYTABLE_H
#define MONSOON_KEYOWNER_KEYTABLE_H

#include "ports/grantchannel.h"

#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace monsoon {

/// Number of keys of each pool whose targets own keys.
inline constexpr uint32_t KeyCount = 65'536;

/// A range of keys and its owner.
struct OwnedRange {
  KeyRange m_Keys;
  std::string m_Owner;
  /// The incarnation of the owner to which the keys were assigned.
  int64_t m_Incarnation = 0;
  /// Fencing token. Higher than every fence under which another target owned
  /// one of the keys. Unique within a pool, so it also identifies the
  /// assignment.
  uint64_t m_Fence = 0;

  friend bool operator==(const OwnedRange &A, const OwnedRange &B) {
    return std::tie(A.m_Keys, A.m_Owner, A.m_Incarnation, A.m_Fence) ==
           std::tie(B.m_Keys, B.m_Owner, B.m_Incarnation, B.m_Fence);
  }
};

/// Maps the keys of a pool to the targets that own them, as recorded in the
/// log. Immutable; each change creates a new table.
class KeyTable {
public:
  class Builder;

  KeyTable() = default;

  /// Returns the ranges, sorted by key and without overlap.
  const std::vector<OwnedRange> &ranges() const { return m_Ranges; }
  /// Returns the lowest fence that was not assigned yet.
  uint64_t nextFence() const { return m_NextFence; }

  /// Returns the range that contains Key, or null if the key has no owner.
  const OwnedRange *find(uint32_t Key) const;

  friend bool operator==(const KeyTable &A, const KeyTable &B) {
    return std::tie(A.m_NextFence, A.m_Ranges) ==
           std::tie(B.m_NextFence, B.m_Ranges);
  }

private:
  uint64_t m_NextFence = 1;
  std::vector<OwnedRange> m_Ranges;
};

/// Builds a KeyTable, usually from an earlier one.
class KeyTable::Builder {
public:
  Builder() = default;
  explicit Builder(KeyTable From) : m_Table(std::move(From)) {}

  /// Assigns keys to a target under a new fence. Ranges that overlap them are
  /// trimmed or split.
  Builder &assign(const KeyRange &Keys, const std::string &Owner,
                  int64_t Incarnation);
  /// Assigns a new fence to every range.
  Builder &renewFences();
  /// Adds Ranges and removes all earlier ranges that overlap them.
  Builder &replace(const std::vector<OwnedRange> &Ranges);
  /// Adds a decoded range unchanged, with its recorded fence.
  Builder &addRecorded(OwnedRange Range);
  /// Makes the next fences no lower than Value.
  Builder &raiseNextFence(uint64_t Value);
  /// Sets the lowest fence that was not assigned yet.
  Builder &nextFence(uint64_t Value);
  KeyTable build();

private:
  KeyTable m_Table;
};

using KeyTablePtr = std::shared_ptr<const KeyTable>;

/// The lease by which one host at a time may change the owners of a pool's
/// keys.
struct OwnerLease {
  /// Host that holds the lease; empty after it has resigned.
  std::string m_Holder;
  /// Increases with each change of the holder.
  uint64_t m_Term = 0;

  friend bool operator==(const OwnerLease &A, const OwnerLease &B) {
    return std::tie(A.m_Holder, A.m_Term) == std::tie(B.m_Holder, B.m_Term);
  }
};

} // namespace monsoon

#endif
