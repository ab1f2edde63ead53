#include "primroseweir/gateway/upstream_attempt.h"

#include <utility>

#include "primroseweir/balance/upstream_book.h"
#include "primroseweir/gateway/routed_call.h"
#include "primroseweir/gateway/upstream_pool.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_client_stream.h"

namespace primroseweir {

UpstreamAttempt::UpstreamAttempt(const Services& services,
                                 std::shared_ptr<BalancedUpstream> upstream, RoutedCall* call,
                                 bool at_most_once, Instant now)
    : services_(services),
      upstream_(std::move(upstream)),
      call_(call),
      started_(now),
      occupancy_(upstream_->occupancy(now) + 1),
      slowness_(upstream_->slowness(now)),
      connect_timer_(services.loop, [this] { OnFailure(Failure::kConnect); }),
      overdue_timer_(services.loop, [this] { OnOverdue(); }) {
  services_.book->NoteStart(upstream_.get(), now);
  stream_ = services_.pool->Take(upstream_, at_most_once, now);
  if (!stream_->connected()) {
    connect_timer_.Start(kConnectTimeout);
  }
}

UpstreamAttempt::~UpstreamAttempt() {
  Finish(AttemptResult::kCancelled, EventLoop::Now());
  if (whole_ && stream_ != nullptr) {
    services_.pool->Put(upstream_, std::move(stream_));
  }
}

void UpstreamAttempt::Send(const RequestHead& head, const std::string& body,
                           const std::string& echo_field, const std::string& echo_value) {
  sending_ = head.body.kind == BodyKind::kChunked || body.size() < head.body.length;
  stream_->Send(head, body, {echo_field, echo_value}, this);
}

void UpstreamAttempt::SendPiece(const std::string& piece, bool last) {
  stream_->SendPiece(piece, last);
  if (last && std::exchange(sending_, false) && sent_ && !finished_) {
    started_ = EventLoop::Now();
    StartClock();
  }
}

std::size_t UpstreamAttempt::pending() const { return stream_->pending(); }

void UpstreamAttempt::Finish(AttemptResult result, Instant now) {
  if (!std::exchange(finished_, true)) {
    overdue_timer_.Cancel();
    services_.book->NoteEnd(upstream_.get(), result, started_, occupancy_, now);
  }
}

void UpstreamAttempt::OnSent() {
  sent_ = true;
  call_->OnAttemptSent(EventLoop::Now());
  connect_timer_.Cancel();
  if (!sending_) {
    StartClock();
  }
}

void UpstreamAttempt::OnTaken() { call_->OnAttemptTaken(); }

void UpstreamAttempt::StartClock() {
  overdue_after_ = services_.book->Usual(upstream_->record().service) * kOverdueFactor;
  overdue_timer_.Start(overdue_after_);
}

// Other calls shall avoid the upstream before this attempt ends.
void UpstreamAttempt::OnOverdue() {
  const auto now = EventLoop::Now();
  services_.book->NoteUnanswered(upstream_.get(), started_, now);
  call_->OnAttemptOverdue(*this, now);
  overdue_after_ *= kOverdueFactor;
  overdue_timer_.Start(overdue_after_);
}

void UpstreamAttempt::OnAnswer(ResponseHead* head, std::string piece, bool whole) {
  whole_ = whole;
  call_->OnAttemptAnswer(this, head, piece, whole);
}

void UpstreamAttempt::OnFailure(Failure failure) { call_->OnAttemptFailure(this, failure); }

}  // namespace primroseweir
