#ifndef STANDINS_WIRE_FETCH_H_
#define STANDINS_WIRE_FETCH_H_

#include <absl/status/statusor.h>

#include <string>

#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "wire/http_head.h"

namespace primroseweir::standins {

struct HttpResponse {
  HttpHead head;
  std::string body;
};

// Sends one request on a new connection and reads the whole answer. Adds Host (unless stated),
// Content-Length (when there is a body) and Connection: close. Errors: as Socket and HttpReader.
absl::StatusOr<HttpResponse> Fetch(const SocketAddress& to, HttpHead request,
                                   const std::string& body, Duration timeout);

// As above, for a GET without further fields.
absl::StatusOr<HttpResponse> Get(const SocketAddress& to, const std::string& target,
                                 Duration timeout);

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_FETCH_H_
