#ifndef PRIMROSEWEIR_HTTP_REQUEST_HANDLER_H_
#define PRIMROSEWEIR_HTTP_REQUEST_HANDLER_H_

#include <absl/status/status.h>

namespace primroseweir {

class ServerConnection;

// Serves the requests of an HttpServer. Called by many threads at once.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;

  // Answers the request whose head has been read. A handler that returns without a whole answer has
  // the connection reset.
  virtual void Handle(ServerConnection* connection) = 0;

  // Answers a request whose head is malformed, too large or late; the connection closes afterwards.
  // The default is an empty answer with `http_status`.
  virtual void HandleFault(ServerConnection* connection, int http_status,
                           const absl::Status& fault);

  // Answers a connection above the limit; it closes afterwards. The default is an empty 503.
  virtual void HandleOverflow(ServerConnection* connection);
};

// Status of the answer to a request with that fault: 400, 408, 431 or 501.
int HttpStatusOfFault(const absl::Status& fault);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_REQUEST_HANDLER_H_
