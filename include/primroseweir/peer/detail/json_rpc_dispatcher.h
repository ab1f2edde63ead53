#ifndef PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_DISPATCHER_H_
#define PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_DISPATCHER_H_

#include <functional>
#include <memory>
#include <string>

#include "primroseweir/peer/detail/json_rpc_hooks.h"

namespace primroseweir {
namespace detail {

// Executes JSON-RPC 2.0 requests with libjsonrpccpp, without a connection. This header is included
// by C++14 and C++17 code, so it uses standard types only.
class JsonRpcDispatcher {
 public:
  // Receives the name of the method and its parameters as JSON text. Called on the threads that
  // call Respond.
  using Handler =
      std::function<JsonRpcResponse(const std::string& method, const std::string& parameters)>;

  explicit JsonRpcDispatcher(Handler handler);
  ~JsonRpcDispatcher();

  // Returns the response to the request in `body`, both as JSON text. Thread-safe.
  std::string Respond(const std::string& body);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_DISPATCHER_H_
