#include "standin/standinhttp.h"

#include "codec/jsontext.h"

#include <cstdio>
#include <cstdlib>

namespace monsoon {

std::unique_ptr<HttpServer> startServer(int Port, int Workers,
                                        HttpHandler Handler) {
  CallerLimits Limits;
  Limits.m_Workers = Workers;
  auto Server = std::make_unique<HttpServer>(
      Endpoint{"127.0.0.1", Port}, Limits, std::move(Handler),
      [](const httplib::Request & /*Request*/, httplib::Response & /*Response*/,
         const SocketStream & /*Stream*/) {});
  if (Server->start())
    return Server;
  std::fprintf(stderr, "stand-in: can't listen on port %d\n", Port);
  std::exit(1);
}

Json::Value parseJsonBody(const httplib::Request &Request) {
  const auto Body = parseJson(Request.body, "request", ErrorKind::BadRequest);
  return Body && Body.value().isObject() ? Body.value()
                                         : Json::Value(Json::objectValue);
}

void setJsonBody(httplib::Response &Response, const Json::Value &Body) {
  Response.set_content(writeJson(Body), "application/json");
}

} // namespace monsoon
