#include "rpc/peerserver.h"

#include "codec/messagecodec.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>

#include <string>
#include <utility>

namespace monsoon {

namespace {

constexpr int Workers = 16;
constexpr int Connections = 256;

CallerLimits peerLimits() {
  CallerLimits Limits;
  Limits.m_Workers = Workers;
  Limits.m_Connections = Connections;
  Limits.m_BodyBytes = 16 << 20;
  return Limits;
}

/// Hands the library the calls that our HTTP server has received.
class Connector : public jsonrpc::AbstractServerConnector {
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string &Response, void *Target) override {
    *static_cast<std::string *>(Target) = Response;
    return true;
  }
};

jsonrpc::Procedure procedure(const char *Name) {
  return {Name,      jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT,
          "message", jsonrpc::JSON_OBJECT,    nullptr};
}

} // namespace

/// Binds the methods that peers may call to the handler.
class PeerServer::Dispatcher : public jsonrpc::AbstractServer<Dispatcher> {
public:
  Dispatcher(std::unique_ptr<Connector> Calls, PeerHandler &Handler)
      : AbstractServer(*Calls), m_Connector(std::move(Calls)),
        m_Handler(Handler) {
    bindAndAddMethod(procedure("hello"), &Dispatcher::hello);
    bindAndAddMethod(procedure("heartbeat"), &Dispatcher::heartbeat);
    bindAndAddMethod(procedure("canvass"), &Dispatcher::canvass);
    bindAndAddMethod(procedure("config"), &Dispatcher::config);
    bindAndAddMethod(procedure("warmth"), &Dispatcher::warmth);
  }

  std::string dispatch(const std::string &Message) {
    std::string Reply;
    m_Connector->OnRequest(Message, &Reply);
    return Reply;
  }

private:
  void hello(const Json::Value &Parameters, Json::Value &Result) {
    const auto Message = decodeHello(Parameters["message"]);
    require(Message);
    Result = encodeMessage(m_Handler.onHello(Message.value()));
  }

  void heartbeat(const Json::Value &Parameters, Json::Value &Result) {
    const auto Message = decodeHeartbeat(Parameters["message"]);
    require(Message);
    const auto Reply = m_Handler.onHeartbeat(Message.value());
    require(Reply);
    Result = encodeMessage(Reply.value());
  }

  void canvass(const Json::Value &Parameters, Json::Value &Result) {
    const auto Message = decodeCanvass(Parameters["message"]);
    require(Message);
    const auto Reply = m_Handler.onCanvass(Message.value());
    require(Reply);
    Result = encodeMessage(Reply.value());
  }

  void config(const Json::Value & /*Parameters*/, Json::Value &Result) {
    Result = encodeMessage(m_Handler.onFetchConfig());
  }

  void warmth(const Json::Value & /*Parameters*/, Json::Value &Result) {
    Result = encodeMessage(m_Handler.onFetchWarmth());
  }

  template <typename T> static void require(const Outcome<T> &Value) {
    if (!Value)
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      Value.error().m_Message);
  }

  const std::unique_ptr<Connector> m_Connector;
  PeerHandler &m_Handler;
};

PeerServer::PeerServer(const Endpoint &Address, PeerHandler &Handler)
    : m_Dispatcher(
          std::make_unique<Dispatcher>(std::make_unique<Connector>(), Handler)),
      m_Server(
          Address, peerLimits(),
          [this](const httplib::Request &Request, httplib::Response &Response) {
            Response.set_content(m_Dispatcher->dispatch(Request.body),
                                 "application/json");
          },
          [](const httplib::Request & /*Request*/,
             httplib::Response & /*Response*/,
             const SocketStream & /*Stream*/) {}) {}

PeerServer::~PeerServer() { stop(); }

bool PeerServer::start() { return m_Server.start(); }

void PeerServer::stop() {
  m_Server.beginStop();
  m_Server.finishStop();
}

} // namespace monsoon
