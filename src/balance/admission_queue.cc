#include "primroseweir/balance/admission_queue.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <numeric>
#include <utility>

namespace primroseweir {

Duration AdmissionQueue::MaxWait(Duration latency_objective, Duration latency_estimate) {
  const auto max_share = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(latency_objective) * kMaxWaitFraction);
  return std::max(Duration::zero(), std::min(max_share, latency_objective - latency_estimate));
}

AdmissionQueue::Ticket AdmissionQueue::NextTicket(const Claim& claim) const {
  const auto found = claim.customer ? shares_.find(claim.priority) : shares_.end();
  const double start_tag =
      found == shares_.end() ? 0 : found->second.StartTag(*claim.customer, claim.weight);
  return {claim.priority, start_tag, next_sequence_};
}

AdmissionQueue::Ticket AdmissionQueue::Add(const Claim& claim, StartFunction start,
                                           RefuseFunction refuse, Instant latest_start,
                                           Instant now) {
  const auto ticket = NextTicket(claim);
  ++next_sequence_;
  RecordWaiting(claim, now);
  calls_.emplace(ticket, WaitingCall{claim, std::move(start), std::move(refuse), latest_start});
  return ticket;
}

void AdmissionQueue::RecordWaiting(const Claim& claim, Instant now) {
  if (claim.customer) {
    shares_[claim.priority].RecordWaiting(*claim.customer, claim.weight, now);
  }
}

void AdmissionQueue::RecordNotWaiting(const Claim& claim) {
  if (claim.customer) {
    shares_[claim.priority].RecordNotWaiting(*claim.customer);
  }
}

void AdmissionQueue::Remove(const Ticket& ticket) {
  const auto found = calls_.find(ticket);
  if (found != calls_.end()) {
    RecordNotWaiting(found->second.claim);
    calls_.erase(found);
  }
}

void AdmissionQueue::StartWaitingCalls(Instant now) {
  while (!calls_.empty()) {
    // The call is moved out of the map: starting it may destroy what its functions captured. It
    // counts as waiting until it has started, or else its own attempt would not be told from it.
    auto node = calls_.extract(calls_.begin());
    RecordNotWaiting(node.mapped().claim);
    if (!node.mapped().start(now)) {
      RecordWaiting(node.mapped().claim, now);
      calls_.insert(std::move(node));
      return;
    }
  }
}

bool AdmissionQueue::DisplaceLast(const Ticket& ticket, Duration expected_wait, Instant now) {
  auto last = calls_.rbegin();
  while (last != calls_.rend() && last->second.refuse == nullptr) {
    ++last;
  }
  if (last == calls_.rend() || !(ticket < last->first) ||
      last->second.latest_start >= now + expected_wait) {
    return false;
  }
  const auto node = calls_.extract(std::prev(last.base()));
  RecordNotWaiting(node.mapped().claim);
  node.mapped().refuse(now);
  return true;
}

void AdmissionQueue::RecordAttempt(const Claim& claim, Instant now) {
  if (claim.customer) {
    shares_[claim.priority].RecordAttempt(*claim.customer, claim.weight, now);
  }
}

void AdmissionQueue::RecordEnd(const Claim& claim) {
  if (claim.customer) {
    shares_[claim.priority].RecordEnd(*claim.customer);
  }
}

bool AdmissionQueue::MayWait(const Claim& claim) const {
  const auto found = claim.customer ? shares_.find(claim.priority) : shares_.end();
  return found == shares_.end() || !found->second.IsAboveShare(*claim.customer, claim.weight);
}

std::size_t AdmissionQueue::CountAhead(const Claim& claim) const {
  return static_cast<std::size_t>(
      std::distance(calls_.begin(), calls_.lower_bound(NextTicket(claim))));
}

std::size_t AdmissionQueue::customer_count() const {
  return std::accumulate(
      shares_.begin(), shares_.end(), std::size_t{0},
      [](std::size_t count, const auto& entry) { return count + entry.second.size(); });
}

}  // namespace primroseweir
