#include "rpc/rpccaller.h"

#include <jsonrpccpp/client.h>

namespace monsoon {

namespace {

/// Lets the library's client use our transport.
class TransportConnector : public jsonrpc::IClientConnector {
public:
  explicit TransportConnector(RpcTransport &Transport)
      : m_Transport(Transport) {}

  void SendRPCMessage(const std::string &Message, std::string &Result) throw(
      jsonrpc::JsonRpcException) override {
    std::string Error;
    if (!m_Transport.carry(Message, Result, Error))
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      Error);
  }

private:
  RpcTransport &m_Transport;
};

} // namespace

bool callRpc(RpcTransport &Transport, const std::string &Method,
             const Json::Value &Parameters, Json::Value &Result,
             std::string &Error) {
  try {
    TransportConnector Connector(Transport);
    jsonrpc::Client Client(Connector);
    Client.CallMethod(Method, Parameters, Result);
    return true;
  } catch (const std::exception &Fault) {
    Error = Fault.what();
    return false;
  }
}

} // namespace monsoon
