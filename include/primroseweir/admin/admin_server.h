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

// The admin port of an instance: read only, for operators with the token.
//   /metrics            Prometheus text
//   /status             JSON of the status provider
//   /explain?service=S  JSON of the explain provider; 404 for an unknown service
//   /events?after=N     events of the ring after number N, in order
//   /healthz            200 while the instance serves, else 503
class AdminServer {
 public:
  // Where the answers come from; called in the server's threads.
  struct Providers {
    std::function<nlohmann::json()> status;
    // Error NotFound when there is no such service.
    std::function<absl::StatusOr<nlohmann::json>(const ServiceName&)> explain;
    std::function<bool()> healthy;
    const EventLog* events = nullptr;
    const Metrics* metrics = nullptr;
  };

  struct Options {
    SocketAddress address;
    // From the settings; never empty.
    std::string operator_token;
  };

  // Errors: InvalidArgument, the token is empty; Unavailable, the address can't be bound.
  static absl::StatusOr<std::unique_ptr<AdminServer>> Start(const Options& options,
                                                            Providers providers);
  ~AdminServer();

  const SocketAddress& address() const;

 private:
  AdminServer(std::string operator_token, Providers providers);
  HttpServiceResponse Respond(const HttpServiceRequest& request) const;
  HttpServiceResponse Explain(const HttpServiceRequest& request) const;
  HttpServiceResponse EventsAfter(const HttpServiceRequest& request) const;

  const std::string operator_token_;
  const Providers providers_;
  std::unique_ptr<HttpService> service_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_ADMIN_SERVER_H_
