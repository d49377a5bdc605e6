#ifndef MONSOON_CODEC_HOSTREPORTCODEC_H
#define MONSOON_CODEC_HOSTREPORTCODEC_H

#include "core/hostreport.h"
#include "core/outcome.h"

namespace monsoon {

/// Encodes a report as JSON with short field names, since it is sent several
/// times per second.
std::string encodeHostReport(const HostReport &Report);
/// Decodes a report; RecordUnreadable if it is malformed.
Outcome<HostReport> decodeHostReport(const std::string &Text);

} // namespace monsoon

#endif
