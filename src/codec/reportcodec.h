#ifndef MONSOON_CODEC_REPORTCODEC_H
#define MONSOON_CODEC_REPORTCODEC_H

#include "core/errorkind.h"
#include "core/groupnode.h"
#include "core/targetbalancer.h"

#include <json/value.h>

#include <string>

namespace monsoon {

/// Encodes the body of an error response: the error kind, whether the request
/// was executed, whether it may be resent, a description of the cause, and the
/// request ID.
Json::Value encodeError(ErrorKind Kind, const std::string &Detail,
                        const std::string &RequestId);

/// Encodes the entry of one pool's ownership group in the operators' status
/// report.
Json::Value encodeReport(const GroupReport &Report);
/// Encodes the entry of one target in the operators' status report.
Json::Value encodeReport(const TargetReport &Report);

} // namespace monsoon

#endif
