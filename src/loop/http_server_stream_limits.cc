// Time limits of a caller's connection, and its end.
#include <algorithm>
#include <utility>

#include "primroseweir/loop/http_port.h"
#include "primroseweir/loop/http_server_stream.h"
#include "primroseweir/loop/pipelined_exchange.h"
#include "primroseweir/loop/request_sink.h"
#include "primroseweir/loop/tcp_stream.h"

namespace primroseweir {
namespace {

constexpr int kStatusRequestTimeout = 408;

}  // namespace

void HttpServerStream::OnEnd(bool /*clean*/) {
  if (state_ == State::kServing) {
    state_ = State::kLingering;
    DropRequestsAhead();
    port_->sink()->OnCallerDisconnected(current());
  }
  RemoveFromPort();
}

void HttpServerStream::OnWriteDrained() {
  UpdateBufferedBytes();
  if (state_ == State::kServing) {
    port_->sink()->OnCallerWritable(current());
    return;
  }
  // Requests may have waited in the input for the caller to read the responses before them.
  ResumeReading();
  if (state_ == State::kIdle && !is_parsing_ && !is_yielding_ && has_input()) {
    ParseInput();
  }
}

void HttpServerStream::CheckTimeouts(Instant now) {
  const auto progress_bytes = received_bytes_ + written_bytes_ -
                              std::min<std::uint64_t>(stream_->pending_bytes(), written_bytes_);
  const std::chrono::duration<double> seconds = now - last_check_at_;
  bytes_per_second_ =
      static_cast<double>(progress_bytes - std::min(last_progress_bytes_, progress_bytes)) /
      std::max(seconds.count(), 0.1);
  if (progress_bytes != std::exchange(last_progress_bytes_, progress_bytes)) {
    last_progress_at_ = now;
  }
  last_check_at_ = now;
  UpdateBufferedBytes();
  const auto limits = port_->limits();
  switch (state_) {
    case State::kIdle:
      if (port_->is_draining()) {
        CloseIfIdle(now);
      } else if (now - state_since_ > limits.idle_timeout) {
        if (IsWriting(now)) {
          state_since_ = now;
        } else {
          RemoveFromPort();
        }
      }
      break;
    case State::kReading:
      // While reading is held back, the caller can't make progress.
      if (is_held_back_) {
        break;
      }
      if (now - state_since_ >
              (is_head_checked_ ? Duration(kBodyIdleTimeout) : limits.head_timeout) ||
          now - request_started_ > std::max(Duration(kMaxBodyTime), limits.head_timeout)) {
        RejectRequest(kStatusRequestTimeout);
      }
      break;
    case State::kLingering:
      if (IsWriting(now)) {
        state_since_ = lingering_since_ = now;
      } else if (now - state_since_ > kLingerIdleTimeout ||
                 now - lingering_since_ > kMaxLingerTime) {
        RemoveFromPort();
      }
      break;
    case State::kServing:
      if (is_receiving_body_ && !is_body_paused_ && !is_held_back_ &&
          now - state_since_ > kStreamedBodyIdleTimeout) {
        RejectRequest(kStatusRequestTimeout);
      }
      break;
  }
}

bool HttpServerStream::IsWriting(Instant now) {
  const auto unacked_bytes = stream_->unacked_bytes();
  if (unacked_bytes == 0) {
    return false;
  }
  if (std::exchange(last_unacked_bytes_, unacked_bytes) != unacked_bytes) {
    write_progress_at_ = now;
  }
  return now - write_progress_at_ <= kStalledWriteTimeout &&
         now - request_started_ <= kMaxResponseWriteTime;
}

void HttpServerStream::CloseIfIdle(Instant now) {
  if (!IsBusy(now)) {
    RemoveFromPort();
  }
}

bool HttpServerStream::IsBusy(Instant now) const {
  if (state_ == State::kIdle) {
    const bool awaits_first_request =
        !has_served_request_ && now - state_since_ < kFirstRequestTimeout;
    return awaits_first_request || has_input() || stream_->pending_bytes() > 0 ||
           stream_->has_input();
  }
  return state_ != State::kLingering || stream_->pending_bytes() > 0;
}

void HttpServerStream::RemoveFromPort() {
  if (is_parsing_) {
    is_removal_pending_ = true;
    return;
  }
  // Destroys this stream.
  port_->Remove(this);
}

}  // namespace primroseweir
