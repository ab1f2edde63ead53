#ifndef PRIMROSEWEIR_HTTP_HTTP_SERVER_H_
#define PRIMROSEWEIR_HTTP_HTTP_SERVER_H_

#include <absl/status/status.h>

#include <cstddef>
#include <memory>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/http/message_limits.h"

namespace primroseweir {

class RequestHandler;

// Listens on an address and serves each connection in a thread of its own.
class HttpServer {
 public:
  struct Options {
    // Port 0 picks a free one.
    SocketAddress address;
    std::size_t max_connections = 1024;
    // Small stacks let thousands of connections share little memory.
    std::size_t stack_bytes = std::size_t{256} * 1024;
    MessageLimits limits;
  };

  // `handler` outlives the server; null when set_handler follows.
  HttpServer(const Options& options, RequestHandler* handler);
  // Stops and waits for all connections.
  ~HttpServer();

  // Binds the address; connections wait until Start. Errors: Unavailable, the address can't be
  // bound.
  absl::Status Listen();
  // Sets the handler; call before Start.
  void set_handler(RequestHandler* handler);
  // Starts to serve; listens first if that has not been done.
  absl::Status Start();
  // The address with the port that was bound.
  SocketAddress address() const;

  // Accepts no further connection. Kept connections close after their present answer, idle ones at
  // once; new ones without a request yet have 1 s to send its first byte.
  void StopAccepting();
  // Waits until no connection is open.
  void WaitUntilIdle();
  std::size_t connections() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_HTTP_SERVER_H_
