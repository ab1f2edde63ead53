#ifndef PRIMROSEWEIR_HTTP_REQUEST_HEAD_H_
#define PRIMROSEWEIR_HTTP_REQUEST_HEAD_H_

#include <string>

#include "primroseweir/http/body_framing.h"
#include "primroseweir/http/header_fields.h"

namespace primroseweir {

// Request line and fields of a request. The fields that frame the message (Content-Length,
// Transfer-Encoding, Connection) are in `fields` as received; the writer replaces them by `body`.
struct RequestHead {
  std::string method = "GET";
  std::string target = "/";
  // Minor number of HTTP/1.x.
  int minor_version = 1;
  HeaderFields fields;
  BodyFraming body;
  // Whether the caller accepts further answers on the connection.
  bool keep_alive = true;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_REQUEST_HEAD_H_
