#ifndef PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_CALL_H_
#define PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_CALL_H_

#include <cstdint>
#include <string>

#include "primroseweir/peer/detail/json_rpc_hooks.h"

namespace primroseweir {
namespace detail {

// Address of a JSON-RPC server, and the timeout of each wait on the network.
struct JsonRpcTarget {
  std::string ip;
  std::uint16_t port = 0;
  std::int64_t timeout_milliseconds = 0;
};

// Calls a method; `parameters` is the text of a JSON object. Blocks. Does not throw: a failed call
// returns a response with `ok` false.
JsonRpcResponse CallJsonRpc(const JsonRpcTarget& target, const std::string& method,
                            const std::string& parameters, const JsonRpcSigning& signing);

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_CALL_H_
