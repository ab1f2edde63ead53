#ifndef PRIMROSEWEIR_PEER_SNAPSHOT_CLIENT_H_
#define PRIMROSEWEIR_PEER_SNAPSHOT_CLIENT_H_

#include <absl/status/statusor.h>

#include <string>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/configuration_values.h"
#include "primroseweir/peer/message_signer.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// Fetches snapshots from a peer by JSON-RPC. Blocks. Thread-safe. Errors: Unavailable
// when the peer cannot be reached in time or rejects the request, PermissionDenied when its
// response is not signed for this request, InvalidArgument when the response cannot be decoded.
// Each error carries its step and the peer.
class SnapshotClient {
 public:
  // `signer` must outlive the client. `timeout` applies to each wait on the network.
  SnapshotClient(const MessageSigner* signer, Duration timeout);

  absl::StatusOr<ConfigurationValues> FetchConfiguration(const SocketAddress& peer,
                                                         Revision after) const;
  absl::StatusOr<std::vector<UpstreamObservation>> FetchObservations(
      const SocketAddress& peer) const;

 private:
  absl::StatusOr<std::string> Call(const SocketAddress& peer, const std::string& method,
                                   const std::string& parameters) const;

  const MessageSigner* const signer_;
  const Duration timeout_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_SNAPSHOT_CLIENT_H_
