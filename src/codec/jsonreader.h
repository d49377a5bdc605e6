#ifndef MONSOON_CODEC_JSONREADER_H
#define MONSOON_CODEC_JSONREADER_H

#include "core/timepoint.h"

#include <json/value.h>

#include <cstdint>
#include <string>
#include <vector>

namespace monsoon {

/// Faults found in one document, one message each.
using JsonFaults = std::vector<std::string>;

/// Reads and validates the fields of one JSON object. Each fault names the
/// location, the value found and the values allowed. After a fault the default
/// value is returned, so that one pass finds all faults of a document.
class JsonReader {
public:
  /// Where names the object, e.g. `pools.json: pools[2]`.
  JsonReader(const Json::Value &Object, std::string Where, JsonFaults &Faults);

  /// Marks a field as known and returns whether it is present.
  bool has(const std::string &Field);

  /// A required non-empty string.
  std::string text(const std::string &Field);
  std::string text(const std::string &Field, const std::string &Default);
  /// An optional array of non-empty strings.
  std::vector<std::string> texts(const std::string &Field);
  bool flag(const std::string &Field, bool Default);
  /// A required integer from Low to High.
  int64_t number(const std::string &Field, int64_t Low, int64_t High);
  int64_t number(const std::string &Field, int64_t Low, int64_t High,
                 int64_t Default);
  Milliseconds milliseconds(const std::string &Field, int64_t Low, int64_t High,
                            int64_t Default);
  /// An optional array; a value of another type is a fault. The elements are
  /// not checked.
  std::vector<Json::Value> objects(const std::string &Field);
  Json::Value object(const std::string &Field);

  /// Adds a fault for each field that is not known from the calls above.
  void rejectUnknown();

  /// Adds a fault of a field.
  void fault(const std::string &Field, const std::string &Found,
             const std::string &Allowed);
  /// The location of a field, as faults name it.
  std::string where(const std::string &Field) const;

private:
  /// The value of a field, or null. A missing field is a fault if Required.
  const Json::Value *find(const std::string &Field, bool Required,
                          const std::string &Allowed);

  const Json::Value &m_Object;
  std::string m_Where;
  JsonFaults &m_Faults;
  std::vector<std::string> m_Known;
};

} // namespace monsoon

#endif
