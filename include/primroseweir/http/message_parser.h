#ifndef PRIMROSEWEIR_HTTP_MESSAGE_PARSER_H_
#define PRIMROSEWEIR_HTTP_MESSAGE_PARSER_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstddef>
#include <memory>
#include <string>

#include "primroseweir/http/message_limits.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/http/response_head.h"

namespace primroseweir {

// Incremental reader of HTTP/1.x messages on http-parser, with the framing checks that http-parser
// leaves out: bare line feeds, folded fields, blanks in field names, contradictory or repeated
// framing fields and unknown transfer codings are errors.
//
// Errors: InvalidArgument, malformed or ambiguous; Unimplemented, unknown transfer coding;
// OutOfRange, the head exceeds the limits. After an error the parser accepts no further input.
class MessageParser {
 public:
  enum class Kind { kRequest, kResponse };

  explicit MessageParser(Kind kind, const MessageLimits& limits = MessageLimits());
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  // Forgets the present message. `bodiless` says that the next response answers a HEAD request.
  void Reset(bool bodiless = false);

  // Consumes input up to the end of the message and answers how many bytes that was. Decoded body
  // bytes are appended to `body`. Linear in `size`.
  absl::StatusOr<std::size_t> Feed(const char* data, std::size_t size, std::string* body);

  // The input ended. OK when that ends the message properly (body until close), else
  // InvalidArgument.
  absl::Status FeedEnd();

  // Whether any byte of the present message has arrived.
  bool started() const;
  bool head_complete() const;
  bool message_complete() const;

  // The head; valid once it is complete.
  RequestHead* request();
  ResponseHead* response();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_MESSAGE_PARSER_H_
