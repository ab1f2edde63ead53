#ifndef STANDINS_WIRE_HTTP_READER_H_
#define STANDINS_WIRE_HTTP_READER_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <http_parser.h>

#include <string>

#include "primroseweir/base/time.h"
#include "wire/http_head.h"
#include "wire/socket.h"

namespace primroseweir::standins {

// Reads HTTP/1.1 messages from a socket, one after the other; bodies can be read in pieces. Not
// thread-safe.
class HttpReader {
 public:
  enum class Kind { kRequests, kResponses };

  // `socket` must outlive the reader.
  HttpReader(Socket* socket, Kind kind);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // Reads the head of the next message. `body_allowed` is false for the response to a HEAD request.
  // Errors: OutOfRange, the peer closed the connection before the first byte; DataLoss, the message
  // is truncated or malformed; DeadlineExceeded; Unavailable, the connection was reset.
  absl::StatusOr<HttpHead> ReadHead(Instant deadline, bool body_allowed = true);

  // Reads the next piece of the body; empty at its end. Errors: as ReadHead.
  absl::StatusOr<std::string> ReadBodyPart(Instant deadline);

  // Reads the rest of the body. Errors: as ReadHead.
  absl::StatusOr<std::string> ReadBody(Instant deadline);

  // Returns whether another message may follow. Valid once the body has been read.
  bool keep_alive() const { return keep_alive_; }

 private:
  static HttpReader& Self(http_parser* parser) { return *static_cast<HttpReader*>(parser->data); }
  static int OnMessageBegin(http_parser* parser);
  static int OnTarget(http_parser* parser, const char* data, std::size_t size);
  static int OnFieldName(http_parser* parser, const char* data, std::size_t size);
  static int OnFieldValue(http_parser* parser, const char* data, std::size_t size);
  static int OnHeadComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnMessageComplete(http_parser* parser);
  static http_parser_settings MakeCallbacks();

  // Parses the buffered bytes; reads from the socket first when the buffer is empty.
  absl::Status ParseMore(Instant deadline);
  absl::Status ParseBuffer();

  Socket* socket_;
  http_parser parser_;
  http_parser_settings callbacks_;
  std::string buffer_;
  HttpHead head_;
  std::string body_;
  bool body_allowed_ = true;
  bool started_ = false;
  bool last_was_value_ = false;
  bool head_complete_ = false;
  bool message_complete_ = false;
  bool keep_alive_ = false;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_HTTP_READER_H_
