#ifndef PRIMROSEWEIR_STANDINS_CONFIGURATION_CONFIGURATION_SERVICE_H_
#define PRIMROSEWEIR_STANDINS_CONFIGURATION_CONFIGURATION_SERVICE_H_

#include <absl/status/status.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "primroseweir/admin/http_message.h"
#include "primroseweir/base/socket_address.h"
#include "value_store.h"

namespace primroseweir {
class HttpService;
}

namespace primroseweir::standin {

// The stand-in configuration service. Its read ports serve GET /v1/values/KEY with the parameters
// `after` (a revision) and `wait_ms`, its control port serves tests. Several read ports simulate
// replicas of the service, some of which may be stale.
class ConfigurationService {
 public:
  ConfigurationService();
  ~ConfigurationService();

  // Opens all ports. Errors: Unavailable when a port can't be bound.
  absl::Status Start(const std::vector<SocketAddress>& read_addresses,
                     const SocketAddress& control_address);

  // Handles a request to the control port.
  HttpServiceResponse Control(const HttpServiceRequest& request);

  ValueStore& values() { return values_; }
  const std::vector<SocketAddress>& read_addresses() const { return read_addresses_; }
  SocketAddress control_address() const;

 private:
  HttpServiceResponse Read(const HttpServiceRequest& request, const std::string& service_address);
  // Opens the read ports and ends an outage. Errors: as Start.
  absl::Status OpenReadPorts();
  // Starts an outage: ends waiting reads and closes the read ports.
  void CloseReadPorts();

  ValueStore values_;
  std::vector<SocketAddress> read_addresses_;
  std::mutex read_ports_mutex_;
  std::vector<std::unique_ptr<HttpService>> read_ports_;
  std::unique_ptr<HttpService> control_port_;
};

}  // namespace primroseweir::standin

#endif  // PRIMROSEWEIR_STANDINS_CONFIGURATION_CONFIGURATION_SERVICE_H_
