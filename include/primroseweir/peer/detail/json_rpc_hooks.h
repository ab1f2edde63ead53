#ifndef PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_HOOKS_H_
#define PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_HOOKS_H_

#include <functional>
#include <string>

namespace primroseweir {
namespace detail {

// Signs and checks the bodies of JSON-RPC messages; signatures are hexadecimal texts. This header
// is used by C++14 and C++17 code, so it holds standard types only.
struct JsonRpcSigning {
  std::function<std::string(const std::string& body)> sign_request;
  std::function<bool(const std::string& body, const std::string& signature)> verify_request;
  // An answer is signed together with the signature of its request, so that an old answer doesn't
  // pass for the answer to a new request.
  std::function<std::string(const std::string& request_signature, const std::string& body)>
      sign_response;
};

// Result of a method or of a call: JSON text, or a plain message when `ok` is false.
struct JsonRpcResponse {
  bool ok = false;
  // The answer arrived but its signature is wrong.
  bool refused_signature = false;
  std::string text;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_HOOKS_H_
