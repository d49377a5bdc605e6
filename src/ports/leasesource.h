#ifndef MONSOON_PORTS_LEASESOURCE_H
#define MONSOON_PORTS_LEASESOURCE_H

#include "core/timepoint.h"

#include <string>

namespace monsoon {

/// Rights that one host at a time has by lease. A lease may be given to another
/// host before its end; whoever relies on it has to bear an overlap of
/// longestLease().
class LeaseSource {
public:
  virtual ~LeaseSource() = default;

  /// Until when this host holds the lease of that name; in the past if it does
  /// not.
  virtual TimePoint heldUntil(const std::string &Name) const = 0;

  /// When the leases were last confirmed.
  virtual TimePoint confirmedAt() const = 0;

  virtual Milliseconds longestLease() const = 0;
};

} // namespace monsoon

#endif
