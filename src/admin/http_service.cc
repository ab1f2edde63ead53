#include "primroseweir/admin/http_service.h"

#include <arpa/inet.h>
#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>
#include <unistd.h>

#include <algorithm>
#include <exception>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>

#include "primroseweir/base/error.h"

namespace primroseweir {
namespace {

// cxxtools does not report which port it bound, so port 0 is replaced by a free port beforehand.
// Another process may bind that port first; then another free port is tried.
constexpr int kMaxBindAttempts = 16;
constexpr unsigned kKeepAliveTimeoutMilliseconds = 60'000;
// Limits memory, since a body is buffered completely.
constexpr std::size_t kMaxBodyBytes = 2 << 20;

// Returns a port that is free at `ip`, or 0 on failure.
std::uint16_t FindFreePort(const std::string& ip) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  if (descriptor < 0) return 0;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  socklen_t length = sizeof(address);
  const bool is_bound =
      ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
      ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  ::close(descriptor);
  return is_bound ? ntohs(address.sin_port) : 0;
}

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

class HandlerResponder : public cxxtools::http::Responder {
 public:
  HandlerResponder(cxxtools::http::Service& service, const HttpService::Handler& handler)
      : cxxtools::http::Responder(service), handler_(handler) {}

  void beginRequest(cxxtools::net::TcpSocket& socket, std::istream& in,
                    cxxtools::http::Request& request) override {
    cxxtools::http::Responder::beginRequest(socket, in, request);
    const std::string peer = socket.getPeerAddr();
    peer_ip_ = peer.substr(0, peer.find(':'));
  }

  std::size_t readBody(std::istream& in) override {
    const std::size_t size = cxxtools::http::Responder::readBody(in);
    body_bytes_ += size;
    if (body_bytes_ > kMaxBodyBytes) throw std::runtime_error("request body is larger than 2 MiB");
    return size;
  }

  void reply(std::ostream& out, cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    HttpServiceRequest service_request;
    service_request.method = request.method();
    service_request.path = request.url();
    service_request.query = DecodeQuery(request.qparams());
    service_request.body = request.bodyStr();
    const char* authorization = request.getHeader("Authorization");
    if (authorization != nullptr) service_request.authorization = authorization;
    service_request.peer_ip = peer_ip_;
    const HttpServiceResponse response = handler_(service_request);
    reply.httpReturn(response.status, response.status < 400 ? "OK" : "Error");
    reply.setHeader("Content-Type", response.content_type.c_str());
    for (const auto& [name, value] : response.fields) {
      reply.setHeader(name.c_str(), value.c_str());
    }
    out << response.body;
  }

 private:
  const HttpService::Handler& handler_;
  std::string peer_ip_;
  std::size_t body_bytes_ = 0;
};

class HandlerService : public cxxtools::http::Service {
 public:
  explicit HandlerService(HttpService::Handler handler) : handler_(std::move(handler)) {}

 protected:
  cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override {
    return new HandlerResponder(*this, handler_);
  }
  void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

 private:
  const HttpService::Handler handler_;
};

}  // namespace

std::string HttpServiceRequest::Query(const std::string& name, const std::string& fallback) const {
  const auto found = query.find(name);
  return found == query.end() ? fallback : found->second;
}

class HttpService::Implementation {
 public:
  Implementation(const Options& options, Handler handler)
      : service_(std::move(handler)), server_(std::make_unique<cxxtools::http::Server>(loop_)) {
    server_->minThreads(2);
    server_->maxThreads(options.threads + 2);
    server_->keepAliveTimeout(cxxtools::Milliseconds(kKeepAliveTimeoutMilliseconds));
    server_->addService(cxxtools::Regex("^/"), service_);
    Bind(options.address);
    thread_ = std::thread([this] { loop_.run(); });
  }

  ~Implementation() {
    loop_.exit();
    thread_.join();
    server_.reset();
  }

  const SocketAddress& address() const { return address_; }

 private:
  void Bind(const SocketAddress& requested) {
    const int max_attempts = requested.port == 0 ? kMaxBindAttempts : 1;
    for (int attempt = 1;; ++attempt) {
      address_ = requested;
      if (requested.port == 0) address_.port = FindFreePort(requested.ip);
      try {
        server_->listen(address_.ip, address_.port);
        return;
      } catch (const std::exception&) {
        if (attempt == max_attempts) throw;
      }
    }
  }

  cxxtools::EventLoop loop_;
  HandlerService service_;
  std::unique_ptr<cxxtools::http::Server> server_;
  SocketAddress address_;
  std::thread thread_;
};

HttpService::HttpService(std::unique_ptr<Implementation> implementation)
    : implementation_(std::move(implementation)) {}

HttpService::~HttpService() = default;

const SocketAddress& HttpService::address() const { return implementation_->address(); }

absl::StatusOr<std::unique_ptr<HttpService>> HttpService::Start(const Options& options,
                                                                Handler handler) {
  try {
    return std::unique_ptr<HttpService>(
        new HttpService(std::make_unique<Implementation>(options, std::move(handler))));
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kUnavailable, {"bind", options.address.ToString()},
                     error.what());
  }
}

}  // namespace primroseweir
