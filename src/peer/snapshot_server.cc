#include "primroseweir/peer/snapshot_server.h"

#include <charconv>
#include <chrono>
#include <cstddef>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/http/http_server.h"
#include "primroseweir/http/request_handler.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/http/server_connection.h"
#include "primroseweir/peer/detail/json_rpc_dispatcher.h"
#include "primroseweir/peer/detail/snapshot_signing.h"
#include "primroseweir/peer/snapshot_codec.h"

namespace primroseweir {
namespace {

constexpr char kSignatureField[] = "Primroseweir-Signature";
// A request holds a method name and a revision. Longer bodies are not buffered and are rejected.
constexpr std::size_t kMaxRequestBytes = 4'096;
// A new instance fetches one snapshot, so few of the fleet's connect at a time.
constexpr std::size_t kMaxConnections = 64;
constexpr auto kReadTimeout = std::chrono::seconds(2);
constexpr auto kIdleTimeout = std::chrono::seconds(10);
constexpr int kOk = 200;
constexpr int kForbidden = 403;
constexpr int kBodyTooLarge = 413;
constexpr int kInternalError = 500;

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

class SnapshotServer::Implementation : public RequestHandler {
 public:
  Implementation(Providers providers, const MessageSigner* signer)
      : signing_(detail::SnapshotSigning(signer)),
        dispatcher_([providers = std::move(providers)](const std::string& method,
                                                       const std::string& parameters) {
          return Respond(providers, method, parameters);
        }) {}
  ~Implementation() override { Stop(); }

  absl::Status Start(const SocketAddress& address) {
    HttpServer::Options options;
    options.address = address;
    options.max_connections = kMaxConnections;
    options.limits.head_timeout = kReadTimeout;
    options.limits.body_idle_timeout = kReadTimeout;
    options.limits.idle_timeout = kIdleTimeout;
    server_ = std::make_unique<HttpServer>(options, this);
    return server_->Start();
  }

  void Stop() {
    if (server_ != nullptr) {
      server_->CloseAll();
      server_.reset();
    }
  }

  void Handle(ServerConnection* connection) override {
    std::string body;
    const auto deadline = MonotonicNow() + kReadTimeout;
    while (!connection->is_request_complete() || body.empty()) {
      const auto piece = connection->ReadBody(deadline);
      if (!piece.ok()) {
        HandleFault(connection, HttpStatusOfFault(piece.status()), piece.status());
        return;
      }
      if (piece->empty()) {
        break;
      }
      body.append(*piece);
      if (body.size() > kMaxRequestBytes) {
        SendResponse(connection, kBodyTooLarge, ResponseHead(), std::string());
        return;
      }
    }
    const auto signature = connection->request()->fields.Get(kSignatureField);
    if (!signing_.verify_request(body, signature)) {
      SendResponse(connection, kForbidden, ResponseHead(), std::string());
      return;
    }
    std::string rpc_response;
    try {
      rpc_response = dispatcher_.Respond(body);
    } catch (const std::exception&) {
      // The JSON libraries throw, for example for text that is not UTF-8.
      SendResponse(connection, kInternalError, ResponseHead(), std::string());
      return;
    }
    ResponseHead head;
    head.fields.Add("Content-Type", "application/json");
    head.fields.Add(kSignatureField, signing_.sign_response(signature, rpc_response));
    SendResponse(connection, kOk, std::move(head), rpc_response);
  }

 private:
  static void SendResponse(ServerConnection* connection, int status, ResponseHead head,
                           const std::string& body) {
    head.status = status;
    // A failed write ends the connection, which the peer notices.
    connection->Respond(std::move(head), body).IgnoreError();
  }

  const detail::JsonRpcSigning signing_;
  detail::JsonRpcDispatcher dispatcher_;
  std::unique_ptr<HttpServer> server_;
};

SnapshotServer::SnapshotServer(Providers providers, const MessageSigner* signer)
    : implementation_(std::make_unique<Implementation>(std::move(providers), signer)) {}

SnapshotServer::~SnapshotServer() = default;

absl::Status SnapshotServer::Start(const SocketAddress& address) {
  auto status = implementation_->Start(address);
  if (status.ok()) return status;
  return MakeError(absl::StatusCode::kUnavailable, {"bind peer port", address.ToString()},
                   std::string(status.message()));
}

void SnapshotServer::Stop() { implementation_->Stop(); }

}  // namespace primroseweir
