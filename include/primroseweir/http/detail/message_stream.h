#ifndef PRIMROSEWEIR_HTTP_DETAIL_MESSAGE_STREAM_H_
#define PRIMROSEWEIR_HTTP_DETAIL_MESSAGE_STREAM_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "primroseweir/http/message_limits.h"
#include "primroseweir/http/message_parser.h"
#include "primroseweir/http/socket_stream.h"

namespace primroseweir::detail {

// Reads and writes HTTP messages on one socket. Buffers at most 16 KiB of unparsed input and,
// for output, the head and one piece of the body.
class MessageStream {
 public:
  MessageStream(std::unique_ptr<SocketStream> socket, MessageParser::Kind incoming,
                const MessageLimits& limits);

  // ---- reading ----

  // Feeds available input to the parser without blocking. Returns false when no input is available.
  // Returns Unavailable when the connection ends before the message does.
  absl::StatusOr<bool> FeedAvailableInput();
  // Blocks until the head of the current message is complete.
  absl::Status ReadHead(Instant deadline);
  // Returns the next piece of the body, valid until the next call. The piece is empty at the end of
  // the message; the result is nullopt when no input is available.
  absl::StatusOr<std::optional<std::string_view>> TryReadBody();
  // Like TryReadBody, but blocks. Returns DeadlineExceeded when no input arrives for
  // MessageLimits::body_idle_timeout or until `deadline`.
  absl::StatusOr<std::string_view> ReadBody(Instant deadline);
  // Resets the parser for the next message; unread input is kept. `is_response_to_head` as in
  // MessageParser::Reset.
  void StartNextMessage(bool is_response_to_head);

  // ---- writing ----

  // Starts a message. Its head is sent with the first piece of the body, or by Flush or End.
  void Begin(std::string head, const BodyFraming& framing);
  // Sends a piece of the body. Returns InvalidArgument when the body exceeds the length that the
  // head announced.
  absl::Status Write(std::string_view piece, Instant deadline);
  // Sends the last piece and ends the message. Returns InvalidArgument as Write does, and
  // FailedPrecondition when the body falls short of the announced length.
  absl::Status End(std::string_view last_piece, Instant deadline);
  absl::Status Flush(Instant deadline);

  SocketStream* socket() { return socket_.get(); }
  MessageParser* parser() { return &parser_; }
  const MessageLimits& limits() const { return limits_; }
  bool has_buffered_input() const { return input_begin_ < input_end_; }

 private:
  absl::Status AppendBody(std::string_view piece);
  absl::Status FeedBufferedInput();

  static constexpr std::size_t kInputBufferBytes = std::size_t{16} * 1024;

  std::unique_ptr<SocketStream> socket_;
  const MessageLimits limits_;
  MessageParser parser_;
  std::array<char, kInputBufferBytes> input_;
  std::size_t input_begin_ = 0;
  std::size_t input_end_ = 0;
  std::string body_;
  bool is_body_returned_ = false;
  std::string output_;
  BodyFraming framing_;
  std::uint64_t body_bytes_written_ = 0;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_HTTP_DETAIL_MESSAGE_STREAM_H_
