#ifndef MONSOON_CODEC_HOSTREPORTCODEC_H
#define MONSOON_CODEC_HOSTREPORTCODEC_H

#include "core/hostreport.h"
#include "core/outcome.h"

namespace monsoon {

/// Encodes a report as JSON with short field names, since it is sent several
/// times per second.
std::string encodeHostReport(const HostReport &Report);
/// Adds the stamp for one receiver to an encoded report, so that a report is
/// encoded once for all its receivers.
std::string encodeStamped(const std::string &Encoded,
                          const MessageStamp &Stamp);
/// Decodes a report; RecordUnreadable if it is malformed.
Outcome<HostReport> decodeHostReport(const std::string &Text);

} // namespace monsoon

#endif
