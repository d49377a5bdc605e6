#ifndef MONSOON_MONSOONCTL_CONTROLSETTINGS_H
#define MONSOON_MONSOONCTL_CONTROLSETTINGS_H

#include "core/outcome.h"
#include "core/settings.h"

#include <string>
#include <vector>

namespace monsoon {

/// The settings of monsoonctl: the addresses of the log and the entry hosts.
struct ControlSettings {
  /// The address of the log.
  Endpoint m_Log;
  /// The admin addresses of the entry hosts.
  std::vector<PeerSettings> m_Hosts;
};

/// Reads the settings from a JSON file. Fails with SettingsInvalid, whose
/// message lists all faults.
Outcome<ControlSettings> loadControlSettings(const std::string &Path);

} // namespace monsoon

#endif
