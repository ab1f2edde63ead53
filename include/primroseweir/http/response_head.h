#ifndef PRIMROSEWEIR_HTTP_RESPONSE_HEAD_H_
#define PRIMROSEWEIR_HTTP_RESPONSE_HEAD_H_

#include <string>

#include "primroseweir/http/body_framing.h"
#include "primroseweir/http/header_fields.h"

namespace primroseweir {

// Status line and fields of an answer. See RequestHead about the framing fields.
struct ResponseHead {
  int status = 200;
  // Reason phrase; empty means the usual one of the status.
  std::string reason;
  HeaderFields fields;
  BodyFraming body;
  // Whether the sender keeps the connection open after the answer.
  bool keep_alive = true;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_RESPONSE_HEAD_H_
