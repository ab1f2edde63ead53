#include "primroseweir/gateway/upstream_attempt.h"

#include <utility>

#include "primroseweir/balance/load_balancer.h"
#include "primroseweir/gateway/routed_call.h"
#include "primroseweir/gateway/upstream_connection_pool.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_client_stream.h"

namespace primroseweir {

UpstreamAttempt::UpstreamAttempt(const Dependencies& dependencies,
                                 std::shared_ptr<BalancedUpstream> upstream, RoutedCall* call,
                                 ConnectionReuse reuse, Instant now)
    : dependencies_(dependencies),
      upstream_(std::move(upstream)),
      call_(call),
      started_at_(now),
      occupancy_(upstream_->occupancy(now) + 1),
      slowness_(upstream_->slowness(now)),
      connect_timer_(dependencies.loop, [this] { OnFailure(Failure::kConnect); }),
      overdue_timer_(dependencies.loop, [this] { OnOverdue(); }) {
  dependencies_.balancer->RecordStart(upstream_.get(), now);
  if (dependencies_.queue != nullptr) {
    dependencies_.queue->RecordAttempt(dependencies_.claim, now);
  }
  stream_ = dependencies_.pool->Acquire(upstream_, reuse, now);
  if (!stream_->is_connected()) {
    connect_timer_.Start(kConnectTimeout);
  }
}

UpstreamAttempt::~UpstreamAttempt() {
  Finish(UpstreamOutcome::kCancelled, EventLoop::Now());
  if (is_complete_ && stream_ != nullptr) {
    dependencies_.pool->Return(upstream_, std::move(stream_));
  }
}

void UpstreamAttempt::Send(const RequestHead& head, const std::string& body,
                           const std::string& echo_field, const std::string& echo_value) {
  has_more_body_ = head.body.kind == BodyKind::kChunked || body.size() < head.body.length;
  stream_->Send(head, body, {echo_field, echo_value}, this);
}

void UpstreamAttempt::SendPiece(const std::string& piece, bool last) {
  stream_->SendPiece(piece, last);
  if (last && std::exchange(has_more_body_, false) && has_sent_ && !is_finished_) {
    started_at_ = EventLoop::Now();
    StartResponseTimer();
  }
}

std::size_t UpstreamAttempt::pending_bytes() const { return stream_->pending_bytes(); }

void UpstreamAttempt::Finish(UpstreamOutcome outcome, Instant now) {
  if (!std::exchange(is_finished_, true)) {
    overdue_timer_.Cancel();
    dependencies_.balancer->RecordEnd(upstream_.get(), outcome, started_at_, occupancy_, now);
    if (dependencies_.queue != nullptr) {
      dependencies_.queue->RecordEnd(dependencies_.claim);
    }
  }
}

void UpstreamAttempt::OnSent() {
  has_sent_ = true;
  connect_timer_.Cancel();
  if (!has_more_body_) {
    StartResponseTimer();
  }
  // Sending more of the body may end the call, and with it this attempt: the rest of the body may
  // violate its framing or the limits.
  call_->OnAttemptSent(EventLoop::Now());
}

void UpstreamAttempt::OnWriteDrained() { call_->OnAttemptWriteDrained(); }

void UpstreamAttempt::StartResponseTimer() {
  overdue_after_ =
      dependencies_.balancer->LatencyEstimate(upstream_->record().service) * kOverdueFactor;
  overdue_timer_.Start(overdue_after_);
}

// Reports the missing response before the attempt ends, so that other calls avoid the upstream.
void UpstreamAttempt::OnOverdue() {
  const auto now = EventLoop::Now();
  dependencies_.balancer->RecordOverdue(upstream_.get(), started_at_, now);
  call_->OnAttemptOverdue(*this, now);
  if (has_unidentified_error_) {
    OnFailure(Failure::kUnidentified);
    return;
  }
  overdue_after_ *= kOverdueFactor;
  overdue_timer_.Start(overdue_after_);
}

void UpstreamAttempt::OnUnidentifiedError() {
  // An upstream that refuses a request early may not read the rest of its body, so the wait for the
  // response starts here if it has not yet.
  if (!std::exchange(has_unidentified_error_, true) && has_more_body_) {
    StartResponseTimer();
  }
}

void UpstreamAttempt::OnResponse(ResponseHead* head, std::string piece, bool is_complete) {
  has_unidentified_error_ = false;
  is_complete_ = is_complete;
  call_->OnAttemptResponse(this, head, piece, is_complete);
}

void UpstreamAttempt::OnFailure(Failure failure) { call_->OnAttemptFailure(this, failure); }

}  // namespace primroseweir
