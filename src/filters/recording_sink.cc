#include "primroseweir/filters/recording_sink.h"

#include "primroseweir/http/response_head.h"

namespace primroseweir {

void RecordingSink::Begin(const ResponseHead& head) {
  response_ = std::make_shared<StoredResponse>();
  response_->http_status = head.status;
  response_->fields = head.fields.Copies();
  next_->Begin(head);
}

void RecordingSink::Record(std::string_view piece) {
  if (response_ == nullptr) {
    return;
  }
  if (response_->body.size() + piece.size() > max_body_bytes_) {
    response_ = nullptr;
    return;
  }
  response_->body.append(piece);
}

absl::Status RecordingSink::Write(std::string_view piece, Instant deadline) {
  Record(piece);
  return next_->Write(piece, deadline);
}

absl::Status RecordingSink::Flush(Instant deadline) { return next_->Flush(deadline); }

absl::Status RecordingSink::End(std::string_view last_piece, Instant deadline) {
  Record(last_piece);
  is_complete_ = true;
  return next_->End(last_piece, deadline);
}

void RecordingSink::Abort() { next_->Abort(); }

std::shared_ptr<const StoredResponse> RecordingSink::RecordedResponse() {
  return is_complete_ ? response_ : nullptr;
}

}  // namespace primroseweir
