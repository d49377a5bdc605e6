#ifndef MONSOON_CODEC_HOSTREPORTCODEC_H
#define MONSOON_CODEC_HOSTREPORTCODEC_H

#include "core/hostreport.h"
#include "core/outcome.h"

namespace monsoon {

/// Writes a report as short JSON; it goes out several times a second.
std::string encodeHostReport(const HostReport &Report);
Outcome<HostReport> decodeHostReport(const std::string &Text);

} // namespace monsoon

#endif
