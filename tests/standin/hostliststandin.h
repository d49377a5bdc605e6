#ifndef MONSOON_TESTS_STANDIN_HOSTLISTSTANDIN_H
#define MONSOON_TESTS_STANDIN_HOSTLISTSTANDIN_H

#include "absl/synchronization/mutex.h"

#include <httplib.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace monsoon {

/// Stands in for the platform's host list. `POST /hosts` with `name`, `state`
/// and `lag_ms` changes an entry; readers see the change after `lag_ms`.
class HostListStandIn {
public:
  /// Handles `/hosts`; returns false for any other path.
  bool handle(const httplib::Request &Request, httplib::Response &Response);

private:
  struct Change {
    std::string m_Name;
    std::string m_State;
    std::chrono::steady_clock::time_point m_VisibleAt;
  };

  absl::Mutex m_Mutex;
  std::vector<Change> m_PendingChanges ABSL_GUARDED_BY(m_Mutex);
  std::map<std::string, std::string> m_Hosts ABSL_GUARDED_BY(m_Mutex);
};

} // namespace monsoon

#endif
