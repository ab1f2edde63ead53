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

constexpr unsigned kThreads = 4;

HttpServiceResponse Json(unsigned status, const json& body) {
  HttpServiceResponse response;
  response.status = status;
  // Texts of callers may be no UTF-8; they are shown with replacement characters.
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return response;
}

HttpServiceResponse Problem(unsigned status, const std::string& reason) {
  return Json(status, {{"step", "admin"}, {"peer", ""}, {"reason", reason}});
}

// Takes the same time wherever the texts differ, so that the token can't be guessed by byte.
bool SameText(const std::string& a, const std::string& b) {
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
  const AdminServer* answering = server.get();
  auto service = HttpService::Start(
      {options.address, kThreads},
      [answering](const HttpServiceRequest& request) { return answering->Respond(request); });
  if (!service.ok()) return service.status();
  server->service_ = std::move(*service);
  return server;
}

HttpServiceResponse AdminServer::Respond(const HttpServiceRequest& request) const {
  if (!SameText(request.authorization, "Bearer " + operator_token_)) {
    HttpServiceResponse response = Problem(401, "the operator token is missing or wrong");
    response.fields.emplace_back("WWW-Authenticate", "Bearer");
    return response;
  }
  if (request.method != "GET") return Problem(405, "the admin port is read only");
  if (request.path == "/metrics") {
    HttpServiceResponse response;
    response.content_type = "text/plain; version=0.0.4";
    response.body = providers_.metrics->Text();
    return response;
  }
  if (request.path == "/status") return Json(200, providers_.status());
  if (request.path == "/explain") return Explain(request);
  if (request.path == "/events") return EventsAfter(request);
  if (request.path == "/healthz") {
    const bool healthy = providers_.healthy();
    return Json(healthy ? 200 : 503, {{"healthy", healthy}});
  }
  return Problem(404, "no such path");
}

HttpServiceResponse AdminServer::Explain(const HttpServiceRequest& request) const {
  const auto explained = providers_.explain(ServiceName(request.Query("service")));
  if (explained.ok()) return Json(200, *explained);
  const bool unknown = explained.status().code() == absl::StatusCode::kNotFound;
  return Problem(unknown ? 404 : 500, MessageOf(explained.status()));
}

HttpServiceResponse AdminServer::EventsAfter(const HttpServiceRequest& request) const {
  const std::string text = request.Query("after", "0");
  std::uint64_t after = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, after);
  if (error != std::errc() || last != end) return Problem(400, "after is not a number");
  json events = json::array();
  for (const Event& event : providers_.events->EventsAfter(after)) events.push_back(ToJson(event));
  return Json(200, {{"process", providers_.events->process()}, {"events", std::move(events)}});
}

}  // namespace primroseweir
