#include "primroseweir/peer/snapshot_client.h"

#include <nlohmann/json.hpp>

#include "primroseweir/base/error.h"
#include "primroseweir/base/random.h"
#include "primroseweir/peer/detail/json_rpc_call.h"
#include "primroseweir/peer/detail/snapshot_signing.h"
#include "primroseweir/peer/snapshot_codec.h"

namespace primroseweir {
namespace {

// Returns a random value that makes each request unique, so that the signature of a response is
// valid for one request only.
std::string MakeNonce() { return std::to_string(EntropySeed()); }

}  // namespace

SnapshotClient::SnapshotClient(const MessageSigner* signer, Duration timeout)
    : signer_(signer), timeout_(timeout) {}

absl::StatusOr<std::string> SnapshotClient::Call(const SocketAddress& peer,
                                                 const std::string& method,
                                                 const std::string& parameters) const {
  const detail::JsonRpcTarget target{peer.ip, peer.port, ToMilliseconds(timeout_)};
  const detail::JsonRpcResponse response =
      detail::CallJsonRpc(target, method, parameters, detail::SnapshotSigning(signer_));
  if (response.ok) return response.text;
  const auto code = response.has_invalid_signature ? absl::StatusCode::kPermissionDenied
                                                   : absl::StatusCode::kUnavailable;
  return MakeError(code, {"call " + method, peer.ToString()}, response.text);
}

absl::StatusOr<ConfigurationValues> SnapshotClient::FetchConfiguration(const SocketAddress& peer,
                                                                       Revision after) const {
  nlohmann::json parameters;
  parameters["after_revision"] = std::to_string(after.value());
  parameters["nonce"] = MakeNonce();
  const auto response = Call(peer, "configuration", parameters.dump());
  if (!response.ok()) return response.status();
  return DecodeConfigurationValues(*response, peer.ToString());
}

absl::StatusOr<std::vector<UpstreamObservation>> SnapshotClient::FetchObservations(
    const SocketAddress& peer) const {
  nlohmann::json parameters;
  parameters["nonce"] = MakeNonce();
  const auto response = Call(peer, "observations", parameters.dump());
  if (!response.ok()) return response.status();
  return DecodeObservations(*response, peer.ToString());
}

}  // namespace primroseweir
