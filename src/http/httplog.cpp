#include "http/httplog.h"

#include "absl/strings/str_cat.h"

namespace monsoon {

namespace {

constexpr Milliseconds Timeout{1000};
constexpr int MaxRecordsPerRead = 1000;

Failure unavailable(const std::string &Reason) {
  return Failure{ErrorKind::LogUnavailable,
                 absl::StrCat("log service: ", Reason)};
}

/// The body of a successful answer with the given numeric fields.
Outcome<Json::Value> checked(const Outcome<JsonAnswer> &Answer,
                             std::initializer_list<const char *> Fields) {
  if (!Answer)
    return unavailable(Answer.error().m_Message);
  if (Answer.value().m_Status != 200)
    return unavailable(absl::StrCat("status ", Answer.value().m_Status));
  const Json::Value &Body = Answer.value().m_Body;
  for (const char *Field : Fields)
    if (!Body.isObject() || !Body[Field].isUInt64())
      return unavailable(absl::StrCat("answer without \"", Field, "\""));
  return Body;
}

} // namespace

HttpLog::HttpLog(const Endpoint &Address) : m_Call(Address, Timeout) {}

Outcome<LogOffset> HttpLog::append(const std::string &Stream,
                                   const std::string &Data) {
  Json::Value Body;
  Body["stream"] = Stream;
  Body["data"] = Data;
  const auto Answer = checked(m_Call.post("/append", Body), {"offset"});
  if (!Answer)
    return Answer.error();
  return Answer.value()["offset"].asUInt64();
}

Outcome<LogPage> HttpLog::read(const std::string &Stream, LogOffset From) {
  const auto Answer =
      checked(m_Call.get(absl::StrCat("/read?stream=", Stream, "&from=", From,
                                      "&max=", MaxRecordsPerRead)),
              {"first", "end"});
  if (!Answer)
    return Answer.error();
  const Json::Value &Body = Answer.value();
  LogPage Page;
  Page.m_First = Body["first"].asUInt64();
  Page.m_End = Body["end"].asUInt64();
  for (const Json::Value &Each : Body["records"]) {
    if (!Each["offset"].isUInt64() || !Each["data"].isString())
      return unavailable("answer with a malformed record");
    Page.m_Records.push_back(
        {Each["offset"].asUInt64(), Each["data"].asString()});
  }
  return Page;
}

} // namespace monsoon
