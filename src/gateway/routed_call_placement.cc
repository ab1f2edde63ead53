// Where a call goes: the choice of an upstream, the wait for room, second attempts, and the bytes
// of its body on their way.
#include <algorithm>
#include <chrono>
#include <utility>

#include "primroseweir/balance/balanced_upstream.h"
#include "primroseweir/balance/retry_ledger.h"
#include "primroseweir/gateway/call_fields.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/routed_call.h"
#include "primroseweir/gateway/upstream_attempt.h"
#include "primroseweir/gateway/upstream_prober.h"
#include "primroseweir/http/message_writer.h"
#include "primroseweir/loop/event_loop.h"
#include "primroseweir/loop/http_server_stream.h"

namespace primroseweir {
namespace {

constexpr int kBadGateway = 502;

}  // namespace

Duration RoutedCall::Acceptable(Instant now) const {
  // A call that is late already still deserves an upstream of usual speed.
  const auto least = gateway_->book().Usual(service_) * 2;
  return std::max<Duration>(route_->objective - (now - arrived_), least);
}

RoutedCall::Placement RoutedCall::PlacementOf(UpstreamBook::Obstacle obstacle) {
  switch (obstacle) {
    case UpstreamBook::Obstacle::kFull:
      return Placement::kNoRoom;
    case UpstreamBook::Obstacle::kOnlySlow:
      return Placement::kOnlySlow;
    default:
      return Placement::kNoUpstream;
  }
}

RoutedCall::Placement RoutedCall::TryStart(Effort effort, Instant now) {
  UpstreamBook::Query query;
  query.service = service_;
  query.kind = route_->kind;
  query.excluded = tried_;
  query.near_only = MovesMuch(route_->kind) && effort <= Effort::kUsual;
  query.acceptable = effort == Effort::kAnySpeed ? Duration::max() : Acceptable(now);
  query.may_probe = effort == Effort::kProbe;
  auto choice = gateway_->book().Choose(query, now);
  if (query.may_probe && !choice.unsure.empty()) {
    for (const auto& upstream : choice.unsure) {
      probing_ = gateway_->prober().Check(upstream, now) || probing_;
    }
    if (probing_) {
      probe_end_ = probe_end_ == Instant() ? now + kProbeWait : probe_end_;
      probe_timer_.Start(std::max(Duration::zero(), probe_end_ - now));
      return Placement::kProbing;
    }
  }
  if (choice.upstream == nullptr) {
    return PlacementOf(choice.obstacle);
  }
  if (sends_ > 0 && !gateway_->ledger(service_).TrySpend(gateway_->book().fleet_size(), now)) {
    return Placement::kNoBudget;
  }
  StartAttempt(std::move(choice.upstream), now);
  return Placement::kStarted;
}

void RoutedCall::OnReport(Instant now) {
  // The probes of one call come back together: a fresh one may still show a slow upstream, and then
  // the next best is asked until the time for probes is over.
  probing_ = false;
  const auto placement = TryStart(Effort::kProbe, now);
  if (placement == Placement::kStarted) {
    probe_timer_.Cancel();
  } else {
    probing_ = true;
  }
}

void RoutedCall::Place(CallPolicy::Step without, Instant now) {
  const auto effort = sends_ == 0 && !probing_ ? Effort::kProbe : Effort::kUsual;
  const auto placement = tried_.size() < kMaxTried ? TryStart(effort, now) : Placement::kNoUpstream;
  probing_ = placement == Placement::kProbing;
  if (placement == Placement::kStarted || probing_) {
    return;
  }
  const bool may_wait = placement == Placement::kNoRoom || placement == Placement::kOnlySlow;
  if (may_wait) {
    // An upstream that shed the call had room, but the others have none.
    elsewhere_has_room_ = false;
  }
  if (may_wait && Wait(now)) {
    return;
  }
  if (may_wait && TryLast(now)) {
    return;
  }
  const char* reason = may_wait                              ? "no_room"
                       : placement == Placement::kNoUpstream ? "no_upstream"
                                                             : "no_retry_budget";
  if (without == CallPolicy::Step::kRefuse) {
    Refuse(reason, now);
  } else {
    Fail(kBadGateway, reason, now);
  }
}

// Queues the call when it is likely to find room in time.
bool RoutedCall::Wait(Instant now) {
  auto& queue = gateway_->queue(service_);
  const auto usual = gateway_->book().Usual(service_);
  const auto longest =
      std::min(WaitQueue::LongestWait(route_->objective, usual), deadline_ - now - usual) -
      (now - arrived_);
  const auto expected = gateway_->book().ExpectedWait(service_, queue.Ahead(route_->priority), now);
  if (longest <= Duration::zero() || expected > longest) {
    return false;
  }
  ticket_ = queue.Add(route_->priority, [this](Instant time) {
    const auto placement = TryStart(Effort::kUsual, time);
    if (placement == Placement::kNoRoom || placement == Placement::kOnlySlow) {
      return false;
    }
    ticket_.reset();
    wait_timer_.Cancel();
    if (placement != Placement::kStarted) {
      may_have_run_ ? Fail(kBadGateway, "no_retry", time) : Refuse("no_upstream", time);
    }
    return true;
  });
  wait_timer_.Start(longest);
  gateway_->SeekRoom(service_, now);
  return true;
}

void RoutedCall::OnWaitEnd() {
  const auto now = EventLoop::Now();
  LeaveQueue();
  if (TryLast(now)) {
    return;
  }
  may_have_run_ ? Fail(kBadGateway, "no_room_in_time", now) : Refuse("no_room_in_time", now);
}

bool RoutedCall::TryLast(Instant now) {
  auto placement = TryStart(Effort::kAnywhere, now);
  if (placement == Placement::kOnlySlow) {
    placement = TryStart(Effort::kAnySpeed, now);
  }
  return placement == Placement::kStarted;
}

void RoutedCall::LeaveQueue() {
  if (ticket_) {
    gateway_->queue(service_).Remove(*ticket_);
    ticket_.reset();
  }
}

void RoutedCall::StartAttempt(std::shared_ptr<BalancedUpstream> upstream, Instant now) {
  const bool at_most_once = !MayRepeat(route_->kind);
  tried_.push_back(upstream->record().id);
  UpstreamAttempt::Services services{gateway_->loop(), &gateway_->book(), &gateway_->pool()};
  attempts_.push_back(
      std::make_unique<UpstreamAttempt>(services, std::move(upstream), this, at_most_once, now));
  auto* attempt = attempts_.back().get();
  occupancy_ = attempt->occupancy();
  const auto& field = gateway_->fields().request_id;
  body_sent_ = body_.arrived();
  attempt->Send(UpstreamHead(*attempt, now), body_.held(), id_.empty() ? std::string() : field,
                id_);
  SendBody();
  if (!at_most_once && attempts_.size() == 1 && sends_ < route_->max_attempts) {
    hedge_timer_.Start(CallPolicy::HedgeAfter(route_->objective, gateway_->book().Usual(service_)));
  }
}

// A second attempt beside one that takes unusually long; the first whole answer wins. Calls that
// wait for their first attempt go first.
void RoutedCall::StartHedge() {
  if (attempts_.size() != 1 || streaming_ || sends_ >= route_->max_attempts) {
    return;
  }
  // A download that finds no second upstream in its data centre goes to another one.
  const auto effort = hedge_tries_++ == 0 ? Effort::kUsual : Effort::kAnywhere;
  const bool room = sends_ > 0 && gateway_->queue(service_).empty() &&
                    TryStart(effort, EventLoop::Now()) == Placement::kStarted;
  if (!room) {
    hedge_timer_.Start(kHedgeRetry);
  }
}

RequestHead RoutedCall::UpstreamHead(const UpstreamAttempt& attempt, Instant now) const {
  const auto& fields = gateway_->fields();
  RequestHead head = head_;
  RemoveConnectionFields(&head.fields);
  const auto left = std::max<std::int64_t>(1, ToMilliseconds(deadline_ - now));
  head.fields.Set(fields.deadline, std::to_string(left));
  head.fields.Set(fields.expected_upstream, attempt.upstream().record().id.value());
  head.keep_alive = true;
  head.minor_version = 1;
  if (body_.whole() && head_.body.kind != BodyKind::kNone) {
    head.body = {BodyKind::kLength, body_.arrived()};
  }
  return head;
}

void RoutedCall::SendBody() {
  if (!caller_->receiving() && body_sent_ == body_.arrived()) {
    return;
  }
  auto* attempt = attempts_.empty() ? nullptr : attempts_.front().get();
  if (attempt != nullptr && body_sent_ < body_.arrived()) {
    attempt->SendPiece(body_.From(body_sent_), body_.whole());
    body_sent_ = body_.arrived();
  }
  const bool sent = attempt != nullptr && attempt->sent();
  if (sent && (body_.held().size() > kMaxReplay || gateway_->OverMemory())) {
    body_.DropBefore(body_sent_);
  }
  caller_->AccountHeld(body_.held().size());
  const auto unsent = attempt == nullptr ? body_.held().size() : attempt->pending();
  if (unsent > kMaxUnsent) {
    caller_->PauseBody();
  } else {
    caller_->ResumeBody();
  }
}

}  // namespace primroseweir
