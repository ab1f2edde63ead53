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

// Reads HTTP/1.1 messages one after the other from a socket, the body in pieces.
class HttpReader {
 public:
  enum class Kind { kRequests, kResponses };

  // `socket` must outlive the reader.
  HttpReader(Socket* socket, Kind kind);
  HttpReader(const HttpReader&) = delete;
  HttpReader& operator=(const HttpReader&) = delete;

  // The head of the next message. `body_allowed` is false for the answer to a HEAD request.
  // Errors: OutOfRange, orderly end before the first byte; DataLoss, cut or malformed;
  // DeadlineExceeded; Unavailable, reset.
  absl::StatusOr<HttpHead> ReadHead(Instant deadline, bool body_allowed = true);

  // The next piece of the body; empty at its end. Errors as for ReadHead.
  absl::StatusOr<std::string> ReadBodyPart(Instant deadline);

  // The rest of the body. Errors as for ReadHead.
  absl::StatusOr<std::string> ReadBody(Instant deadline);

  // Whether another message may follow; valid once the body was read.
  bool keep_alive() const { return keep_alive_; }

 private:
  static HttpReader& Self(http_parser* parser) { return *static_cast<HttpReader*>(parser->data); }
  static int OnStart(http_parser* parser);
  static int OnTarget(http_parser* parser, const char* data, std::size_t size);
  static int OnName(http_parser* parser, const char* data, std::size_t size);
  static int OnValue(http_parser* parser, const char* data, std::size_t size);
  static int OnHeadDone(http_parser* parser);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnDone(http_parser* parser);
  static http_parser_settings MakeCallbacks();

  // Parses what is buffered, after reading more when nothing is.
  absl::Status Step(Instant deadline);
  absl::Status Parse();

  Socket* socket_;
  http_parser parser_;
  http_parser_settings callbacks_;
  std::string buffer_;
  HttpHead head_;
  std::string body_;
  bool body_allowed_ = true;
  bool started_ = false;
  bool value_last_ = false;
  bool head_done_ = false;
  bool done_ = false;
  bool keep_alive_ = false;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_WIRE_HTTP_READER_H_
