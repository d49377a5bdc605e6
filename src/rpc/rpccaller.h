#ifndef MONSOON_RPC_RPCCALLER_H
#define MONSOON_RPC_RPCCALLER_H

#include <json/value.h>

#include <string>

namespace monsoon {

/// Carries the text of a call to a peer and that of its reply back.
class RpcTransport {
public:
  virtual ~RpcTransport() = default;
  /// Returns false when no reply came; Error then says why.
  virtual bool carry(const std::string &Message, std::string &Reply,
                     std::string &Error) = 0;
};

/// Makes one JSON-RPC call over a transport. Returns false when the call
/// failed; Error then says why. This header is plain C++14; see the package's
/// build file.
bool callRpc(RpcTransport &Transport, const std::string &Method,
             const Json::Value &Parameters, Json::Value &Result,
             std::string &Error);

} // namespace monsoon

#endif
