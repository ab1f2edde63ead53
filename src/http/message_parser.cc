#include "primroseweir/http/message_parser.h"

#include <http_parser.h>

#include <algorithm>
#include <string>
#include <string_view>

#include "primroseweir/base/compact_append.h"
#include "primroseweir/http/detail/chunk_scanner.h"

namespace primroseweir {
namespace {

absl::Status Malformed(const std::string& reason) { return absl::InvalidArgumentError(reason); }

// Validates the raw lines of a head, since http-parser is more lenient than the standard allows.
class HeadScanner {
 public:
  void Reset() { *this = HeadScanner(); }

  // Scans up to the end of the head and returns the number of bytes scanned. Returns
  // InvalidArgument with the reason when a line is malformed.
  absl::StatusOr<std::size_t> Scan(const char* data, std::size_t size) {
    std::size_t position = 0;
    while (position < size && !is_done_) {
      auto status = ScanByte(data[position++]);
      if (!status.ok()) {
        return status;
      }
    }
    return position;
  }

  std::size_t bytes() const { return scanned_bytes_; }

 private:
  absl::Status ScanByte(char c) {
    ++scanned_bytes_;
    if (previous_byte_ == '\r' && c != '\n') {
      return Malformed("carriage return without line feed");
    }
    if (c == '\n' && previous_byte_ != '\r') {
      return Malformed("line feed without carriage return");
    }
    if (complete_lines_ > 0 && line_length_ == 0 && (c == ' ' || c == '\t')) {
      return Malformed("folded header field");
    }
    if (c == '\n') {
      EndLine();
    } else if (c != '\r') {
      ++line_length_;
    }
    previous_byte_ = c;
    return absl::OkStatus();
  }

  void EndLine() {
    if (line_length_ > 0) {
      ++complete_lines_;
    } else if (complete_lines_ > 0) {
      is_done_ = true;
    }
    line_length_ = 0;
  }

  std::size_t scanned_bytes_ = 0;
  std::size_t complete_lines_ = 0;
  std::size_t line_length_ = 0;
  char previous_byte_ = 0;
  bool is_done_ = false;
};

// Returns whether `text` is a decimal number of at most 18 digits, which fits 64 bits.
bool IsDecimal(std::string_view text) {
  return !text.empty() && text.size() <= 18 &&
         std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

// Returns the body framing that Content-Length and Transfer-Encoding describe. Returns an error
// when two parsers could frame the message differently, as in request smuggling.
absl::StatusOr<BodyFraming> FramingOf(const HeaderFields& fields, int minor_version) {
  const auto lengths = fields.Count("Content-Length");
  const auto codings = fields.Count("Transfer-Encoding");
  if (lengths > 1 || codings > 1) {
    return Malformed("repeated framing field");
  }
  if (lengths == 1 && codings == 1) {
    return Malformed("both Content-Length and Transfer-Encoding");
  }
  if (codings == 1) {
    if (!EqualsIgnoreCase(*fields.Find("Transfer-Encoding"), "chunked")) {
      return absl::UnimplementedError("unknown transfer coding");
    }
    if (minor_version == 0) {
      return Malformed("Transfer-Encoding in HTTP/1.0");
    }
    return BodyFraming{BodyKind::kChunked, 0};
  }
  if (lengths == 0) {
    return BodyFraming{};
  }
  const std::string text(*fields.Find("Content-Length"));
  if (!IsDecimal(text)) {
    return Malformed("Content-Length is not a number");
  }
  return BodyFraming{BodyKind::kLength, std::stoull(text)};
}

bool IsFieldName(const std::string& name) {
  return !name.empty() && std::all_of(name.begin(), name.end(),
                                      [](char c) { return c > ' ' && c != 127 && c != ':'; });
}

}  // namespace

class MessageParser::Implementation {
 public:
  Implementation(Kind kind, const MessageLimits& limits) : kind_(kind), limits_(limits) {
    http_parser_settings_init(&settings_);
    settings_.on_url = &OnUrl;
    settings_.on_status = &OnReason;
    settings_.on_header_field = &OnField;
    settings_.on_header_value = &OnValue;
    settings_.on_headers_complete = &OnHeadComplete;
    settings_.on_body = &OnBody;
    settings_.on_message_complete = &OnMessageComplete;
    Reset(false);
  }

  void Reset(bool is_response_to_head) {
    http_parser_init(&parser_, kind_ == Kind::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
    head_scanner_.Reset();
    chunk_scanner_.Reset();
    status_ = absl::OkStatus();
    request_ = RequestHead();
    response_ = ResponseHead();
    request_.target.clear();
    field_name_.clear();
    field_value_.clear();
    is_in_value_ = false;
    is_response_to_head_ = is_response_to_head;
    is_started_ = is_head_complete_ = is_message_complete_ = false;
  }

  absl::StatusOr<std::size_t> Feed(const char* data, std::size_t size, std::string* body) {
    if (!status_.ok()) {
      return status_;
    }
    if (size == 0 || is_message_complete_) {
      return std::size_t{0};
    }
    is_started_ = true;
    body_ = body;
    std::size_t consumed = 0;
    if (!is_head_complete_) {
      consumed = FeedHead(data, size);
    }
    if (status_.ok() && is_head_complete_ && !is_message_complete_ && consumed < size) {
      consumed += FeedBody(data + consumed, size - consumed);
    }
    body_ = nullptr;
    return status_.ok() ? absl::StatusOr<std::size_t>(consumed) : status_;
  }

  absl::Status FeedEnd() {
    if (!status_.ok() || is_message_complete_) {
      return status_;
    }
    http_parser_execute(&parser_, &settings_, nullptr, 0);
    if (!is_message_complete_) {
      status_ = Malformed("message ended early");
    }
    return status_;
  }

  bool is_started_ = false;
  bool is_head_complete_ = false;
  bool is_message_complete_ = false;
  RequestHead request_;
  ResponseHead response_;

 private:
  static Implementation* Self(http_parser* parser) {
    return static_cast<Implementation*>(parser->data);
  }

  std::size_t FeedHead(const char* data, std::size_t size) {
    auto length = head_scanner_.Scan(data, size);
    status_ = length.status();
    if (status_.ok() && head_scanner_.bytes() > limits_.max_head_bytes) {
      status_ = absl::OutOfRangeError("head is too large");
    }
    return status_.ok() ? Execute(data, *length) : 0;
  }

  std::size_t FeedBody(const char* data, std::size_t size) {
    if ((kind_ == Kind::kRequest ? request_.body : response_.body).kind == BodyKind::kChunked) {
      status_ = chunk_scanner_.Scan(data, size);
    }
    return status_.ok() ? Execute(data, size) : 0;
  }

  std::size_t Execute(const char* data, std::size_t size) {
    const std::size_t consumed = http_parser_execute(&parser_, &settings_, data, size);
    const auto code = HTTP_PARSER_ERRNO(&parser_);
    if (status_.ok() && code != HPE_OK && code != HPE_PAUSED) {
      status_ = Malformed(http_errno_description(code));
    }
    return consumed;
  }

  HeaderFields* fields() { return kind_ == Kind::kRequest ? &request_.fields : &response_.fields; }

  // ---- callbacks ----

  static int OnUrl(http_parser* parser, const char* data, std::size_t size) {
    Self(parser)->request_.target.append(data, size);
    return 0;
  }

  static int OnReason(http_parser* parser, const char* data, std::size_t size) {
    Self(parser)->response_.reason.append(data, size);
    return 0;
  }

  static int OnField(http_parser* parser, const char* data, std::size_t size) {
    auto* self = Self(parser);
    if (self->is_in_value_) {
      self->FinishField();
    }
    self->field_name_.append(data, size);
    return self->status_.ok() ? 0 : 1;
  }

  static int OnValue(http_parser* parser, const char* data, std::size_t size) {
    auto* self = Self(parser);
    self->is_in_value_ = true;
    self->field_value_.append(data, size);
    return 0;
  }

  // Adds the current field to the head. Fields after the head are trailers and are discarded.
  void FinishField() {
    if (!is_head_complete_ && !field_name_.empty()) {
      AddField();
    }
    field_name_.clear();
    field_value_.clear();
    is_in_value_ = false;
  }

  void AddField() {
    if (!IsFieldName(field_name_)) {
      status_ = Malformed("invalid header field name");
    }
    if (fields()->all().size() >= limits_.max_fields) {
      status_ = absl::OutOfRangeError("too many header fields");
    }
    const auto last_non_blank = field_value_.find_last_not_of(" \t");
    field_value_.resize(last_non_blank == std::string::npos ? 0 : last_non_blank + 1);
    fields()->Add(field_name_, field_value_);
  }

  static int OnHeadComplete(http_parser* parser) {
    auto* self = Self(parser);
    self->FinishField();
    if (self->status_.ok()) {
      self->status_ =
          self->kind_ == Kind::kRequest ? self->CompleteRequest() : self->CompleteResponse();
    }
    if (!self->status_.ok()) {
      return -1;
    }
    self->is_head_complete_ = true;
    // Upgrades are not supported; the message is parsed as an ordinary one.
    parser->upgrade = 0;
    return self->is_response_to_head_ ? 1 : 0;
  }

  absl::Status CompleteRequest() {
    request_.fields.ReleaseSpareMemory();
    if (parser_.http_major != 1 || parser_.http_minor > 1) {
      return Malformed("HTTP version is neither 1.0 nor 1.1");
    }
    request_.method = http_method_str(static_cast<http_method>(parser_.method));
    request_.minor_version = parser_.http_minor;
    request_.keep_alive = http_should_keep_alive(&parser_) != 0;
    if (request_.target.empty() || request_.target[0] != '/') {
      return Malformed("target is not an absolute path");
    }
    const auto hosts = request_.fields.Count("Host");
    if (hosts > 1 || (hosts == 0 && request_.minor_version == 1)) {
      return Malformed("not exactly one Host field");
    }
    auto framing = FramingOf(request_.fields, request_.minor_version);
    if (framing.ok()) {
      request_.body = *framing;
    }
    return framing.status();
  }

  absl::Status CompleteResponse() {
    if (parser_.http_major != 1 || parser_.http_minor > 1) {
      return Malformed("HTTP version is neither 1.0 nor 1.1");
    }
    response_.status = static_cast<int>(parser_.status_code);
    auto framing = FramingOf(response_.fields, parser_.http_minor);
    if (!framing.ok()) {
      return framing.status();
    }
    response_.body = *framing;
    const int status = response_.status;
    if (is_response_to_head_ || status == 204 || status == 304 || status < 200) {
      response_.body.kind = BodyKind::kNone;
    } else if (response_.body.kind == BodyKind::kNone) {
      response_.body.kind = BodyKind::kUntilClose;
    }
    response_.keep_alive =
        response_.body.kind != BodyKind::kUntilClose && http_should_keep_alive(&parser_) != 0;
    return absl::OkStatus();
  }

  static int OnBody(http_parser* parser, const char* data, std::size_t size) {
    auto* self = Self(parser);
    if (self->body_ != nullptr) {
      AppendCompactly(self->body_, {data, size});
    }
    return 0;
  }

  static int OnMessageComplete(http_parser* parser) {
    Self(parser)->is_message_complete_ = true;
    http_parser_pause(parser, 1);
    return 0;
  }

  const Kind kind_;
  const MessageLimits limits_;
  http_parser parser_{};
  http_parser_settings settings_{};
  HeadScanner head_scanner_;
  detail::ChunkScanner chunk_scanner_;
  absl::Status status_;
  std::string field_name_;
  std::string field_value_;
  bool is_in_value_ = false;
  bool is_response_to_head_ = false;
  std::string* body_ = nullptr;
};

MessageParser::MessageParser(Kind kind, const MessageLimits& limits)
    : implementation_(std::make_unique<Implementation>(kind, limits)) {}
MessageParser::~MessageParser() = default;

void MessageParser::Reset(bool is_response_to_head) { implementation_->Reset(is_response_to_head); }

absl::StatusOr<std::size_t> MessageParser::Feed(const char* data, std::size_t size,
                                                std::string* body) {
  return implementation_->Feed(data, size, body);
}

absl::Status MessageParser::FeedEnd() { return implementation_->FeedEnd(); }
bool MessageParser::has_started() const { return implementation_->is_started_; }
bool MessageParser::is_head_complete() const { return implementation_->is_head_complete_; }
bool MessageParser::is_message_complete() const { return implementation_->is_message_complete_; }
RequestHead* MessageParser::request() { return &implementation_->request_; }
ResponseHead* MessageParser::response() { return &implementation_->response_; }

}  // namespace primroseweir
