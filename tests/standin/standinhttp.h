#ifndef MONSOON_TESTS_STANDIN_STANDINHTTP_H
#define MONSOON_TESTS_STANDIN_STANDINHTTP_H

#include "http/httpserver.h"

#include <json/value.h>

#include <functional>
#include <memory>

namespace monsoon {

using HttpHandler =
    std::function<void(const httplib::Request &, httplib::Response &)>;

/// Starts the HTTP server of a stand-in on 127.0.0.1. Exits the process with
/// code 1 if it cannot listen on Port.
std::unique_ptr<HttpServer> startServer(int Port, int Workers,
                                        HttpHandler Handler);

/// Returns the JSON object in the body of a request, or an empty object if the
/// body is not a JSON object.
Json::Value parseJsonBody(const httplib::Request &Request);

/// Sets the body of a response to Body, as application/json.
void setJsonBody(httplib::Response &Response, const Json::Value &Body);

} // namespace monsoon

#endif
