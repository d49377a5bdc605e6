#ifndef MONSOON_CODEC_JSONREADER_H
#define MONSOON_CODEC_JSONREADER_H

#include "core/timepoint.h"

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoon {

/// Faults found in one document, one message each.
using JsonFaults = std::vector<std::string>;

/// Reads and validates the fields of one JSON object. Each fault names the
/// location, the value found and the values allowed. After a fault the default
/// value is returned, so that one pass finds all faults of a document.
///
/// Invariant: a figure is used as given or is a fault; none is rounded to what
/// its field can hold. Counts and measures are told apart in core/measure.h.
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
  /// A count from Low to High; required if there is no default.
  int64_t count(const std::string &Field, int64_t Low, int64_t High,
                std::optional<int64_t> Default = std::nullopt);
  /// A measure from Low to High; required if there is no default.
  double measure(const std::string &Field, int64_t Low, int64_t High,
                 std::optional<double> Default = std::nullopt);
  /// An optional measure of at least 0.
  double nonNegative(const std::string &Field, double Default);
  /// A time stated in milliseconds, from Low to High of them; required if there
  /// is no default.
  Duration milliseconds(const std::string &Field, int64_t Low, int64_t High,
                        std::optional<Duration> Default = std::nullopt);
  /// The same stated in seconds.
  Duration seconds(const std::string &Field, int64_t Low, int64_t High,
                   std::optional<Duration> Default = std::nullopt);
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
  /// A figure of the field that is valid, else nullopt. A missing field is a
  /// fault if Required.
  std::optional<double> findMeasure(const std::string &Field, bool Required,
                                    double Low, double High,
                                    const std::string &Allowed);
  Duration duration(const std::string &Field, Duration Unit, int64_t Low,
                    int64_t High, std::optional<Duration> Default);

  const Json::Value &m_Object;
  std::string m_Where;
  JsonFaults &m_Faults;
  std::vector<std::string> m_Known;
};

} // namespace monsoon

#endif
