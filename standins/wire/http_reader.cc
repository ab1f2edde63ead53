#include "wire/http_reader.h"

#include <utility>

#include "primroseweir/base/error.h"

namespace primroseweir::standins {
namespace {

constexpr std::size_t kReadBufferBytes = 65536;

absl::Status ReadError(absl::StatusCode code, const std::string& message) {
  return MakeError(code, {"read message", ""}, message);
}

}  // namespace

HttpReader::HttpReader(Socket* socket, Kind kind) : socket_(socket), callbacks_(MakeCallbacks()) {
  http_parser_init(&parser_, kind == Kind::kRequests ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_.data = this;
}

http_parser_settings HttpReader::MakeCallbacks() {
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_message_begin = OnMessageBegin;
  callbacks.on_url = OnTarget;
  callbacks.on_header_field = OnFieldName;
  callbacks.on_header_value = OnFieldValue;
  callbacks.on_headers_complete = OnHeadComplete;
  callbacks.on_body = OnBody;
  callbacks.on_message_complete = OnMessageComplete;
  return callbacks;
}

int HttpReader::OnMessageBegin(http_parser* parser) {
  Self(parser).started_ = true;
  return 0;
}

int HttpReader::OnTarget(http_parser* parser, const char* data, std::size_t size) {
  Self(parser).head_.target.append(data, size);
  return 0;
}

int HttpReader::OnFieldName(http_parser* parser, const char* data, std::size_t size) {
  HttpReader& self = Self(parser);
  if (self.last_was_value_ || self.head_.fields.empty()) self.head_.fields.emplace_back();
  self.head_.fields.back().name.append(data, size);
  self.last_was_value_ = false;
  return 0;
}

int HttpReader::OnFieldValue(http_parser* parser, const char* data, std::size_t size) {
  HttpReader& self = Self(parser);
  self.head_.fields.back().value.append(data, size);
  self.last_was_value_ = true;
  return 0;
}

int HttpReader::OnHeadComplete(http_parser* parser) {
  HttpReader& self = Self(parser);
  self.head_complete_ = true;
  self.head_.status = static_cast<int>(parser->status_code);
  if (parser->type == HTTP_REQUEST) {
    self.head_.method = http_method_str(static_cast<http_method>(parser->method));
  }
  return self.body_allowed_ ? 0 : 1;
}

int HttpReader::OnBody(http_parser* parser, const char* data, std::size_t size) {
  Self(parser).body_.append(data, size);
  return 0;
}

int HttpReader::OnMessageComplete(http_parser* parser) {
  HttpReader& self = Self(parser);
  self.message_complete_ = true;
  self.keep_alive_ = http_should_keep_alive(parser) != 0;
  http_parser_pause(parser, 1);
  return 0;
}

absl::Status HttpReader::ParseBuffer() {
  const std::size_t parsed_bytes =
      http_parser_execute(&parser_, &callbacks_, buffer_.data(), buffer_.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error != HPE_OK && error != HPE_PAUSED) {
    return ReadError(absl::StatusCode::kDataLoss, http_errno_description(error));
  }
  buffer_.erase(0, parsed_bytes);
  return absl::OkStatus();
}

absl::Status HttpReader::ParseMore(Instant deadline) {
  if (!buffer_.empty()) return ParseBuffer();
  buffer_.resize(kReadBufferBytes);
  const auto received = socket_->ReadSome(buffer_.data(), buffer_.size(), deadline);
  buffer_.resize(received.ok() ? *received : 0);
  if (!received.ok()) return received.status();
  if (*received > 0) return ParseBuffer();
  if (!started_) return ReadError(absl::StatusCode::kOutOfRange, "closed");
  // A response without a length ends when the connection closes.
  http_parser_execute(&parser_, &callbacks_, nullptr, 0);
  if (message_complete_) return absl::OkStatus();
  return ReadError(absl::StatusCode::kDataLoss, "cut");
}

absl::StatusOr<HttpHead> HttpReader::ReadHead(Instant deadline, bool body_allowed) {
  http_parser_pause(&parser_, 0);
  head_ = {};
  body_.clear();
  body_allowed_ = body_allowed;
  started_ = last_was_value_ = head_complete_ = message_complete_ = keep_alive_ = false;
  while (!head_complete_) {
    if (auto status = ParseMore(deadline); !status.ok()) return status;
  }
  return head_;
}

absl::StatusOr<std::string> HttpReader::ReadBodyPart(Instant deadline) {
  while (body_.empty() && !message_complete_) {
    if (auto status = ParseMore(deadline); !status.ok()) return status;
  }
  return std::exchange(body_, std::string());
}

absl::StatusOr<std::string> HttpReader::ReadBody(Instant deadline) {
  std::string body;
  while (true) {
    auto part = ReadBodyPart(deadline);
    if (!part.ok()) return part.status();
    if (part->empty()) return body;
    body += *part;
  }
}

}  // namespace primroseweir::standins
