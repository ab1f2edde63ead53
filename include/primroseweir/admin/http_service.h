#ifndef PRIMROSEWEIR_ADMIN_HTTP_SERVICE_H_
#define PRIMROSEWEIR_ADMIN_HTTP_SERVICE_H_

#include <absl/status/statusor.h>

#include <cstddef>
#include <functional>
#include <memory>

#include "primroseweir/admin/http_message.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {

// Serves HTTP requests with a handler function, for the admin port and the test servers in
// standins/. Built on HttpServer, since cxxtools::http::Server limits neither the head of a request
// nor the number of connections. A handler that blocks occupies one connection.
class HttpService {
 public:
  using Handler = std::function<HttpServiceResponse(const HttpServiceRequest&)>;

  struct Options {
    // With port 0, a free port is chosen.
    SocketAddress address;
    // Number of connections, and so of handlers that may run concurrently.
    std::size_t max_connections = 64;
    // Larger bodies are rejected with 413. Limits memory, since a body is buffered completely.
    std::size_t max_body_bytes = std::size_t{2} * 1024 * 1024;
  };

  // Binds the address and starts to serve. `handler` is called in several threads at the same time.
  // Errors: Unavailable when the address can't be bound, with the address as peer of the origin.
  static absl::StatusOr<std::unique_ptr<HttpService>> Start(const Options& options,
                                                            Handler handler);

  // Closes the port and all connections. Blocks until running handlers have returned.
  ~HttpService();
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;

  // The bound address, with the chosen port if port 0 was requested.
  const SocketAddress& address() const;

 private:
  class Implementation;
  explicit HttpService(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_HTTP_SERVICE_H_
