#include "primroseweir/filters/detail/response_relay.h"

#include <chrono>
#include <utility>

#include "primroseweir/filters/call.h"
#include "primroseweir/filters/detail/attempt.h"
#include "primroseweir/filters/response_sink.h"
#include "primroseweir/http/message_writer.h"

namespace primroseweir::detail {
namespace {

// A response may outlast the call's deadline once its head has arrived; only the idle timeout
// limits it.
Instant NoDeadline() { return MonotonicNow() + std::chrono::hours(24); }

bool IsResumable(const Call& call, const ResponseHead& head) {
  const auto etag = head.fields.Get("ETag");
  return call.request->method == "GET" && !call.request->fields.Find("Range").has_value() &&
         head.status == 200 && head.body.kind == BodyKind::kLength && etag.size() > 2 &&
         etag.front() == '"' && head.fields.HasToken("Accept-Ranges", "bytes");
}

}  // namespace

ResponseRelay::ResponseRelay(Call* call, ResumeFunction resume)
    : call_(call), resume_(std::move(resume)) {}

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
  if (IsResumable(*call_, head)) {
    etag_ = head.fields.Get("ETag");
    content_length_ = head.body.length;
  }
  RemoveHopByHopFields(&head.fields);
  for (const char* name : {"X-Load", "X-Refused", "X-Leaving"}) {
    head.fields.Remove(name);
  }
  head.fields.Set("Primroseweir-Outcome", "ran");
  head.fields.Set("Primroseweir-Request-Id", call_->id.value());
  head.keep_alive = true;
  call_->sink->Begin(head);
}

// Errors: Unavailable, the connection to the upstream failed; Cancelled, the caller's failed.
absl::Status ResponseRelay::ForwardBody(Attempt* attempt) {
  bool is_complete = false;
  while (!is_complete) {
    const auto piece = attempt->connection()->TryReadBody();
    if (!piece.ok()) {
      return absl::UnavailableError(piece.status().message());
    }
    if (piece->has_value()) {
      auto status = ForwardPiece(attempt, **piece, &is_complete);
      if (!status.ok()) {
        return absl::CancelledError(status.message());
      }
      continue;
    }
    if (!call_->sink->Flush(NoDeadline()).ok()) {
      return absl::CancelledError("the response could not be written to the caller");
    }
    auto waited =
        attempt->connection()->socket()->WaitReadable(MonotonicNow() + limits_.body_idle_timeout);
    if (absl::IsDeadlineExceeded(waited)) {
      attempt->pooled_connection()->MarkUnresponsive();
      return absl::UnavailableError("the upstream's response exceeded the idle timeout");
    }
    if (!waited.ok()) {
      return waited;
    }
  }
  return absl::OkStatus();
}

absl::Status ResponseRelay::ForwardPiece(Attempt* attempt, std::string_view piece,
                                         bool* is_complete) {
  forwarded_ += piece.size();
  *is_complete = attempt->connection()->IsResponseComplete();
  return *is_complete ? call_->sink->End(piece, NoDeadline())
                      : call_->sink->Write(piece, NoDeadline());
}

bool ResponseRelay::ResumeFrom(std::unique_ptr<Attempt>* attempt) {
  if (etag_.empty() || forwarded_ >= content_length_) {
    return false;
  }
  auto resumed = resume_(forwarded_, etag_);
  if (resumed == nullptr || !IsContinuation(resumed.get())) {
    return false;
  }
  *attempt = std::move(resumed);
  return true;
}

// Accepts only exactly the missing bytes of the same representation.
bool ResponseRelay::IsContinuation(Attempt* attempt) const {
  const auto& head = *attempt->head();
  const auto range = "bytes " + std::to_string(forwarded_) + "-" +
                     std::to_string(content_length_ - 1) + "/" + std::to_string(content_length_);
  return head.status == 206 && head.fields.Get("ETag") == etag_ &&
         head.fields.Get("Content-Range") == range && head.body.kind == BodyKind::kLength &&
         head.body.length == content_length_ - forwarded_;
}

}  // namespace primroseweir::detail
