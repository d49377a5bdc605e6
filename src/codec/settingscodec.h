#ifndef MONSOON_CODEC_SETTINGSCODEC_H
#define MONSOON_CODEC_SETTINGSCODEC_H

#include "codec/jsonreader.h"
#include "core/outcome.h"
#include "core/settings.h"

#include <string>

namespace monsoon {

/// Reads and validates the settings file of an entry host. Fails with
/// SettingsInvalid; the message lists all faults of the file, one per line.
Outcome<Settings> loadSettings(const std::string &Path);

/// Reads the required object Field, which has `host` and `port`. Problems are
/// added to Faults.
Endpoint readEndpoint(JsonReader &Outer, const std::string &Field,
                      JsonFaults &Faults);

/// Reads the optional array Field, whose objects have a `name` and, in
/// AddressField, an endpoint. Problems are added to Faults.
std::vector<PeerSettings> readPeers(JsonReader &Outer, const std::string &Field,
                                    const std::string &AddressField,
                                    JsonFaults &Faults);

} // namespace monsoon

#endif
