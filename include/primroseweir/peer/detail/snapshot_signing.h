#ifndef PRIMROSEWEIR_PEER_DETAIL_SNAPSHOT_SIGNING_H_
#define PRIMROSEWEIR_PEER_DETAIL_SNAPSHOT_SIGNING_H_

#include "primroseweir/peer/detail/json_rpc_hooks.h"
#include "primroseweir/peer/message_signer.h"

namespace primroseweir {
namespace detail {

// Returns the signing functions for both sides of the snapshot transfer. `signer` must outlive the
// result.
JsonRpcSigning SnapshotSigning(const MessageSigner* signer);

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_SNAPSHOT_SIGNING_H_
