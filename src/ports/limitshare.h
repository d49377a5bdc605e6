#ifndef MONSOON_PORTS_LIMITSHARE_H
#define MONSOON_PORTS_LIMITSHARE_H

#include "core/timepoint.h"

namespace monsoon {

/// This host's part of limits on sliding windows that all entry hosts share.
class LimitShare {
public:
  virtual ~LimitShare() = default;

  /// Returns the part (0 to 1) that this host may use of a limit on windows of
  /// that length. The parts of all hosts that spend in the same window add up
  /// to 1 at most; 0 if this host can't be sure of any.
  virtual double windowShare(Duration Window) const = 0;

  /// Returns the part (0 to 1) of the hosts whose processes started within the
  /// last Window; 1 if that is not known.
  virtual double newHosts(Duration Window) const = 0;
};

} // namespace monsoon

#endif
