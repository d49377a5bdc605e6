#ifndef MONSOON_CODEC_RECORDCODEC_H
#define MONSOON_CODEC_RECORDCODEC_H

#include "core/configlog.h"
#include "core/ownershiplog.h"

#include <string>

namespace monsoon {

/// Encoding of the log's records. Every record is a JSON object with `kind` and
/// `format`. A record of an unknown kind or a later format decodes to
/// UnknownRecord, so that an older version of the program can skip it; so does
/// a record that cannot be parsed or has a field of the wrong type. A publish
/// record whose tables are malformed or inconsistent decodes to one without
/// tables, a configuration snapshot with such tables to UnknownRecord.
std::string encodeRecord(const ConfigRecord &Record);
ConfigRecord decodeConfigRecord(const std::string &Data);

std::string encodeRecord(const OwnershipRecord &Record);
OwnershipRecord decodeOwnershipRecord(const std::string &Data);

} // namespace monsoon

#endif
