#ifndef PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_HOOKS_H_
#define PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_HOOKS_H_

#include <functional>
#include <string>

namespace primroseweir {
namespace detail {

// Functions that sign and verify the bodies of JSON-RPC messages. Signatures are hexadecimal
// strings. This header is included by C++14 and C++17 code, so it uses standard types only.
struct JsonRpcSigning {
  std::function<std::string(const std::string& body)> sign_request;
  std::function<bool(const std::string& body, const std::string& signature)> verify_request;
  // Signs a response together with the signature of its request, so that a replayed response is not
  // accepted for a new request.
  std::function<std::string(const std::string& request_signature, const std::string& body)>
      sign_response;
};

// Result of a method or of a call: JSON text, or a plain error message when `ok` is false.
struct JsonRpcResponse {
  bool ok = false;
  // A response arrived, but its signature is invalid.
  bool has_invalid_signature = false;
  std::string text;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_HOOKS_H_
