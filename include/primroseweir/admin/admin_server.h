#ifndef PRIMROSEWEIR_ADMIN_ADMIN_SERVER_H_
#define PRIMROSEWEIR_ADMIN_ADMIN_SERVER_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "primroseweir/admin/http_message.h"
#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {

class EventLog;
class HttpService;
class Metrics;

// Read-only HTTP server on the admin port of an instance. Every request needs the operator token.
//   /metrics            metrics in the Prometheus text format
//   /status             JSON of the status provider
//   /explain?service=S  JSON of the explain provider; 404 for an unknown service
//   /events?after=N     buffered events with a number above N, in order
//   /healthz            200 if the healthy provider returns true, else 503
class AdminServer {
 public:
  // Sources of the responses; called in the threads of the server.
  struct Providers {
    std::function<nlohmann::json()> status;
    // Errors: NotFound when there is no such service. Other errors give status 500.
    std::function<absl::StatusOr<nlohmann::json>(const ServiceName&)> explain;
    std::function<bool()> is_healthy;
    // `events` and `metrics` outlive the server.
    const EventLog* events = nullptr;
    const Metrics* metrics = nullptr;
  };

  struct Options {
    SocketAddress address;
    // From the settings; never empty.
    std::string operator_token;
  };

  // Binds the address and starts the server. Errors: InvalidArgument when the token is empty,
  // Unavailable when the address can't be bound.
  static absl::StatusOr<std::unique_ptr<AdminServer>> Start(const Options& options,
                                                            Providers providers);
  ~AdminServer();

  const SocketAddress& address() const;

 private:
  AdminServer(std::string operator_token, Providers providers);
  HttpServiceResponse Respond(const HttpServiceRequest& request) const;
  HttpServiceResponse RespondToExplain(const HttpServiceRequest& request) const;
  HttpServiceResponse RespondToEvents(const HttpServiceRequest& request) const;

  const std::string operator_token_;
  const Providers providers_;
  std::unique_ptr<HttpService> service_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_ADMIN_SERVER_H_
