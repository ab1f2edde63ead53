#include "primroseweir/http/detail/message_stream.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "primroseweir/base/time.h"

namespace primroseweir::detail {

MessageStream::MessageStream(std::unique_ptr<SocketStream> socket, MessageParser::Kind incoming,
                             const MessageLimits& limits)
    : socket_(std::move(socket)), limits_(limits), parser_(incoming, limits) {}

// ---- reading ----

absl::StatusOr<bool> MessageStream::FeedAvailableInput() {
  if (is_body_returned_) {
    body_.clear();
    is_body_returned_ = false;
  }
  if (input_begin_ < input_end_) {
    auto status = FeedBufferedInput();
    return status.ok() ? absl::StatusOr<bool>(true) : status;
  }
  auto count = socket_->Read(input_.data(), input_.size());
  if (!count.ok()) {
    return count.status();
  }
  if (!count->has_value()) {
    return false;
  }
  if (**count == 0) {
    auto end_status = parser_.FeedEnd();
    return end_status.ok() ? absl::StatusOr<bool>(true)
                           : absl::UnavailableError("connection closed early");
  }
  input_begin_ = 0;
  input_end_ = **count;
  auto status = FeedBufferedInput();
  return status.ok() ? absl::StatusOr<bool>(true) : status;
}

absl::Status MessageStream::FeedBufferedInput() {
  auto consumed = parser_.Feed(input_.data() + input_begin_, input_end_ - input_begin_, &body_);
  if (!consumed.ok()) {
    return consumed.status();
  }
  input_begin_ += *consumed;
  return absl::OkStatus();
}

absl::Status MessageStream::ReadHead(Instant deadline) {
  while (!parser_.is_head_complete()) {
    auto progressed = FeedAvailableInput();
    if (!progressed.ok()) {
      return progressed.status();
    }
    if (!*progressed) {
      auto status = socket_->WaitReadable(deadline);
      if (!status.ok()) {
        return status;
      }
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<std::optional<std::string_view>> MessageStream::TryReadBody() {
  while (true) {
    if (!is_body_returned_ && !body_.empty()) {
      is_body_returned_ = true;
      return std::optional<std::string_view>(body_);
    }
    if (parser_.is_message_complete()) {
      return std::optional<std::string_view>(std::string_view());
    }
    auto progressed = FeedAvailableInput();
    if (!progressed.ok()) {
      return progressed.status();
    }
    if (!*progressed) {
      return std::optional<std::string_view>();
    }
  }
}

absl::StatusOr<std::string_view> MessageStream::ReadBody(Instant deadline) {
  while (true) {
    auto piece = TryReadBody();
    if (!piece.ok()) {
      return piece.status();
    }
    if (piece->has_value()) {
      return **piece;
    }
    const auto limit = std::min(deadline, MonotonicNow() + limits_.body_idle_timeout);
    auto status = socket_->WaitReadable(limit);
    if (!status.ok()) {
      return status;
    }
  }
}

void MessageStream::StartNextMessage(bool is_response_to_head) {
  parser_.Reset(is_response_to_head);
  body_.clear();
  is_body_returned_ = false;
}

// ---- writing ----

void MessageStream::Begin(std::string head, const BodyFraming& framing) {
  output_ = std::move(head);
  framing_ = framing;
  body_bytes_written_ = 0;
}

absl::Status MessageStream::AppendBody(std::string_view piece) {
  if (piece.empty()) {
    return absl::OkStatus();
  }
  body_bytes_written_ += piece.size();
  if (framing_.kind == BodyKind::kNone ||
      (framing_.kind == BodyKind::kLength && body_bytes_written_ > framing_.length)) {
    return absl::InvalidArgumentError("body exceeds its announced length");
  }
  if (framing_.kind != BodyKind::kChunked) {
    output_.append(piece);
    return absl::OkStatus();
  }
  std::array<char, 24> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
  output_.append(size.data(), static_cast<std::size_t>(length)).append(piece).append("\r\n");
  return absl::OkStatus();
}

absl::Status MessageStream::Write(std::string_view piece, Instant deadline) {
  auto status = AppendBody(piece);
  return status.ok() ? Flush(deadline) : status;
}

absl::Status MessageStream::End(std::string_view last_piece, Instant deadline) {
  auto status = AppendBody(last_piece);
  if (!status.ok()) {
    return status;
  }
  if (framing_.kind == BodyKind::kLength && body_bytes_written_ != framing_.length) {
    return absl::FailedPreconditionError("body falls short of its announced length");
  }
  if (framing_.kind == BodyKind::kChunked) {
    output_.append("0\r\n\r\n");
  }
  return Flush(deadline);
}

absl::Status MessageStream::Flush(Instant deadline) {
  auto status = socket_->Write(output_, deadline, limits_.body_idle_timeout);
  output_.clear();
  return status;
}

}  // namespace primroseweir::detail
