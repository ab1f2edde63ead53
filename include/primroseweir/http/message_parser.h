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

// Incremental parser of HTTP/1.x messages. Uses http-parser and adds the framing checks that
// http-parser omits: it rejects bare line feeds, folded fields, blanks in field names,
// contradictory or repeated framing fields and unknown transfer codings.
//
// Errors: InvalidArgument when the message is malformed or ambiguous, Unimplemented for an unknown
// transfer coding, OutOfRange when the head exceeds the limits. After an error the parser accepts
// no further input until Reset.
class MessageParser {
 public:
  enum class Kind { kRequest, kResponse };

  explicit MessageParser(Kind kind, const MessageLimits& limits = MessageLimits());
  ~MessageParser();
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;

  // Discards the current message. `is_response_to_head` states that the next message is the
  // response to a HEAD request and thus has no body.
  void Reset(bool is_response_to_head = false);

  // Consumes input up to the end of the message and returns the number of bytes consumed. Appends
  // decoded body bytes to `body`. Linear in `size`.
  absl::StatusOr<std::size_t> Feed(const char* data, std::size_t size, std::string* body);

  // Signals the end of the input. Returns InvalidArgument when the message is incomplete; the body
  // may end in this way only if it has neither a length nor chunks.
  absl::Status FeedEnd();

  // Returns whether any byte of the current message has been fed.
  bool has_started() const;
  bool is_head_complete() const;
  bool is_message_complete() const;

  // Return the head, valid once is_head_complete() is true.
  RequestHead* request();
  ResponseHead* response();

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_MESSAGE_PARSER_H_
