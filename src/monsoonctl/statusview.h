#ifndef MONSOON_MONSOONCTL_STATUSVIEW_H
#define MONSOON_MONSOONCTL_STATUSVIEW_H

#include "core/outcome.h"
#include "monsoonctl/controlsettings.h"

#include <json/value.h>

#include <string>
#include <vector>

namespace monsoon {

/// The status of one entry host, or why it could not be fetched.
struct HostStatus {
  std::string m_Name;
  Outcome<Json::Value> m_Status;
};

/// Fetches the status of every entry host, one after the other.
std::vector<HostStatus> fetchStatus(const ControlSettings &Settings);

/// Formats one line per host: its config version, whether it can read the log,
/// the age of its view of the log, and how many hosts it hears. Indented lines
/// follow for the groups that it decides.
std::string renderStatus(const std::vector<HostStatus> &Hosts);

/// Formats one line per host and target: state, requests in flight, limit,
/// answered requests and latency.
std::string renderTargets(const std::vector<HostStatus> &Hosts);

} // namespace monsoon

#endif
