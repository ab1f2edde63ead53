#ifndef PRIMROSEWEIR_ADMIN_HTTP_SERVICE_H_
#define PRIMROSEWEIR_ADMIN_HTTP_SERVICE_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

#include "primroseweir/admin/http_message.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {

// Serves one function over HTTP on cxxtools::http::Server, for operators and for stand-ins. The
// call path does not use it (docs/design.md, section 3). A handler that waits occupies one thread.
class HttpService {
 public:
  using Handler = std::function<HttpServiceResponse(const HttpServiceRequest&)>;

  struct Options {
    // Port 0 takes a free one.
    SocketAddress address;
    // Handlers that may run at a time.
    unsigned threads = 8;
  };

  // Binds and starts to serve; `handler` is called in several threads.
  // Errors: Unavailable when the address can't be bound, with the address as the peer.
  static absl::StatusOr<std::unique_ptr<HttpService>> Start(const Options& options,
                                                            Handler handler);

  // Closes the port and all connections. Waits for handlers that are running.
  ~HttpService();
  HttpService(const HttpService&) = delete;
  HttpService& operator=(const HttpService&) = delete;

  // The address in use, with the port that was chosen.
  const SocketAddress& address() const;

 private:
  class Implementation;
  explicit HttpService(std::unique_ptr<Implementation> implementation);
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ADMIN_HTTP_SERVICE_H_
