#ifndef PRIMROSEWEIR_HTTP_RESPONSE_HEAD_H_
#define PRIMROSEWEIR_HTTP_RESPONSE_HEAD_H_

#include <string>

#include "primroseweir/http/body_framing.h"
#include "primroseweir/http/header_fields.h"

namespace primroseweir {

// Status line and header fields of a response. The framing fields are handled as in RequestHead.
struct ResponseHead {
  int status = 200;
  // Reason phrase; if empty, the standard phrase of `status` is sent.
  std::string reason;
  HeaderFields fields;
  BodyFraming body;
  // Whether the sender keeps the connection open after the response.
  bool keep_alive = true;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_RESPONSE_HEAD_H_
