#ifndef MONSOON_PORTS_HOSTLIST_H
#define MONSOON_PORTS_HOSTLIST_H

#include "core/outcome.h"

#include <set>
#include <string>

namespace monsoon {

/// The platform's list of hosts. It is stale and may be wrong, so it is only a
/// hint: a host listed as leaving gets no new work, but no host is considered
/// gone because of the list.
class HostList {
public:
  virtual ~HostList() = default;

  /// Reads the names of the targets that are about to leave.
  virtual Outcome<std::set<std::string>> leaving() = 0;
};

} // namespace monsoon

#endif
