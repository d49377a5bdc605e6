#ifndef MONSOON_PORTS_GRANTCHANNEL_H
#define MONSOON_PORTS_GRANTCHANNEL_H

#include "core/targetinfo.h"

#include <cstdint>
#include <functional>
#include <string>

namespace monsoon {

/// A range of keys; both bounds are included.
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

/// Permission for a target to run requests on a range of keys for a limited
/// time.
struct KeyGrant {
  KeyRange m_Keys;
  /// Fencing token: a target rejects grants with a lower one than it has seen.
  uint64_t m_Fence = 0;
  /// Hold time, counted from the arrival of the grant at the target.
  Duration m_Hold = Milliseconds(0);
  /// Handover text that the previous owner returned with its release; empty if
  /// there is none.
  std::string m_Handover;
};

/// Result of a grant or release sent to a target.
enum class GrantCallResult {
  /// The target carried out the grant or release.
  Accepted,
  /// The target has seen a higher fence on some of the keys.
  Fenced,
  /// The target rejected the grant or release as invalid.
  Rejected,
  /// Another target now has the address; the one addressed is gone.
  Misdirected,
  /// The target cannot have received the grant or release.
  Unreachable,
  /// No conclusive answer; the grant or release may have been carried out or
  /// may still be.
  Unanswered
};

/// Sends grants and releases of key ranges to targets.
class GrantChannel {
public:
  using GrantDone = std::function<void(GrantCallResult)>;
  /// The handover is empty unless the release was accepted.
  using ReleaseDone =
      std::function<void(GrantCallResult, std::string Handover)>;

  virtual ~GrantChannel() = default;

  /// Time after which a grant that got no answer either has arrived or will
  /// never arrive.
  virtual Milliseconds grantTimeout() const = 0;

  /// Sends a grant; Done gets its result.
  virtual void grant(const TargetInfo &To, const KeyGrant &Grant,
                     GrantDone Done) = 0;

  /// Takes keys back from a target. The target answers after its running work
  /// on these keys has ended.
  virtual void release(const TargetInfo &From, const KeyRange &Keys,
                       uint64_t Fence, ReleaseDone Done) = 0;
};

} // namespace monsoon

#endif
