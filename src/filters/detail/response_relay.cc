#include "primroseweir/filters/detail/response_relay.h"

#include <chrono>
#include <utility>

#include "primroseweir/filters/call.h"
#include "primroseweir/filters/detail/attempt.h"
#include "primroseweir/filters/response_sink.h"
#include "primroseweir/http/message_writer.h"

namespace primroseweir::detail {
namespace {

// A download may outlast the call's deadline once its head has arrived; only its progress counts.
Instant NoDeadline() { return MonotonicNow() + std::chrono::hours(24); }

bool Resumable(const Call& call, const ResponseHead& head) {
  const auto etag = head.fields.Get("ETag");
  return call.request->method == "GET" && call.request->fields.Find("Range") == nullptr &&
         head.status == 200 && head.body.kind == BodyKind::kLength && etag.size() > 2 &&
         etag.front() == '"' && head.fields.HasToken("Accept-Ranges", "bytes");
}

}  // namespace

ResponseRelay::ResponseRelay(Call* call, Resume resume) : call_(call), resume_(std::move(resume)) {}

absl::Status ResponseRelay::Forward(std::unique_ptr<Attempt>* attempt) {
  Begin(**attempt);
  auto status = ForwardBody(attempt->get());
  if (absl::IsUnavailable(status) && ResumeFrom(attempt)) {
    status = ForwardBody(attempt->get());
  }
  if (!status.ok()) {
    call_->sink->Abort();
  }
  return status;
}

void ResponseRelay::Begin(const Attempt& attempt) {
  ResponseHead head = *attempt.head();
  if (Resumable(*call_, head)) {
    etag_ = head.fields.Get("ETag");
    length_ = head.body.length;
  }
  RemoveConnectionFields(&head.fields);
  for (const char* name : {"X-Load", "X-Refused", "X-Leaving"}) {
    head.fields.Remove(name);
  }
  head.fields.Set("Primroseweir-Outcome", "ran");
  head.fields.Set("Primroseweir-Request-Id", call_->id.value());
  head.keep_alive = true;
  call_->sink->Begin(head);
}

// Unavailable: the upstream's side broke. Cancelled: the caller's side did.
absl::Status ResponseRelay::ForwardBody(Attempt* attempt) {
  bool ended = false;
  while (!ended) {
    const auto piece = attempt->connection()->TryReadBody();
    if (!piece.ok()) {
      return absl::UnavailableError(piece.status().message());
    }
    if (piece->has_value()) {
      auto status = ForwardPiece(attempt, **piece, &ended);
      if (!status.ok()) {
        return absl::CancelledError(status.message());
      }
      continue;
    }
    if (!call_->sink->Flush(NoDeadline()).ok()) {
      return absl::CancelledError("the caller takes no more");
    }
    auto waited =
        attempt->connection()->socket()->WaitReadable(MonotonicNow() + limits_.body_idle_timeout);
    if (absl::IsDeadlineExceeded(waited)) {
      attempt->pooled()->MarkUnresponsive();
      return absl::UnavailableError("the upstream's answer went silent");
    }
    if (!waited.ok()) {
      return waited;
    }
  }
  return absl::OkStatus();
}

absl::Status ResponseRelay::ForwardPiece(Attempt* attempt, std::string_view piece, bool* ended) {
  forwarded_ += piece.size();
  *ended = attempt->connection()->IsResponseComplete();
  return *ended ? call_->sink->End(piece, NoDeadline()) : call_->sink->Write(piece, NoDeadline());
}

bool ResponseRelay::ResumeFrom(std::unique_ptr<Attempt>* attempt) {
  if (etag_.empty() || forwarded_ >= length_) {
    return false;
  }
  auto next = resume_(forwarded_, etag_);
  if (next == nullptr || !IsContinuation(next.get())) {
    return false;
  }
  *attempt = std::move(next);
  return true;
}

// Only the missing rest of the very same representation may follow.
bool ResponseRelay::IsContinuation(Attempt* attempt) const {
  const auto& head = *attempt->head();
  const auto range = "bytes " + std::to_string(forwarded_) + "-" + std::to_string(length_ - 1) +
                     "/" + std::to_string(length_);
  return head.status == 206 && head.fields.Get("ETag") == etag_ &&
         head.fields.Get("Content-Range") == range && head.body.kind == BodyKind::kLength &&
         head.body.length == length_ - forwarded_;
}

}  // namespace primroseweir::detail
