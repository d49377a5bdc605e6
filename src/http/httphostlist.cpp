#include "http/httphostlist.h"

#include "absl/strings/str_cat.h"

namespace monsoon {

namespace {

constexpr Milliseconds Timeout{1000};

} // namespace

HttpHostList::HttpHostList(const Endpoint &Address)
    : m_Call(Address, Timeout) {}

Outcome<std::set<std::string>> HttpHostList::leaving() {
  const auto Answer = m_Call.get("/hosts");
  if (!Answer)
    return Answer.error();
  const Json::Value &Body = Answer.value().m_Body;
  if (Answer.value().m_Status != 200 || !Body.isObject() ||
      !Body["hosts"].isArray())
    return Failure{ErrorKind::AnswerMismatch,
                   absl::StrCat("host list: status ", Answer.value().m_Status)};
  std::set<std::string> Result;
  for (const Json::Value &Each : Body["hosts"])
    if (Each.isObject() && Each["state"] == "leaving" &&
        Each["name"].isString())
      Result.insert(Each["name"].asString());
  return Result;
}

} // namespace monsoon
