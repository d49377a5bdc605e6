#ifndef MONSOON_PORTS_GRANTCHANNEL_H
#define MONSOON_PORTS_GRANTCHANNEL_H

#include "core/targetinfo.h"

#include <cstdint>
#include <functional>
#include <string>

namespace monsoon {

/// Keys from the first to the last one, both included.
struct KeyRange {
  uint32_t m_First = 0;
  uint32_t m_Last = 0;

  uint32_t width() const { return m_Last - m_First + 1; }
  bool contains(uint32_t Key) const { return m_First <= Key && Key <= m_Last; }

  friend bool operator==(const KeyRange &A, const KeyRange &B) {
    return A.m_First == B.m_First && A.m_Last == B.m_Last;
  }
  friend bool operator!=(const KeyRange &A, const KeyRange &B) {
    return !(A == B);
  }
};

/// An order by which a target may run requests on keys for a time.
struct GrantOrder {
  KeyRange m_Keys;
  uint64_t m_Fence = 0;
  /// Counts from the arrival of the order.
  Milliseconds m_Hold{0};
  /// What the former owner gave at its release; empty if there is none.
  std::string m_Handover;
};

/// How an order to a target ended.
enum class OrderResult {
  Accepted,
  /// The target has seen a higher fence on some of the keys.
  Fenced,
  /// The target refused the order as wrong.
  Rejected,
  /// Another target has the address, so that the one meant is gone.
  OtherTarget,
  /// The target can't have got the order.
  Unreachable,
  /// No answer came; the order may be carried out, also later.
  Unanswered
};

/// Orders about keys, to targets.
class GrantChannel {
public:
  using GrantDone = std::function<void(OrderResult)>;
  /// The handover is empty unless the release was accepted.
  using ReleaseDone = std::function<void(OrderResult, std::string Handover)>;

  virtual ~GrantChannel() = default;

  /// Longest time after which an order without an answer has arrived or never
  /// will.
  virtual Milliseconds grantTimeout() const = 0;

  virtual void grant(const TargetInfo &To, const GrantOrder &Order,
                     GrantDone Done) = 0;

  /// Is answered when the work on these keys has ended.
  virtual void release(const TargetInfo &From, const KeyRange &Keys,
                       uint64_t Fence, ReleaseDone Done) = 0;
};

} // namespace monsoon

#endif
