#ifndef PRIMROSEWEIR_HTTP_REQUEST_HEAD_H_
#define PRIMROSEWEIR_HTTP_REQUEST_HEAD_H_

#include <string>

#include "primroseweir/http/body_framing.h"
#include "primroseweir/http/header_fields.h"

namespace primroseweir {

// Request line and header fields of a request. `fields` holds Content-Length, Transfer-Encoding and
// Connection as received; SerializeHead replaces them according to `body` and `keep_alive`.
struct RequestHead {
  std::string method = "GET";
  std::string target = "/";
  // Minor version of HTTP/1.x.
  int minor_version = 1;
  HeaderFields fields;
  BodyFraming body;
  // Whether the caller keeps the connection open after the response.
  bool keep_alive = true;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_REQUEST_HEAD_H_
