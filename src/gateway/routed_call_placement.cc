// Placement of a call: picking an upstream, waiting for probes or in the admission queue, hedging,
// and sending the request and its body.
#include <algorithm>
#include <chrono>
#include <utility>

#include "primroseweir/balance/balanced_upstream.h"
#include "primroseweir/balance/windowed_retry_budget.h"
#include "primroseweir/gateway/call_header_names.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/gateway/routed_call.h"
#include "primroseweir/gateway/upstream_attempt.h"
#include "primroseweir/gateway/upstream_prober.h"
#include "primroseweir/http/message_writer.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_server_exchange.h"
#include "primroseweir/routes/route_table.h"

namespace primroseweir {
namespace {

constexpr int kBadGateway = 502;

}  // namespace

Duration RoutedCall::LatencyLimit(Instant now) const {
  // A call that is already late may still use an upstream of usual speed.
  const auto min_limit = gateway_->balancer().LatencyEstimate(service_) * 2;
  return std::max<Duration>(route_->latency_objective - (now - received_at_), min_limit);
}

bool RoutedCall::IsRefusedForUrgentCalls(Instant now) {
  auto& admission = gateway_->admission(service_);
  admission.RecordArrival(priority(), now);
  // Without a shortage of the whole fleet, the calls wait for another reason.
  return gateway_->balancer().IsTight(service_) &&
         admission.ShouldRefuse(priority(), gateway_->random().UniformUnit(), now);
}

void RoutedCall::RecordPlacement(bool found_room, Instant now) {
  if (!std::exchange(is_placement_recorded_, true)) {
    gateway_->admission(service_).RecordPlacement(found_room, now);
    if (found_room) {
      gateway_->return_schedule(service_).RecordRoom(now);
    }
  }
}

RoutedCall::PlacementResult RoutedCall::PlacementResultOf(LoadBalancer::PickFailure failure) {
  switch (failure) {
    case LoadBalancer::PickFailure::kFull:
      return PlacementResult::kNoRoom;
    case LoadBalancer::PickFailure::kOnlySlowRoom:
      return PlacementResult::kOnlySlowRoom;
    default:
      return PlacementResult::kNoUpstream;
  }
}

AdmissionQueue::Claim RoutedCall::MakeClaim() const {
  AdmissionQueue::Claim claim;
  claim.priority = priority();
  if (routes_->customers() != nullptr) {
    // Callers of public routes without a key share one place.
    const auto& customer = identity_.customer();
    claim.customer = customer ? customer->hash : 0;
    claim.weight = customer ? customer->weight : 1;
  }
  return claim;
}

RoutedCall::PlacementResult RoutedCall::TryStart(PickScope scope, Instant now) {
  // A call that arrives when a slot frees must not overtake waiting calls with a better claim.
  // Without room for the first of them, this call may still use an upstream that the first one
  // can't use.
  if (routes_->customers() != nullptr) {
    const auto& queue = gateway_->queue(service_);
    if (!queue.empty() && queue.CountAhead(MakeClaim()) > 0) {
      gateway_->StartWaitingCalls(service_, now);
    }
  }
  return TryPick(scope, now);
}

RoutedCall::PlacementResult RoutedCall::TryPick(PickScope scope, Instant now) {
  if (!IsStillAllowed()) {
    return PlacementResult::kNotAllowed;
  }
  LoadBalancer::PickArgs args;
  args.service = service_;
  args.kind = route_->kind;
  args.excluded = tried_upstreams_;
  args.local_only = IsLargeTransfer(route_->kind) && scope <= PickScope::kInTime;
  args.latency_limit = scope == PickScope::kAnyLatency ? Duration::max() : LatencyLimit(now);
  args.may_probe = scope == PickScope::kProbeFirst;
  args.is_hedge = !attempts_.empty();
  auto pick = gateway_->balancer().Pick(args, now);
  if (args.may_probe && !pick.to_probe.empty()) {
    for (const auto& upstream : pick.to_probe) {
      is_probing_ = gateway_->prober().ProbeOrClearSuspect(upstream, now) || is_probing_;
    }
    if (is_probing_) {
      probe_deadline_ = probe_deadline_ == Instant() ? now + kMaxProbeWait : probe_deadline_;
      probe_timer_.Start(std::max(Duration::zero(), probe_deadline_ - now));
      return PlacementResult::kProbing;
    }
  }
  if (pick.upstream == nullptr) {
    return PlacementResultOf(pick.failure);
  }
  if (attempts_sent_ > 0 && !gateway_->retry_budget(service_).TryAcquire(
                                MakeClaim().customer, gateway_->balancer().fleet_size(), now)) {
    return PlacementResult::kNoBudget;
  }
  if (pick.is_exploration) {
    gateway_->metrics().CountEvent("limit_explored");
  }
  StartAttempt(std::move(pick.upstream), now);
  return PlacementResult::kStarted;
}

void RoutedCall::OnProbeCompleted(Instant now) {
  // The responses to the probes of one call arrive together. If a fresh report shows a slow
  // upstream, the next best one is probed, until kMaxProbeWait has passed.
  is_probing_ = false;
  const auto placement = TryStart(PickScope::kProbeFirst, now);
  if (placement == PlacementResult::kStarted) {
    probe_timer_.Cancel();
  } else {
    is_probing_ = true;
  }
}

void RoutedCall::PlaceOrEnqueue(RetryPolicy::Step step_without_retry, Instant now) {
  const auto scope =
      attempts_sent_ == 0 && !is_probing_ ? PickScope::kProbeFirst : PickScope::kInTime;
  const auto placement = tried_upstreams_.size() < kMaxConnectAttempts
                             ? TryStart(scope, now)
                             : PlacementResult::kNoUpstream;
  is_probing_ = placement == PlacementResult::kProbing;
  if (placement == PlacementResult::kStarted || is_probing_) {
    return;
  }
  if (placement == PlacementResult::kNotAllowed) {
    RejectWithdrawnKey(now);
    return;
  }
  const bool may_wait =
      placement == PlacementResult::kNoRoom || placement == PlacementResult::kOnlySlowRoom;
  if (may_wait) {
    // The upstream that refused the call may have room, but no other one has.
    retry_may_succeed_at_once_ = false;
  }
  if (may_wait && TryEnqueue(now)) {
    return;
  }
  if (may_wait && TryLastResort(now)) {
    return;
  }
  // What a customer sends above its share shows no shortage for others.
  if (may_wait && !is_above_share_) {
    RecordPlacement(false, now);
  }
  const char* reason = may_wait && is_above_share_                 ? "above_share"
                       : may_wait                                  ? "no_room"
                       : placement == PlacementResult::kNoUpstream ? "no_upstream"
                                                                   : "no_retry_budget";
  if (step_without_retry == RetryPolicy::Step::kRefuse) {
    RefuseUnplaced(reason, now);
  } else {
    Fail(kBadGateway, reason, now);
  }
}

// Queues the call if it is expected to find room in time.
bool RoutedCall::TryEnqueue(Instant now) {
  auto& queue = gateway_->queue(service_);
  const auto latency_estimate = gateway_->balancer().LatencyEstimate(service_);
  const auto max_wait =
      std::min(AdmissionQueue::MaxWait(route_->latency_objective, latency_estimate),
               deadline_ - now - latency_estimate) -
      (now - received_at_);
  const auto claim = MakeClaim();
  const auto expected_wait =
      gateway_->balancer().ExpectedWait(service_, queue.CountAhead(claim), now);
  is_above_share_ = !queue.MayWait(claim);
  if (max_wait <= Duration::zero() || expected_wait > max_wait || is_above_share_) {
    return false;
  }
  const auto start = [this](Instant time) {
    const auto placement = TryPick(PickScope::kInTime, time);
    if (placement == PlacementResult::kNoRoom || placement == PlacementResult::kOnlySlowRoom) {
      return false;
    }
    ticket_.reset();
    wait_timer_.Cancel();
    if (placement == PlacementResult::kNotAllowed) {
      RejectWithdrawnKey(time);
    } else if (placement != PlacementResult::kStarted) {
      may_have_executed_ ? Fail(kBadGateway, "no_retry", time)
                         : RefuseUnplaced("no_upstream", time);
    }
    return true;
  };
  AdmissionQueue::RefuseFunction refuse;
  if (!may_have_executed_) {
    refuse = [this](Instant time) { OnDisplaced(time); };
  }
  ticket_ = queue.Add(claim, start, std::move(refuse), now + max_wait, now);
  wait_timer_.Start(max_wait);
  if (claim.customer) {
    gateway_->metrics().CountEvent("customer_call_waits");
  }
  if (claim.customer && queue.size() > 1) {
    // A call that this one has pushed back too far is refused at once instead of at the end of its
    // wait.
    queue.DisplaceLast(*ticket_, gateway_->balancer().ExpectedWait(service_, queue.size() - 1, now),
                       now);
  }
  gateway_->ProbeForRoom(service_, now);
  return true;
}

void RoutedCall::OnDisplaced(Instant now) {
  ticket_.reset();
  wait_timer_.Cancel();
  if (TryLastResort(now)) {
    return;
  }
  RecordPlacement(false, now);
  RefuseUnplaced("displaced", now);
}

void RoutedCall::OnWaitTimeout() {
  const auto now = EventLoop::Now();
  LeaveQueue();
  if (TryLastResort(now)) {
    return;
  }
  RecordPlacement(false, now);
  may_have_executed_ ? Fail(kBadGateway, "no_room_in_time", now)
                     : RefuseUnplaced("no_room_in_time", now);
}

bool RoutedCall::TryLastResort(Instant now) {
  auto placement = TryStart(PickScope::kAnyDataCentre, now);
  if (placement == PlacementResult::kOnlySlowRoom) {
    placement = TryStart(PickScope::kAnyLatency, now);
  }
  return placement == PlacementResult::kStarted;
}

void RoutedCall::LeaveQueue() {
  if (ticket_) {
    gateway_->queue(service_).Remove(*ticket_);
    ticket_.reset();
  }
}

void RoutedCall::StartAttempt(std::shared_ptr<BalancedUpstream> upstream, Instant now) {
  const bool at_most_once = !IsIdempotent(route_->kind);
  RecordPlacement(true, now);
  tried_upstreams_.push_back(upstream->record().id);
  UpstreamAttempt::Dependencies dependencies;
  dependencies.loop = gateway_->loop();
  dependencies.balancer = &gateway_->balancer();
  dependencies.pool = &gateway_->pool();
  if (routes_->customers() != nullptr) {
    dependencies.queue = &gateway_->queue(service_);
    dependencies.claim = MakeClaim();
  }
  const auto reuse = request_id_.empty() ? ConnectionReuse::kNone
                     : at_most_once      ? ConnectionReuse::kRecentlyUsed
                                         : ConnectionReuse::kAny;
  attempts_.push_back(
      std::make_unique<UpstreamAttempt>(dependencies, std::move(upstream), this, reuse, now));
  auto* attempt = attempts_.back().get();
  occupancy_ = attempt->occupancy();
  body_sent_ = body_.received_bytes();
  is_body_end_sent_ = body_.is_complete();
  attempt->Send(MakeUpstreamHead(*attempt, now), body_.buffered(), gateway_->fields().request_id,
                request_id_);
  SendBody();
  if (!is_stopped_ && !at_most_once && attempts_.size() == 1 &&
      attempts_sent_ < route_->max_attempts) {
    hedge_timer_.Start(RetryPolicy::HedgeDelay(route_->latency_objective,
                                               gateway_->balancer().LatencyEstimate(service_)));
  }
}

// Starts a second attempt in parallel with one that takes unusually long; the first usable response
// is forwarded. Calls in the admission queue take precedence.
void RoutedCall::StartHedge() {
  // A body that is still arriving goes to one upstream only.
  if (attempts_.size() != 1 || is_streaming_response_ || attempts_sent_ >= route_->max_attempts ||
      !body_.is_replayable()) {
    return;
  }
  // A download without a second upstream in the local data centre is hedged in another one.
  const auto scope = hedge_attempts_++ == 0 ? PickScope::kInTime : PickScope::kAnyDataCentre;
  const bool hedge_started = attempts_sent_ > 0 && body_.is_complete() &&
                             gateway_->queue(service_).empty() &&
                             TryStart(scope, EventLoop::Now()) == PlacementResult::kStarted;
  if (!hedge_started) {
    hedge_timer_.Start(kHedgeRetryDelay);
  }
}

RequestHead RoutedCall::MakeUpstreamHead(const UpstreamAttempt& attempt, Instant now) const {
  const auto& fields = gateway_->fields();
  RequestHead head = head_;
  RemoveHopByHopFields(&head.fields);
  identity_.ReplaceCredentials(&head.fields, fields);
  const auto time_left = std::max<std::int64_t>(1, ToMilliseconds(deadline_ - now));
  head.fields.Set(fields.deadline, std::to_string(time_left));
  head.fields.Set(fields.expected_upstream, attempt.upstream().record().id.value());
  head.keep_alive = true;
  head.minor_version = 1;
  if (body_.is_complete() && head_.body.kind != BodyKind::kNone) {
    head.body = {BodyKind::kLength, body_.received_bytes()};
  }
  return head;
}

void RoutedCall::SendBody() {
  if (is_stopped_ || (body_.is_complete() && is_body_end_sent_)) {
    return;
  }
  auto* attempt = attempts_.empty() ? nullptr : attempts_.front().get();
  // The end of a body in chunks may arrive without further bytes.
  if (attempt != nullptr && (body_sent_ < body_.received_bytes() || body_.is_complete())) {
    attempt->SendPiece(body_.BytesFrom(body_sent_), body_.is_complete());
    body_sent_ = body_.received_bytes();
    is_body_end_sent_ = body_.is_complete();
  }
  const bool has_sent = attempt != nullptr && attempt->has_sent();
  if (has_sent && (!body_.is_replayable() || body_.buffered().size() > kMaxReplayBytes ||
                   gateway_->IsShortOfMemory())) {
    body_.DiscardBefore(body_sent_);
  }
  caller_->SetSinkBufferedBytes(body_.allocated_bytes() +
                                (attempt == nullptr ? 0 : attempt->pending_bytes()));
  const auto unsent_bytes = attempt == nullptr ? body_.buffered().size() : attempt->pending_bytes();
  if (unsent_bytes > kRequestHighWaterMark) {
    caller_->PauseBody();
  } else {
    caller_->ResumeBody();
  }
}

}  // namespace primroseweir
