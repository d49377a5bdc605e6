#ifndef MONSOON_CODEC_GATEWAYSETTINGSCODEC_H
#define MONSOON_CODEC_GATEWAYSETTINGSCODEC_H

#include "core/gatewaysettings.h"
#include "core/outcome.h"

namespace monsoon {

/// Reads the settings of an entry host on a platform. The error names every
/// fault with file, field, what was found and what is allowed.
Outcome<GatewaySettings> loadGatewaySettings(const std::string &Path);

} // namespace monsoon

#endif
