#include "primroseweir/admin/http_service.h"

#include <cxxtools/query_params.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <string>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/http/http_server.h"
#include "primroseweir/http/request_handler.h"
#include "primroseweir/http/response_head.h"
#include "primroseweir/http/server_connection.h"

namespace primroseweir {
namespace {

constexpr auto kBodyTimeout = std::chrono::seconds(60);
constexpr int kBodyTooLarge = 413;
constexpr unsigned kInternalError = 500;

std::map<std::string, std::string> DecodeQuery(const std::string& text) {
  std::map<std::string, std::string> query;
  cxxtools::QueryParams parameters;
  parameters.parse_url(text);
  for (std::size_t start = 0; start < text.size();) {
    const std::size_t end = std::min(text.find('&', start), text.size());
    const std::string name = text.substr(start, std::min(text.find('=', start), end) - start);
    if (!name.empty()) query.emplace(name, parameters.param(name));
    start = end + 1;
  }
  return query;
}

}  // namespace

std::string HttpServiceRequest::Query(const std::string& name, const std::string& fallback) const {
  const auto found = query.find(name);
  return found == query.end() ? fallback : found->second;
}

class HttpService::Implementation : public RequestHandler {
 public:
  Implementation(const Options& options, Handler handler)
      : handler_(std::move(handler)), max_body_bytes_(options.max_body_bytes) {
    HttpServer::Options server_options;
    server_options.address = options.address;
    server_options.max_connections = options.max_connections;
    server_ = std::make_unique<HttpServer>(server_options, this);
  }

  ~Implementation() override { server_->CloseAll(); }

  absl::Status Start() {
    auto status = server_->Start();
    address_ = server_->address();
    return status;
  }

  const SocketAddress& address() const { return address_; }

  void Handle(ServerConnection* connection) override {
    HttpServiceRequest service_request;
    const auto status = ReadBody(connection, &service_request.body);
    if (!status.ok()) {
      HandleFault(connection, HttpStatusOfFault(status), status);
      return;
    }
    if (service_request.body.size() > max_body_bytes_) {
      HandleFault(connection, kBodyTooLarge, absl::OutOfRangeError("body is too large"));
      return;
    }
    const auto& request = *connection->request();
    const auto query_mark = request.target.find('?');
    service_request.method = request.method;
    service_request.path = request.target.substr(0, query_mark);
    if (query_mark != std::string::npos) {
      service_request.query = DecodeQuery(request.target.substr(query_mark + 1));
    }
    service_request.authorization = request.fields.Get("Authorization");
    service_request.peer_ip = connection->socket()->peer_ip();
    service_request.peer_ip.resize(
        std::min(service_request.peer_ip.find(':'), service_request.peer_ip.size()));
    HttpServiceResponse response;
    try {
      response = handler_(service_request);
    } catch (const std::exception& error) {
      // The JSON library throws, for example for text that is not UTF-8.
      response.status = kInternalError;
      response.content_type = "text/plain";
      response.body = "internal error\n";
    }
    ResponseHead head;
    head.status = static_cast<int>(response.status);
    head.fields.Add("Content-Type", response.content_type);
    for (const auto& [name, value] : response.fields) {
      head.fields.Add(name, value);
    }
    // A failed write ends the connection, which the client notices.
    connection->Respond(std::move(head), response.body).IgnoreError();
  }

 private:
  // Reads up to the end of the body, or until it exceeds max_body_bytes_.
  absl::Status ReadBody(ServerConnection* connection, std::string* body) const {
    const auto deadline = MonotonicNow() + kBodyTimeout;
    while (body->size() <= max_body_bytes_) {
      const auto piece = connection->ReadBody(deadline);
      if (!piece.ok() || piece->empty()) {
        return piece.status();
      }
      body->append(*piece);
    }
    return absl::OkStatus();
  }

  const Handler handler_;
  const std::size_t max_body_bytes_;
  std::unique_ptr<HttpServer> server_;
  SocketAddress address_;
};

HttpService::HttpService(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

HttpService::~HttpService() = default;

const SocketAddress& HttpService::address() const { return implementation_->address(); }

absl::StatusOr<std::unique_ptr<HttpService>> HttpService::Start(const Options& options,
                                                                Handler handler) {
  auto implementation = std::make_unique<Implementation>(options, std::move(handler));
  const auto status = implementation->Start();
  if (!status.ok()) {
    return MakeError(absl::StatusCode::kUnavailable, {"bind", options.address.ToString()},
                     std::string(status.message()));
  }
  return std::unique_ptr<HttpService>(new HttpService(std::move(implementation)));
}

}  // namespace primroseweir
