#ifndef PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_SERVER_H_
#define PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "primroseweir/peer/detail/json_rpc_hooks.h"

namespace primroseweir {
namespace detail {

// JSON-RPC 2.0 server over HTTP. Runs libjsonrpccpp behind cxxtools' HTTP server, because the HTTP
// connector of libjsonrpccpp cannot be bound to a single IP address.
class JsonRpcServer {
 public:
  // Receives the name of the method and its parameters as JSON text. Called on the server's
  // threads.
  using Handler =
      std::function<JsonRpcResponse(const std::string& method, const std::string& parameters)>;

  JsonRpcServer(Handler handler, JsonRpcSigning signing);
  ~JsonRpcServer();

  // Returns an empty string, or the reason why the address cannot be bound.
  std::string Start(const std::string& ip, std::uint16_t port);
  void Stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_SERVER_H_
