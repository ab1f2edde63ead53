#include "primroseweir/peer/detail/json_rpc_call.h"

#include <cxxtools/http/client.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/replyheader.h>
#include <cxxtools/http/request.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/jsonparser.h>

#include <utility>

namespace primroseweir {
namespace detail {
namespace {

constexpr char kSignatureField[] = "Primroseweir-Signature";

// Sends one JSON-RPC message over cxxtools' HTTP client and checks the answer's signature before
// libjsonrpccpp parses it. The library's own client doesn't give access to the answer's header.
class Connector : public jsonrpc::IClientConnector {
 public:
  Connector(JsonRpcTarget target, const JsonRpcSigning& signing)
      : target_(std::move(target)), signing_(signing) {}

  bool refused_signature() const { return refused_signature_; }

  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    try {
      Exchange(message, &result);
    } catch (const jsonrpc::JsonRpcException&) {
      throw;
    } catch (const std::exception& error) {
      Fail(error.what());
    }
  }

 private:
  [[noreturn]] static void Fail(const std::string& message) {
    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, message);
  }

  void Exchange(const std::string& message, std::string* result) {
    const std::string signature = signing_.sign_request(message);
    cxxtools::http::Request request("/");
    request.method("POST");
    request.setHeader("Content-Type", "application/json");
    request.setHeader(kSignatureField, signature.c_str());
    request.body() << message;
    const cxxtools::Milliseconds timeout(target_.timeout_milliseconds);
    cxxtools::http::Client client(target_.ip, target_.port);
    const cxxtools::http::ReplyHeader& header = client.execute(request, timeout, timeout);
    if (header.httpReturnCode() != 200) {
      Fail("HTTP status " + std::to_string(header.httpReturnCode()));
    }
    const char* response_signature = header.getHeader(kSignatureField);
    const std::string received = response_signature == nullptr ? "" : response_signature;
    *result = client.readBody().body();
    if (received == signing_.sign_response(signature, *result)) return;
    refused_signature_ = true;
    Fail("the answer's signature is wrong");
  }

  const JsonRpcTarget target_;
  const JsonRpcSigning& signing_;
  bool refused_signature_ = false;
};

}  // namespace

JsonRpcResponse CallJsonRpc(const JsonRpcTarget& target, const std::string& method,
                            const std::string& parameters, const JsonRpcSigning& signing) {
  Connector connector(target, signing);
  JsonRpcResponse response;
  try {
    Json::Value input;
    Json::Reader().parse(parameters, input, false);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    response.text = Json::writeString(writer, client.CallMethod(method, input));
    response.ok = true;
  } catch (const std::exception& error) {
    response.text = error.what();
  }
  response.refused_signature = connector.refused_signature();
  return response;
}

}  // namespace detail
}  // namespace primroseweir
