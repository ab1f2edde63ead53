#include "primroseweir/peer/snapshot_server.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/peer/detail/json_rpc_server.h"
#include "primroseweir/peer/detail/snapshot_signing.h"
#include "primroseweir/peer/snapshot_codec.h"

namespace primroseweir {
namespace {

// Reads the parameter after_revision. Revisions are sent as decimal strings, because
// libjsonrpccpp's integers have 32 bits.
std::optional<Revision> ReadAfterRevision(const std::string& parameters) {
  const auto value = nlohmann::json::parse(parameters, nullptr, false);
  if (!value.is_object() || !value.contains("after_revision")) return std::nullopt;
  const auto& field = value["after_revision"];
  if (!field.is_string()) return std::nullopt;
  const std::string text = field.get<std::string>();
  std::uint64_t number = 0;
  const char* last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, number);
  if (error != std::errc() || end != last) return std::nullopt;
  return Revision(number);
}

detail::JsonRpcResponse Respond(const SnapshotServer::Providers& providers,
                                const std::string& method, const std::string& parameters) {
  if (method == "observations") {
    return {true, false, EncodeObservations(providers.observations())};
  }
  const auto after = ReadAfterRevision(parameters);
  if (!after) return {false, false, "after_revision is not a string that holds a decimal number"};
  return {true, false, EncodeConfigurationValues(providers.configuration(*after))};
}

}  // namespace

class SnapshotServer::Implementation {
 public:
  Implementation(Providers providers, const MessageSigner* signer)
      : server_(
            [providers = std::move(providers)](const std::string& method,
                                               const std::string& parameters) {
              return Respond(providers, method, parameters);
            },
            detail::SnapshotSigning(signer)) {}

  detail::JsonRpcServer& server() { return server_; }

 private:
  detail::JsonRpcServer server_;
};

SnapshotServer::SnapshotServer(Providers providers, const MessageSigner* signer)
    : implementation_(std::make_unique<Implementation>(std::move(providers), signer)) {}

SnapshotServer::~SnapshotServer() = default;

absl::Status SnapshotServer::Start(const SocketAddress& address) {
  const std::string error = implementation_->server().Start(address.ip, address.port);
  if (error.empty()) return absl::OkStatus();
  return MakeError(absl::StatusCode::kUnavailable, {"bind peer port", address.ToString()}, error);
}

void SnapshotServer::Stop() { implementation_->server().Stop(); }

}  // namespace primroseweir
