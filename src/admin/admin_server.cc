#include "primroseweir/admin/admin_server.h"

#include <openssl/crypto.h>

#include <charconv>
#include <utility>

#include "primroseweir/admin/http_service.h"
#include "primroseweir/admin/metrics.h"
#include "primroseweir/base/error.h"
#include "primroseweir/base/event_log.h"

namespace primroseweir {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxConnections = 64;
// The port is read only, so its requests need no body.
constexpr std::size_t kMaxBodyBytes = 4096;

HttpServiceResponse JsonResponse(unsigned status, const json& body) {
  HttpServiceResponse response;
  response.status = status;
  // Strings that originate from callers may be invalid UTF-8; invalid bytes become replacement
  // characters.
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return response;
}

HttpServiceResponse JsonError(unsigned status, const std::string& reason) {
  return JsonResponse(status, {{"step", "admin"}, {"peer", ""}, {"reason", reason}});
}

// Compares in constant time for strings of equal length, so that response times don't reveal how
// many bytes of a guessed token are right.
bool IsEqualInConstantTime(const std::string& a, const std::string& b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

json ToJson(const Event& event) {
  json fields = json::array();
  for (const auto& [key, value] : event.fields) fields.push_back({key, value});
  return {{"seq", event.sequence},
          {"us", event.time.microseconds},
          {"counter", event.time.counter},
          {"event", event.name},
          {"fields", std::move(fields)}};
}

}  // namespace

AdminServer::AdminServer(std::string operator_token, Providers providers)
    : operator_token_(std::move(operator_token)), providers_(std::move(providers)) {}

AdminServer::~AdminServer() = default;

const SocketAddress& AdminServer::address() const { return service_->address(); }

absl::StatusOr<std::unique_ptr<AdminServer>> AdminServer::Start(const Options& options,
                                                                Providers providers) {
  if (options.operator_token.empty()) {
    return MakeError(absl::StatusCode::kInvalidArgument, {"start admin port", ""},
                     "the operator token is empty");
  }
  std::unique_ptr<AdminServer> server(
      new AdminServer(options.operator_token, std::move(providers)));
  const AdminServer* responder = server.get();
  auto service = HttpService::Start(
      {options.address, kMaxConnections, kMaxBodyBytes},
      [responder](const HttpServiceRequest& request) { return responder->Respond(request); });
  if (!service.ok()) return service.status();
  server->service_ = std::move(*service);
  return server;
}

HttpServiceResponse AdminServer::Respond(const HttpServiceRequest& request) const {
  if (!IsEqualInConstantTime(request.authorization, "Bearer " + operator_token_)) {
    HttpServiceResponse response = JsonError(401, "the operator token is missing or wrong");
    response.fields.emplace_back("WWW-Authenticate", "Bearer");
    return response;
  }
  if (request.method != "GET") return JsonError(405, "the admin port is read only");
  if (request.path == "/metrics") {
    HttpServiceResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = providers_.metrics->Text();
    return response;
  }
  if (request.path == "/status") return JsonResponse(200, providers_.status());
  if (request.path == "/explain") return RespondToExplain(request);
  if (request.path == "/events") return RespondToEvents(request);
  if (request.path == "/healthz") {
    const bool is_healthy = providers_.is_healthy();
    return JsonResponse(is_healthy ? 200 : 503, {{"healthy", is_healthy}});
  }
  return JsonError(404, "no such path");
}

HttpServiceResponse AdminServer::RespondToExplain(const HttpServiceRequest& request) const {
  const auto explanation = providers_.explain(ServiceName(request.Query("service")));
  if (explanation.ok()) return JsonResponse(200, *explanation);
  const bool is_unknown = explanation.status().code() == absl::StatusCode::kNotFound;
  return JsonError(is_unknown ? 404 : 500, MessageOf(explanation.status()));
}

HttpServiceResponse AdminServer::RespondToEvents(const HttpServiceRequest& request) const {
  const std::string text = request.Query("after", "0");
  std::uint64_t after = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, after);
  if (error != std::errc() || last != end) return JsonError(400, "parameter after is not a number");
  json events = json::array();
  for (const Event& event : providers_.events->EventsAfter(after)) events.push_back(ToJson(event));
  return JsonResponse(200,
                      {{"process", providers_.events->process()}, {"events", std::move(events)}});
}

}  // namespace primroseweir
