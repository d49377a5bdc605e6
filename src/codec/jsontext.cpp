#include "codec/jsontext.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "absl/strings/strip.h"

#include <json/reader.h>
#include <json/writer.h>

#include <fstream>
#include <memory>
#include <sstream>

namespace monsoon {

namespace {

std::string write(const Json::Value &Value, const char *Indentation) {
  Json::StreamWriterBuilder Builder;
  Builder["indentation"] = Indentation;
  Builder["commentStyle"] = "None";
  Builder["emitUTF8"] = true;
  return Json::writeString(Builder, Value);
}

} // namespace

Outcome<Json::Value> parseJson(const std::string &Text,
                               const std::string &Source, ErrorKind Kind) {
  Json::CharReaderBuilder Builder;
  Builder["allowComments"] = true;
  Builder["rejectDupKeys"] = true;
  Builder["failIfExtra"] = true;
  Builder["stackLimit"] = 64;
  const std::unique_ptr<Json::CharReader> Reader(Builder.newCharReader());
  Json::Value Value;
  std::string Errors;
  try {
    if (Reader->parse(Text.data(), Text.data() + Text.size(), &Value, &Errors))
      return Value;
  } catch (const Json::Exception &Fault) {
    Errors = Fault.what();
  }
  const std::string OneLine = absl::StrReplaceAll(
      absl::StripSuffix(absl::StripPrefix(Errors, "* "), "\n"),
      {{"\n  ", ": "}, {"\n", " "}});
  return Failure{Kind, absl::StrCat(Source, ": ", OneLine)};
}

Outcome<Json::Value> parseJsonFile(const std::string &Path, ErrorKind Kind) {
  const std::ifstream File(Path);
  if (!File)
    return Failure{Kind, absl::StrCat(Path, ": the file can't be read")};
  std::ostringstream Text;
  Text << File.rdbuf();
  return parseJson(Text.str(), Path, Kind);
}

Json::Value encodeMilliseconds(Duration Value) {
  const auto Whole = std::chrono::duration_cast<Milliseconds>(Value);
  if (Whole == Value)
    return Json::Int64(Whole.count());
  return std::chrono::duration<double, std::milli>(Value).count();
}

std::string writeJson(const Json::Value &Value) { return write(Value, ""); }

std::string writePrettyJson(const Json::Value &Value) {
  return write(Value, "  ");
}

} // namespace monsoon
