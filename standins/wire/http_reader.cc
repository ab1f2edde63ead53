#include "wire/http_reader.h"

#include <utility>

#include "primroseweir/base/error.h"

namespace primroseweir::standins {
namespace {

constexpr std::size_t kReadBytes = 65536;

absl::Status Lost(absl::StatusCode code, const std::string& message) {
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
  callbacks.on_message_begin = OnStart;
  callbacks.on_url = OnTarget;
  callbacks.on_header_field = OnName;
  callbacks.on_header_value = OnValue;
  callbacks.on_headers_complete = OnHeadDone;
  callbacks.on_body = OnBody;
  callbacks.on_message_complete = OnDone;
  return callbacks;
}

int HttpReader::OnStart(http_parser* parser) {
  Self(parser).started_ = true;
  return 0;
}

int HttpReader::OnTarget(http_parser* parser, const char* data, std::size_t size) {
  Self(parser).head_.target.append(data, size);
  return 0;
}

int HttpReader::OnName(http_parser* parser, const char* data, std::size_t size) {
  HttpReader& self = Self(parser);
  if (self.value_last_ || self.head_.fields.empty()) self.head_.fields.emplace_back();
  self.head_.fields.back().name.append(data, size);
  self.value_last_ = false;
  return 0;
}

int HttpReader::OnValue(http_parser* parser, const char* data, std::size_t size) {
  HttpReader& self = Self(parser);
  self.head_.fields.back().value.append(data, size);
  self.value_last_ = true;
  return 0;
}

int HttpReader::OnHeadDone(http_parser* parser) {
  HttpReader& self = Self(parser);
  self.head_done_ = true;
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

int HttpReader::OnDone(http_parser* parser) {
  HttpReader& self = Self(parser);
  self.done_ = true;
  self.keep_alive_ = http_should_keep_alive(parser) != 0;
  http_parser_pause(parser, 1);
  return 0;
}

absl::Status HttpReader::Parse() {
  const std::size_t used =
      http_parser_execute(&parser_, &callbacks_, buffer_.data(), buffer_.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (error != HPE_OK && error != HPE_PAUSED) {
    return Lost(absl::StatusCode::kDataLoss, http_errno_description(error));
  }
  buffer_.erase(0, used);
  return absl::OkStatus();
}

absl::Status HttpReader::Step(Instant deadline) {
  if (!buffer_.empty()) return Parse();
  buffer_.resize(kReadBytes);
  const auto got = socket_->ReadSome(buffer_.data(), buffer_.size(), deadline);
  buffer_.resize(got.ok() ? *got : 0);
  if (!got.ok()) return got.status();
  if (*got > 0) return Parse();
  if (!started_) return Lost(absl::StatusCode::kOutOfRange, "closed");
  // An answer without a length ends with the connection.
  http_parser_execute(&parser_, &callbacks_, nullptr, 0);
  if (done_) return absl::OkStatus();
  return Lost(absl::StatusCode::kDataLoss, "cut");
}

absl::StatusOr<HttpHead> HttpReader::ReadHead(Instant deadline, bool body_allowed) {
  http_parser_pause(&parser_, 0);
  head_ = {};
  body_.clear();
  body_allowed_ = body_allowed;
  started_ = value_last_ = head_done_ = done_ = keep_alive_ = false;
  while (!head_done_) {
    if (auto status = Step(deadline); !status.ok()) return status;
  }
  return head_;
}

absl::StatusOr<std::string> HttpReader::ReadBodyPart(Instant deadline) {
  while (body_.empty() && !done_) {
    if (auto status = Step(deadline); !status.ok()) return status;
  }
  return std::exchange(body_, std::string());
}

absl::StatusOr<std::string> HttpReader::ReadBody(Instant deadline) {
  std::string all;
  while (true) {
    auto part = ReadBodyPart(deadline);
    if (!part.ok()) return part.status();
    if (part->empty()) return all;
    all += *part;
  }
}

}  // namespace primroseweir::standins
