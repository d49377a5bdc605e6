#include "http/jsoncall.h"

#include "codec/jsontext.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace monsoon {

namespace {

constexpr int MaxConnections = 64;
constexpr Milliseconds MaxIdle{3000};

Outcome<JsonAnswer> decode(const Outcome<httplib::Response> &Response,
                           const std::string &Uri) {
  if (!Response)
    return Response.error();
  JsonAnswer Result;
  Result.m_Status = Response.value().status;
  if (Response.value().body.empty())
    return Result;
  const auto Body =
      parseJson(Response.value().body, Uri, ErrorKind::AnswerMismatch);
  if (!Body)
    return Body.error();
  Result.m_Body = Body.value();
  return Result;
}

} // namespace

JsonCall::JsonCall(const Endpoint &Address, Milliseconds Timeout)
    : m_Pool(Address, Timeout), m_Timeout(Timeout) {}

Outcome<JsonAnswer> JsonCall::get(const std::string &Uri) {
  httplib::Request Request;
  Request.method = "GET";
  Request.path = Uri;
  return decode(call(std::move(Request)), Uri);
}

Outcome<JsonAnswer> JsonCall::post(const std::string &Uri,
                                   const Json::Value &Body) {
  httplib::Request Request;
  Request.method = "POST";
  Request.path = Uri;
  Request.body = writeJson(Body);
  Request.set_header("Content-Type", "application/json");
  return decode(call(std::move(Request)), Uri);
}

Outcome<std::string> JsonCall::postText(const std::string &Uri,
                                        const std::string &Body) {
  httplib::Request Request;
  Request.method = "POST";
  Request.path = Uri;
  Request.body = Body;
  Request.set_header("Content-Type", "application/json");
  auto Response = call(std::move(Request));
  if (!Response)
    return Response.error();
  return std::move(Response.value().body);
}

Outcome<httplib::Response> JsonCall::call(httplib::Request Request) {
  const std::string Name = absl::StrCat(m_Pool.address().m_Host, ":",
                                        m_Pool.address().m_Port, Request.path);
  auto Connection = m_Pool.acquire(MaxIdle, MaxConnections);
  if (!Connection)
    return Failure{ErrorKind::TargetsBusy,
                   absl::StrCat(Name, ": too many calls at the same time")};
  ExchangeLimits Limits;
  Limits.m_Deadline = std::chrono::steady_clock::now() + m_Timeout;
  httplib::Response Response;
  const ExchangeEnd End =
      Connection->exchange(std::move(Request), Response, Limits);
  m_Pool.release(std::move(Connection));
  if (End.m_Ok)
    return Response;
  if (!End.m_Connected)
    return Failure{ErrorKind::ConnectFailed,
                   absl::StrCat(Name, ": no connection")};
  if (End.m_TimedOut)
    return Failure{ErrorKind::DeadlineExceeded,
                   absl::StrCat(Name, ": no answer in time")};
  return Failure{ErrorKind::AnswerLost,
                 absl::StrCat(Name, ": the connection failed")};
}

} // namespace monsoon
