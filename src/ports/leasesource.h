#ifndef MONSOON_PORTS_LEASESOURCE_H
#define MONSOON_PORTS_LEASESOURCE_H

#include "core/timepoint.h"

#include <string>

namespace monsoon {

/// Named leases, each held by one host. A lease may be reassigned to another
/// host before it expires, so its users must tolerate two holders for up to
/// longestLease().
class LeaseSource {
public:
  virtual ~LeaseSource() = default;

  /// Expiry of the lease Name on this host's clock; in the past if this host
  /// does not hold it.
  virtual TimePoint heldUntil(const std::string &Name) const = 0;

  /// Start of the last renewal of the leases that succeeded.
  virtual TimePoint confirmedAt() const = 0;

  /// Longest time from a renewal to the expiry of a lease.
  virtual Milliseconds longestLease() const = 0;
};

} // namespace monsoon

#endif
