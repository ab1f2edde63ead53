#ifndef PRIMROSEWEIR_HTTP_HTTP_SERVER_H_
#define PRIMROSEWEIR_HTTP_HTTP_SERVER_H_

#include <absl/status/status.h>

#include <cstddef>
#include <memory>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/http/message_limits.h"

namespace primroseweir {

class RequestHandler;

// Listens on an address and serves each connection in a separate thread.
class HttpServer {
 public:
  struct Options {
    // Port 0 selects a free port at random.
    SocketAddress address;
    std::size_t max_connections = 1024;
    // Stack size of a connection's thread; small, so that thousands of connections need little
    // memory.
    std::size_t stack_bytes = std::size_t{256} * 1024;
    MessageLimits limits;
  };

  // `handler` must outlive the server. It may be null if set_handler is called before Start.
  HttpServer(const Options& options, RequestHandler* handler);
  // Calls StopAccepting and WaitUntilIdle.
  ~HttpServer();

  // Binds the address. Connections that arrive before Start wait in the listen backlog. Returns
  // Unavailable when the address can't be bound.
  absl::Status Listen();
  // Sets the request handler. Must be called before Start.
  void set_handler(RequestHandler* handler);
  // Starts to accept connections, after Listen if that has not been called.
  absl::Status Start();
  // Returns the address with the bound port.
  SocketAddress address() const;

  // Stops accepting connections and lets the open ones drain. A connection with a request in flight
  // closes after the response, an idle one closes at once; a new connection that has not sent a
  // request yet has 1 s to send the first byte.
  void StopAccepting();
  // Stops accepting connections and closes the open ones as soon as they wait for their peers.
  // Blocks until running handlers have returned. For servers whose peers need no complete response.
  void CloseAll();
  // Blocks until no connection is open.
  void WaitUntilIdle();
  std::size_t connection_count() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_HTTP_SERVER_H_
