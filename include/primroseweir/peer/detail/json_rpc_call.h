#ifndef PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_CALL_H_
#define PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_CALL_H_

#include <cstdint>
#include <string>

#include "primroseweir/peer/detail/json_rpc_hooks.h"

namespace primroseweir {
namespace detail {

// Where a JSON-RPC call goes and how long each wait on the network may take.
struct JsonRpcTarget {
  std::string ip;
  std::uint16_t port = 0;
  std::int64_t timeout_milliseconds = 0;
};

// Calls one method; `parameters` is a JSON object. Blocks and throws nothing.
JsonRpcResponse CallJsonRpc(const JsonRpcTarget& target, const std::string& method,
                            const std::string& parameters, const JsonRpcSigning& signing);

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_JSON_RPC_CALL_H_
