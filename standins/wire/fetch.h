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

// Sends one request on a new connection and reads the complete response. Adds the fields Host (if
// absent), Content-Length (except to a GET without a body) and Connection: close. `timeout` covers
// the whole exchange. Errors: as Socket and HttpReader.
absl::StatusOr<HttpResponse> Fetch(const SocketAddress& to, HttpHead request,
                                   const std::string& body, Duration timeout);

// Sends a GET request without further fields; otherwise as Fetch.
absl::StatusOr<HttpResponse> Get(const SocketAddress& to, const std::string& target,
                                 Duration timeout);

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_FETCH_H_
