#ifndef MONSOON_CODEC_GATEWAYSETTINGSCODEC_H
#define MONSOON_CODEC_GATEWAYSETTINGSCODEC_H

#include "core/gatewaysettings.h"
#include "core/outcome.h"

namespace monsoon {

/// Reads the settings file of an entry host on a platform. The error lists all
/// faults with the file, the field, the value found and the values allowed.
Outcome<GatewaySettings> loadGatewaySettings(const std::string &Path);

} // namespace monsoon

#endif
