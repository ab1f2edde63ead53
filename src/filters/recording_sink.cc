#include "primroseweir/filters/recording_sink.h"

#include "primroseweir/http/response_head.h"

namespace primroseweir {

void RecordingSink::Begin(const ResponseHead& head) {
  answer_ = std::make_shared<StoredAnswer>();
  answer_->http_status = head.status;
  answer_->fields = head.fields.all();
  next_->Begin(head);
}

void RecordingSink::Record(std::string_view piece) {
  if (answer_ == nullptr) {
    return;
  }
  if (answer_->body.size() + piece.size() > limit_) {
    answer_ = nullptr;
    return;
  }
  answer_->body.append(piece);
}

absl::Status RecordingSink::Write(std::string_view piece, Instant deadline) {
  Record(piece);
  return next_->Write(piece, deadline);
}

absl::Status RecordingSink::Flush(Instant deadline) { return next_->Flush(deadline); }

absl::Status RecordingSink::End(std::string_view last_piece, Instant deadline) {
  Record(last_piece);
  whole_ = true;
  return next_->End(last_piece, deadline);
}

void RecordingSink::Abort() { next_->Abort(); }

std::shared_ptr<const StoredAnswer> RecordingSink::Take() { return whole_ ? answer_ : nullptr; }

}  // namespace primroseweir
