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

// Messages in both directions on one socket, with one bounded buffer each way.
class MessageStream {
 public:
  MessageStream(std::unique_ptr<SocketStream> socket, MessageParser::Kind incoming,
                const MessageLimits& limits);

  // ---- reading ----

  // Reads what has arrived and feeds the parser. True when it made progress, false when no byte is
  // there.
  absl::StatusOr<bool> Pump();
  // Waits for the head of the present message.
  absl::Status ReadHead(Instant deadline);
  // The next piece of the body, valid until the next call. Empty at the end of the message; nothing
  // when no byte is there.
  absl::StatusOr<std::optional<std::string_view>> TryReadBody();
  // As above, but waits. A pause above the progress limit is DeadlineExceeded.
  absl::StatusOr<std::string_view> ReadBody(Instant deadline);
  // Prepares for the next message; unread input is kept.
  void NextMessage(bool bodiless);

  // ---- writing ----

  // Starts a message; its head leaves with the first piece of the body, with Flush or with End.
  void Begin(std::string head, const BodyFraming& framing);
  // InvalidArgument when the pieces exceed the length that the head announced.
  absl::Status Write(std::string_view piece, Instant deadline);
  // FailedPrecondition when the pieces fall short of the announced length.
  absl::Status End(std::string_view last_piece, Instant deadline);
  absl::Status Flush(Instant deadline);

  SocketStream* socket() { return socket_.get(); }
  MessageParser* parser() { return &parser_; }
  const MessageLimits& limits() const { return limits_; }
  bool has_buffered_input() const { return begin_ < end_; }

 private:
  absl::Status Append(std::string_view piece);
  absl::Status FeedBuffer();

  static constexpr std::size_t kBufferBytes = std::size_t{16} * 1024;

  std::unique_ptr<SocketStream> socket_;
  const MessageLimits limits_;
  MessageParser parser_;
  std::array<char, kBufferBytes> input_;
  std::size_t begin_ = 0;
  std::size_t end_ = 0;
  std::string body_;
  bool body_taken_ = false;
  std::string output_;
  BodyFraming framing_;
  std::uint64_t written_ = 0;
};

}  // namespace primroseweir::detail

#endif  // PRIMROSEWEIR_HTTP_DETAIL_MESSAGE_STREAM_H_
