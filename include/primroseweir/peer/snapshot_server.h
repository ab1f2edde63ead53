#ifndef PRIMROSEWEIR_PEER_SNAPSHOT_SERVER_H_
#define PRIMROSEWEIR_PEER_SNAPSHOT_SERVER_H_

#include <absl/status/status.h>

#include <functional>
#include <memory>
#include <vector>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/configuration/configuration_values.h"
#include "primroseweir/peer/message_signer.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// Serves the JSON-RPC methods of the peer port: `configuration(after_revision)` and
// `observations()`. A request without a valid signature is rejected with HTTP status 403 before its
// body is parsed.
class SnapshotServer {
 public:
  // Functions that return the data to serve. Both are called on the server's threads.
  struct Providers {
    std::function<ConfigurationValues(Revision after)> configuration;
    std::function<std::vector<UpstreamObservation>()> observations;
  };

  // `signer` must outlive the server.
  SnapshotServer(Providers providers, const MessageSigner* signer);
  ~SnapshotServer();

  // Listens on this IP address and port only. Returns Unavailable when they cannot be bound.
  absl::Status Start(const SocketAddress& address);
  void Stop();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_SNAPSHOT_SERVER_H_
