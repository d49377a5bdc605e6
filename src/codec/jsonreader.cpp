#include "codec/jsonreader.h"

#include "codec/jsontext.h"
#include "core/measure.h"
#include "core/text.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

#include <algorithm>
#include <limits>

namespace monsoon {

namespace {

constexpr size_t MaxQuotedLength = 60; // characters

/// The value as text for a fault message, truncated if too long.
std::string quote(const Json::Value &Value) {
  // The writer would show 0.1 as 0.10000000000000001.
  std::string Text = Value.type() == Json::realValue
                         ? shortestText(Value.asDouble())
                         : writeJson(Value);
  if (Text.size() > MaxQuotedLength)
    Text = Text.substr(0, MaxQuotedLength) + "...";
  return Text;
}

} // namespace

JsonReader::JsonReader(const Json::Value &Object, std::string Where,
                       JsonFaults &Faults)
    : m_Object(Object), m_Where(std::move(Where)), m_Faults(Faults) {
  if (!m_Object.isObject())
    m_Faults.push_back(absl::StrCat(m_Where, ": found ", quote(m_Object),
                                    ", allowed is an object"));
}

std::string JsonReader::where(const std::string &Field) const {
  return absl::StrCat(m_Where, ": ", Field);
}

void JsonReader::fault(const std::string &Field, const std::string &Found,
                       const std::string &Allowed) {
  m_Faults.push_back(
      absl::StrCat(where(Field), ": found ", Found, ", allowed is ", Allowed));
}

bool JsonReader::has(const std::string &Field) {
  m_Known.push_back(Field);
  return m_Object.isObject() && m_Object.isMember(Field);
}

const Json::Value *JsonReader::find(const std::string &Field, bool Required,
                                    const std::string &Allowed) {
  if (has(Field))
    return &m_Object[Field];
  if (Required && m_Object.isObject())
    fault(Field, "nothing", Allowed);
  return nullptr;
}

std::string JsonReader::text(const std::string &Field) {
  const std::string Allowed = "a non-empty string";
  const Json::Value *Value = find(Field, true, Allowed);
  if (!Value)
    return {};
  if (Value->isString() && !Value->asString().empty())
    return Value->asString();
  fault(Field, quote(*Value), Allowed);
  return {};
}

std::string JsonReader::text(const std::string &Field,
                             const std::string &Default) {
  const Json::Value *Value = find(Field, false, "");
  if (!Value)
    return Default;
  if (Value->isString())
    return Value->asString();
  fault(Field, quote(*Value), "a string");
  return Default;
}

std::vector<std::string> JsonReader::texts(const std::string &Field) {
  std::vector<std::string> Result;
  const Json::Value *Value = find(Field, false, "");
  if (!Value)
    return Result;
  const std::string Allowed = "an array of non-empty strings";
  if (!Value->isArray()) {
    fault(Field, quote(*Value), Allowed);
    return Result;
  }
  for (const Json::Value &Each : *Value) {
    if (Each.isString() && !Each.asString().empty())
      Result.push_back(Each.asString());
    else
      fault(Field, quote(Each), Allowed);
  }
  return Result;
}

bool JsonReader::flag(const std::string &Field, bool Default) {
  const Json::Value *Value = find(Field, false, "");
  if (!Value)
    return Default;
  if (Value->isBool())
    return Value->asBool();
  fault(Field, quote(*Value), "true or false");
  return Default;
}

int64_t JsonReader::count(const std::string &Field, int64_t Low, int64_t High,
                          std::optional<int64_t> Default) {
  const std::string Allowed =
      absl::StrCat("a whole number from ", Low, " to ", High);
  const Json::Value *Value = find(Field, !Default, Allowed);
  if (!Value)
    return Default.value_or(Low);
  // Also true for a whole number that is written with a fraction, as 4.0 is.
  if (Value->isInt64() && Value->asInt64() >= Low && Value->asInt64() <= High)
    return Value->asInt64();
  fault(Field, quote(*Value), Allowed);
  return Default.value_or(Low);
}

std::optional<double> JsonReader::findMeasure(const std::string &Field,
                                              bool Required, double Low,
                                              double High,
                                              const std::string &Allowed) {
  const Json::Value *Value = find(Field, Required, Allowed);
  if (!Value)
    return std::nullopt;
  if (Value->isNumeric() && Value->asDouble() >= Low &&
      Value->asDouble() <= High)
    return Value->asDouble();
  fault(Field, quote(*Value), Allowed);
  return std::nullopt;
}

double JsonReader::measure(const std::string &Field, int64_t Low, int64_t High,
                           std::optional<double> Default) {
  return findMeasure(Field, !Default, static_cast<double>(Low),
                     static_cast<double>(High),
                     absl::StrCat("a number from ", Low, " to ", High))
      .value_or(Default.value_or(static_cast<double>(Low)));
}

double JsonReader::nonNegative(const std::string &Field, double Default) {
  return findMeasure(Field, false, 0, std::numeric_limits<double>::max(),
                     "a number of at least 0")
      .value_or(Default);
}

Duration JsonReader::milliseconds(const std::string &Field, int64_t Low,
                                  int64_t High,
                                  std::optional<Duration> Default) {
  return duration(Field, Milliseconds(1), Low, High, Default);
}

Duration JsonReader::seconds(const std::string &Field, int64_t Low,
                             int64_t High, std::optional<Duration> Default) {
  return duration(Field, std::chrono::seconds(1), Low, High, Default);
}

Duration JsonReader::duration(const std::string &Field, Duration Unit,
                              int64_t Low, int64_t High,
                              std::optional<Duration> Default) {
  const auto Figure = findMeasure(
      Field, !Default, static_cast<double>(Low), static_cast<double>(High),
      absl::StrCat("a number from ", Low, " to ", High));
  return Figure ? durationOf(*Figure, Unit) : Default.value_or(Low * Unit);
}

std::vector<Json::Value> JsonReader::objects(const std::string &Field) {
  std::vector<Json::Value> Result;
  const Json::Value *Value = find(Field, false, "");
  if (!Value)
    return Result;
  if (!Value->isArray()) {
    fault(Field, quote(*Value), "an array of objects");
    return Result;
  }
  for (const Json::Value &Each : *Value)
    Result.push_back(Each);
  return Result;
}

Json::Value JsonReader::object(const std::string &Field) {
  const Json::Value *Value = find(Field, false, "");
  if (!Value)
    return Json::Value(Json::objectValue);
  if (Value->isObject())
    return *Value;
  fault(Field, quote(*Value), "an object");
  return Json::Value(Json::objectValue);
}

void JsonReader::rejectUnknown() {
  if (!m_Object.isObject())
    return;
  for (const std::string &Field : m_Object.getMemberNames())
    if (std::find(m_Known.begin(), m_Known.end(), Field) == m_Known.end())
      m_Faults.push_back(absl::StrCat(where(Field),
                                      ": unknown field, allowed are ",
                                      absl::StrJoin(m_Known, ", ")));
}

} // namespace monsoon
