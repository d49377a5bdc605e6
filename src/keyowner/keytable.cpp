#include "keyowner/keytable.h"

#include <algorithm>
#include <utility>

namespace monsoon {

namespace {

bool startsBefore(const OwnedRange &A, const OwnedRange &B) {
  return A.m_Keys.m_First < B.m_Keys.m_First;
}

} // namespace

const OwnedRange *KeyTable::find(uint32_t Key) const {
  const auto After =
      std::upper_bound(m_Ranges.begin(), m_Ranges.end(), Key,
                       [](uint32_t Wanted, const OwnedRange &Each) {
                         return Wanted < Each.m_Keys.m_First;
                       });
  if (After == m_Ranges.begin())
    return nullptr;
  const OwnedRange &Found = *std::prev(After);
  return Found.m_Keys.contains(Key) ? &Found : nullptr;
}

KeyTable::Builder &KeyTable::Builder::assign(const KeyRange &Keys,
                                             const std::string &Owner,
                                             int64_t Incarnation) {
  std::vector<OwnedRange> Result;
  for (const OwnedRange &Each : m_Table.m_Ranges) {
    const KeyRange &Old = Each.m_Keys;
    if (Old.m_Last < Keys.m_First || Old.m_First > Keys.m_Last) {
      Result.push_back(Each);
      continue;
    }
    // The parts left on either side stay with their owner. If both remain, the
    // right one gets a new fence, since a fence identifies one assignment.
    if (Old.m_First < Keys.m_First) {
      OwnedRange Left = Each;
      Left.m_Keys.m_Last = Keys.m_First - 1;
      Result.push_back(std::move(Left));
    }
    if (Old.m_Last > Keys.m_Last) {
      OwnedRange Right = Each;
      Right.m_Keys.m_First = Keys.m_Last + 1;
      if (Old.m_First < Keys.m_First)
        Right.m_Fence = m_Table.m_NextFence++;
      Result.push_back(std::move(Right));
    }
  }
  Result.push_back({Keys, Owner, Incarnation, m_Table.m_NextFence++});
  std::sort(Result.begin(), Result.end(), startsBefore);
  m_Table.m_Ranges = std::move(Result);
  return *this;
}

KeyTable::Builder &KeyTable::Builder::renewFences() {
  for (OwnedRange &Each : m_Table.m_Ranges)
    Each.m_Fence = m_Table.m_NextFence++;
  return *this;
}

KeyTable::Builder &
KeyTable::Builder::replace(const std::vector<OwnedRange> &Ranges) {
  const auto Overlaps = [&Ranges](const OwnedRange &Old) {
    return std::any_of(Ranges.begin(), Ranges.end(),
                       [&Old](const OwnedRange &Each) {
                         return Each.m_Keys.m_First <= Old.m_Keys.m_Last &&
                                Old.m_Keys.m_First <= Each.m_Keys.m_Last;
                       });
  };
  std::vector<OwnedRange> &All = m_Table.m_Ranges;
  All.erase(std::remove_if(All.begin(), All.end(), Overlaps), All.end());
  All.insert(All.end(), Ranges.begin(), Ranges.end());
  std::sort(All.begin(), All.end(), startsBefore);
  return *this;
}

KeyTable::Builder &KeyTable::Builder::addRecorded(OwnedRange Range) {
  m_Table.m_Ranges.push_back(std::move(Range));
  return *this;
}

KeyTable::Builder &KeyTable::Builder::raiseNextFence(uint64_t Value) {
  m_Table.m_NextFence = std::max(m_Table.m_NextFence, Value);
  return *this;
}

KeyTable::Builder &KeyTable::Builder::nextFence(uint64_t Value) {
  m_Table.m_NextFence = Value;
  return *this;
}

KeyTable KeyTable::Builder::build() {
  std::sort(m_Table.m_Ranges.begin(), m_Table.m_Ranges.end(), startsBefore);
  return std::move(m_Table);
}

} // namespace monsoon
