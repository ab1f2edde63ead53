#ifndef PRIMROSEWEIR_HTTP_REQUEST_HANDLER_H_
#define PRIMROSEWEIR_HTTP_REQUEST_HANDLER_H_

#include <absl/status/status.h>

namespace primroseweir {

class ServerConnection;

// Handles the requests of an HttpServer. Called by many threads concurrently.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  // Responds to the request whose head has been read. The connection is reset if the handler
  // returns before the response is complete.
  virtual void Handle(ServerConnection* connection) = 0;

  // Responds to a request whose head is malformed, too large or late; the connection closes
  // afterwards. By default sends an empty response with `http_status`.
  virtual void HandleFault(ServerConnection* connection, int http_status,
                           const absl::Status& fault);

  // Responds on a connection above the connection limit, without reading a request; the connection
  // closes afterwards. By default sends an empty 503.
  virtual void HandleOverflow(ServerConnection* connection);
};

// Returns the HTTP status for a request that failed with `fault`: 400, 408, 431 or 501.
int HttpStatusOfFault(const absl::Status& fault);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_REQUEST_HANDLER_H_
