#ifndef PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_SERVER_H_
#define PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "primroseweir/peer/detail/json_rpc_hooks.h"

namespace primroseweir {
namespace detail {

// JSON-RPC 2.0 server over HTTP: libjsonrpccpp on a connector of our own, since the library's HTTP
// connector can't be bound to one IP address.
class JsonRpcServer {
 public:
  // Gets the method's name and its parameters as JSON text. Called in the server's threads.
  using Handler =
      std::function<JsonRpcResponse(const std::string& method, const std::string& parameters)>;

  JsonRpcServer(Handler handler, JsonRpcSigning signing);
  ~JsonRpcServer();

  // Answers "" or why the address can't be bound.
  std::string Start(const std::string& ip, std::uint16_t port);
  void Stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_SERVER_H_
