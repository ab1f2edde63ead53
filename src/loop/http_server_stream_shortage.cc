// What a caller's connection holds, and how it releases that when memory or connections run short.
#include <utility>

#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/http_server_stream.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/tcp_stream.h"

namespace primroseweir {
namespace {

constexpr int kStatusUnavailable = 503;

}  // namespace

std::uint32_t HttpServerStream::caller_address() {
  if (peer_address_ == 0) {
    peer_address_ = stream_->peer_address();
  }
  return peer_address_;
}

ConnectionLoad HttpServerStream::Load(Instant now) {
  ConnectionLoad load;
  load.held_bytes = static_cast<std::uint64_t>(charged_bytes_);
  load.bytes_per_second = bytes_per_second_;
  load.stalled_for = now - last_progress_at_;
  load.address = caller_address();
  // A paused body waits for its upstream, and input after many requests in one turn for the next.
  const bool has_much_input =
      !is_receiving_body_ && input_.size() - input_begin_ > kMaxPipelinedBytes;
  load.waits_for_caller =
      !is_yielding_ &&
      (state_ != State::kServing || (is_receiving_body_ && !is_body_paused_) ||
       stream_->pending_bytes() > 0 || has_much_input || HeldAheadBytes() > kMaxHeldAheadBytes);
  load.has_been_served = has_served_request_;
  return load;
}

void HttpServerStream::Evict(ConnectionRegistry::Shortage shortage) {
  const bool is_request_incomplete =
      is_receiving_body_ || (state_ == State::kReading && is_head_checked_);
  if (shortage == ConnectionRegistry::Shortage::kMemory && is_request_incomplete) {
    RejectRequest(kStatusUnavailable);
  } else if (state_ == State::kServing || stream_->pending_bytes() > 0) {
    AbortUnreadResponse();
  } else {
    RemoveFromPort();
  }
}

void HttpServerStream::AbortUnreadResponse() {
  if (std::exchange(state_, State::kLingering) == State::kServing) {
    DropRequestsAhead();
    port_->sink()->OnCallerDisconnected(current());
  }
  // A reset shows the caller that the response is not complete.
  stream_->Reset();
  RemoveFromPort();
}

void HttpServerStream::Continue() {
  state_since_ = last_progress_at_ = Now();
  if (std::exchange(is_held_back_, false) && !is_reading_paused_) {
    stream_->ResumeReading();
  }
}

}  // namespace primroseweir
