#ifndef MONSOON_CODEC_TABLECODEC_H
#define MONSOON_CODEC_TABLECODEC_H

#include "core/outcome.h"
#include "core/tables.h"

#include <json/value.h>

#include <string>

namespace monsoon {

/// Decodes the tables from `{"routes": [...], "pools": [...]}`. Fails with
/// TableInvalid; the message lists all faults, one per line, each of which
/// begins with Source. Only the format is validated here; checkTables() checks
/// the consistency between routes and pools.
Outcome<Tables> decodeTables(const Json::Value &Value,
                             const std::string &Source);

/// The inverse of decodeTables().
Json::Value encodeTables(const Tables &Value);

/// Reads routes.json and pools.json and validates format and consistency. Fails
/// with TableInvalid; the message lists the faults, one per line.
Outcome<Tables> loadTables(const std::string &RoutesPath,
                           const std::string &PoolsPath);

} // namespace monsoon

#endif
