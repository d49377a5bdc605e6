#ifndef MONSOON_POLICY_TARGETCHOOSER_H
#define MONSOON_POLICY_TARGETCHOOSER_H

#include "policy/targetload.h"

#include <vector>

namespace monsoon {

/// A target among which a choice is made.
struct Candidate {
  const TargetLoad *m_Load = nullptr;
  bool m_SameDomain = true;
  /// False while a cold target may get no further request.
  bool m_PaceAllows = true;
  /// True if the request was sent there before.
  bool m_TriedBefore = false;
  /// From 0 to 1, different for each host and target.
  double m_Reserve = 0;
};

/// Chooses the target of a request whose pool has no owners: the one that is
/// expected to answer first. Answers stragglers, targets of different speeds
/// and targets that fail in part.
class TargetChooser {
public:
  /// DistanceFactor multiplies the expected time of a target in another
  /// failure domain.
  explicit TargetChooser(double DistanceFactor)
      : m_DistanceFactor(DistanceFactor) {}

  /// The factor for requests that carry so many bytes both ways. Traffic
  /// between failure domains is paid for, and for long answers it is worth more
  /// than the work itself.
  static double distanceFactor(double Bytes);

  /// True when a target takes one more request without queueing it for long.
  static bool hasRoom(const TargetLoad &Load, TimePoint Now);

  /// The index of the best candidate with room, or -1. A target that was tried
  /// before is taken only if MayRepeat is set and no other one has room.
  int choose(const std::vector<Candidate> &Candidates, TimePoint Now,
             Duration Usual, bool MayRepeat) const;

private:
  double m_DistanceFactor;
};

} // namespace monsoon

#endif
