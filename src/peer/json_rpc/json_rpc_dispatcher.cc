#include "primroseweir/peer/detail/json_rpc_dispatcher.h"

#include <jsonrpccpp/common/jsonparser.h>
#include <jsonrpccpp/server.h>

#include <utility>

namespace primroseweir {
namespace detail {
namespace {

// Passes requests to libjsonrpccpp, which returns each response through SendResponse.
class InProcessConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* destination) override {
    *static_cast<std::string*>(destination) = response;
    return true;
  }
};

// Forwards every method call to the handler.
class ProcedureHandler : public jsonrpc::IProcedureInvokationHandler {
 public:
  explicit ProcedureHandler(JsonRpcDispatcher::Handler handler) : handler_(std::move(handler)) {}

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    Json::StreamWriterBuilder writer;
    const JsonRpcResponse rpc_response =
        handler_(procedure.GetProcedureName(), Json::writeString(writer, input));
    if (!rpc_response.ok) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, rpc_response.text);
    }
    Json::Reader().parse(rpc_response.text, output, false);
  }

  void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}

 private:
  const JsonRpcDispatcher::Handler handler_;
};

}  // namespace

class JsonRpcDispatcher::Implementation {
 public:
  explicit Implementation(Handler handler)
      : procedure_handler_(std::move(handler)),
        protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                        procedure_handler_)) {
    protocol_->AddProcedure(jsonrpc::Procedure("configuration", jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_OBJECT, "after_revision",
                                               jsonrpc::JSON_STRING, NULL));
    protocol_->AddProcedure(
        jsonrpc::Procedure("observations", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    connector_.SetHandler(protocol_.get());
  }

  std::string Respond(const std::string& body) {
    std::string rpc_response;
    connector_.OnRequest(body, &rpc_response);
    return rpc_response;
  }

 private:
  ProcedureHandler procedure_handler_;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  InProcessConnector connector_;
};

JsonRpcDispatcher::JsonRpcDispatcher(Handler handler)
    : implementation_(new Implementation(std::move(handler))) {}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

std::string JsonRpcDispatcher::Respond(const std::string& body) {
  return implementation_->Respond(body);
}

}  // namespace detail
}  // namespace primroseweir
