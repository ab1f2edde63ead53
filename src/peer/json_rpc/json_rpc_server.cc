#include "primroseweir/peer/detail/json_rpc_server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <jsonrpccpp/common/jsonparser.h>
#include <jsonrpccpp/server.h>

#include <thread>
#include <utility>

namespace primroseweir {
namespace detail {
namespace {

constexpr char kSignatureHeader[] = "Primroseweir-Signature";
// A request holds a method name and a revision. Longer bodies are not buffered and are rejected.
constexpr std::size_t kMaxRequestBytes = 4'096;
constexpr unsigned kMinThreads = 1;
constexpr unsigned kMaxThreads = 4;
constexpr int kReadTimeoutMilliseconds = 2'000;

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
  explicit ProcedureHandler(JsonRpcServer::Handler handler) : handler_(std::move(handler)) {}

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
  const JsonRpcServer::Handler handler_;
};

// Signs and verifies messages, and passes requests to the connector.
class Dispatcher {
 public:
  Dispatcher(JsonRpcServer::Handler handler, JsonRpcSigning signing)
      : signing_(std::move(signing)),
        procedure_handler_(std::move(handler)),
        protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                        procedure_handler_)) {
    protocol_->AddProcedure(jsonrpc::Procedure("configuration", jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_OBJECT, "after_revision",
                                               jsonrpc::JSON_STRING, NULL));
    protocol_->AddProcedure(
        jsonrpc::Procedure("observations", jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    connector_.SetHandler(protocol_.get());
  }

  bool Verify(const std::string& body, const std::string& signature) const {
    return signing_.verify_request(body, signature);
  }

  std::string Respond(const std::string& body) {
    std::string rpc_response;
    connector_.OnRequest(body, &rpc_response);
    return rpc_response;
  }

  std::string Sign(const std::string& request_signature, const std::string& rpc_response) const {
    return signing_.sign_response(request_signature, rpc_response);
  }

 private:
  const JsonRpcSigning signing_;
  ProcedureHandler procedure_handler_;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  InProcessConnector connector_;
};

// Handles one HTTP request.
class RpcResponder : public cxxtools::http::Responder {
 public:
  RpcResponder(cxxtools::http::Service& service, Dispatcher* dispatcher)
      : Responder(service), dispatcher_(dispatcher) {}

  void beginRequest(cxxtools::net::TcpSocket&, std::istream&, cxxtools::http::Request&) override {
    body_.clear();
    body_too_long_ = false;
  }

  std::size_t readBody(std::istream& in) override {
    std::size_t count = 0;
    while (in.rdbuf()->in_avail() > 0) {
      const int byte = in.rdbuf()->sbumpc();
      ++count;
      body_too_long_ = body_too_long_ || body_.size() >= kMaxRequestBytes;
      if (!body_too_long_) body_.push_back(static_cast<char>(byte));
    }
    return count;
  }

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    if (body_too_long_) {
      reply.httpReturn(413, "Payload Too Large");
      return;
    }
    const char* signature = request.getHeader(kSignatureHeader);
    if (signature == nullptr || !dispatcher_->Verify(body_, signature)) {
      reply.httpReturn(403, "Forbidden");
      return;
    }
    const std::string rpc_response = dispatcher_->Respond(body_);
    reply.setHeader("Content-Type", "application/json");
    reply.setHeader(kSignatureHeader, dispatcher_->Sign(signature, rpc_response).c_str());
    out << rpc_response;
  }

 private:
  Dispatcher* const dispatcher_;
  std::string body_;
  bool body_too_long_ = false;
};

class RpcService : public cxxtools::http::Service {
 public:
  explicit RpcService(Dispatcher* dispatcher) : dispatcher_(dispatcher) {}

 protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override {
    return new RpcResponder(*this, dispatcher_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

 private:
  Dispatcher* const dispatcher_;
};

}  // namespace

class JsonRpcServer::Implementation {
 public:
  Implementation(Handler handler, JsonRpcSigning signing)
      : dispatcher_(std::move(handler), std::move(signing)), service_(&dispatcher_) {}
  ~Implementation() { Stop(); }

  std::string Start(const std::string& ip, std::uint16_t port) {
    try {
      loop_.reset(new cxxtools::EventLoop());
      server_.reset(new cxxtools::http::Server(*loop_));
      server_->minThreads(kMinThreads);
      server_->maxThreads(kMaxThreads);
      server_->readTimeout(cxxtools::Milliseconds(kReadTimeoutMilliseconds));
      server_->addService("/", service_);
      server_->listen(ip, port);
    } catch (const std::exception& error) {
      server_.reset();
      return error.what();
    }
    thread_ = std::thread([this] { loop_->run(); });
    return "";
  }

  void Stop() {
    if (!thread_.joinable()) return;
    loop_->exit();
    thread_.join();
    server_.reset();
  }

 private:
  Dispatcher dispatcher_;
  RpcService service_;
  std::unique_ptr<cxxtools::EventLoop> loop_;
  std::unique_ptr<cxxtools::http::Server> server_;
  std::thread thread_;
};

JsonRpcServer::JsonRpcServer(Handler handler, JsonRpcSigning signing)
    : implementation_(new Implementation(std::move(handler), std::move(signing))) {}

JsonRpcServer::~JsonRpcServer() = default;

std::string JsonRpcServer::Start(const std::string& ip, std::uint16_t port) {
  return implementation_->Start(ip, port);
}

void JsonRpcServer::Stop() { implementation_->Stop(); }

}  // namespace detail
}  // namespace primroseweir
