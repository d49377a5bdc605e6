#ifndef MONSOON_HTTP_JSONCALL_H
#define MONSOON_HTTP_JSONCALL_H

#include "core/outcome.h"
#include "http/connectionpool.h"

#include <json/value.h>

#include <string>

namespace monsoon {

/// An HTTP answer with a JSON body.
struct JsonAnswer {
  int m_Status = 0;
  Json::Value m_Body;
};

/// Calls one HTTP endpoint of the platform, a target or a peer that speaks
/// JSON. Safe for concurrent use.
class JsonCall {
public:
  JsonCall(const Endpoint &Address, Milliseconds Timeout);

  Outcome<JsonAnswer> get(const std::string &Uri);
  Outcome<JsonAnswer> post(const std::string &Uri, const Json::Value &Body);
  /// Sends a body as it is and returns the answer's body as it is.
  Outcome<std::string> postText(const std::string &Uri,
                                const std::string &Body);

private:
  Outcome<httplib::Response> call(httplib::Request Request);

  ConnectionPool m_Pool;
  const Milliseconds m_Timeout;
};

} // namespace monsoon

#endif
