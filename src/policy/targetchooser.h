#ifndef MONSOON_POLICY_TARGETCHOOSER_H
#define MONSOON_POLICY_TARGETCHOOSER_H

#include "policy/targetload.h"

#include <vector>

namespace monsoon {

/// A target that may be chosen for a request.
struct Candidate {
  const TargetLoad *m_Load = nullptr;
  /// True if the target is in the failure domain of this host.
  bool m_IsSameDomain = true;
  /// False while the pacing of a cold target allows no further request.
  bool m_PaceAllows = true;
  /// True if the request was sent to this target before.
  bool m_WasTried = false;
  /// From 0 to 1, different for each pair of host and target. Raises the
  /// expected time, so that hosts with the same knowledge choose differently.
  double m_Bias = 0;
};

/// Chooses the target of a request whose pool has no owners: the one with the
/// shortest expected time to answer. Accounts for stragglers, targets of
/// different speeds and targets that fail part of their requests.
class TargetChooser {
public:
  /// CrossDomainFactor multiplies the expected time of a target in another
  /// failure domain.
  explicit TargetChooser(double CrossDomainFactor)
      : m_CrossDomainFactor(CrossDomainFactor) {}

  /// The factor for requests that carry this many bytes in both directions
  /// together. Traffic between failure domains is charged for; for long
  /// answers it costs more than the work itself.
  static double crossDomainFactor(double Bytes);

  /// True if a target can take one more request without queueing it for long.
  static bool hasCapacity(const TargetLoad &Load, TimePoint Now);

  /// Returns the index of the best candidate with capacity, or -1. Usual is the
  /// time of such work on a machine of reference speed. A target that was tried
  /// before is chosen only if MayRepeat is set and no other has capacity.
  int choose(const std::vector<Candidate> &Candidates, TimePoint Now,
             Duration Usual, bool MayRepeat) const;

private:
  double m_CrossDomainFactor;
};

} // namespace monsoon

#endif
