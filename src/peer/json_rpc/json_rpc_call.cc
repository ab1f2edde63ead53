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

constexpr char kSignatureHeader[] = "Primroseweir-Signature";

// Sends one JSON-RPC message with cxxtools' HTTP client and verifies the signature of the response
// before libjsonrpccpp parses it. The HTTP client of libjsonrpccpp gives no access to the response
// header.
class SigningConnector : public jsonrpc::IClientConnector {
 public:
  SigningConnector(JsonRpcTarget target, const JsonRpcSigning& signing)
      : target_(std::move(target)), signing_(signing) {}

  bool has_invalid_signature() const { return has_invalid_signature_; }

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
    request.setHeader(kSignatureHeader, signature.c_str());
    request.body() << message;
    const cxxtools::Milliseconds timeout(target_.timeout_milliseconds);
    cxxtools::http::Client client(target_.ip, target_.port);
    const cxxtools::http::ReplyHeader& header = client.execute(request, timeout, timeout);
    if (header.httpReturnCode() != 200) {
      Fail("unexpected HTTP status " + std::to_string(header.httpReturnCode()));
    }
    const char* signature_header = header.getHeader(kSignatureHeader);
    const std::string received_signature = signature_header == nullptr ? "" : signature_header;
    *result = client.readBody().body();
    if (received_signature == signing_.sign_response(signature, *result)) return;
    has_invalid_signature_ = true;
    Fail("the signature of the response is invalid");
  }

  const JsonRpcTarget target_;
  const JsonRpcSigning& signing_;
  bool has_invalid_signature_ = false;
};

// The library's errors for an invalid response quote it, and it may hold keys of customers.
std::string ReasonOf(const jsonrpc::JsonRpcException& error) {
  const bool quotes_response = error.GetCode() == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR ||
                               error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
  return quotes_response ? "invalid JSON-RPC response" : error.what();
}

}  // namespace

JsonRpcResponse CallJsonRpc(const JsonRpcTarget& target, const std::string& method,
                            const std::string& parameters, const JsonRpcSigning& signing) {
  SigningConnector connector(target, signing);
  JsonRpcResponse response;
  try {
    Json::Value input;
    Json::Reader().parse(parameters, input, false);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    response.text = Json::writeString(writer, client.CallMethod(method, input));
    response.ok = true;
  } catch (const jsonrpc::JsonRpcException& error) {
    response.text = ReasonOf(error);
  } catch (const std::exception& error) {
    response.text = error.what();
  }
  response.has_invalid_signature = connector.has_invalid_signature();
  return response;
}

}  // namespace detail
}  // namespace primroseweir
