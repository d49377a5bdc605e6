#ifndef MONSOON_CODEC_JSONTEXT_H
#define MONSOON_CODEC_JSONTEXT_H

#include "core/outcome.h"
#include "core/timepoint.h"

#include <json/value.h>

#include <string>

namespace monsoon {

/// Parses JSON, which may contain comments. An error has the given kind and
/// names the source and the line.
Outcome<Json::Value> parseJson(const std::string &Text,
                               const std::string &Source, ErrorKind Kind);

/// Reads and parses a file. Errors name its path.
Outcome<Json::Value> parseJsonFile(const std::string &Path, ErrorKind Kind);

/// A time in milliseconds, with a fraction only if it has one.
Json::Value encodeMilliseconds(Duration Value);

/// Serializes a value in one line.
std::string writeJson(const Json::Value &Value);

/// Serializes a value with indentation, for human readers.
std::string writePrettyJson(const Json::Value &Value);

} // namespace monsoon

#endif
