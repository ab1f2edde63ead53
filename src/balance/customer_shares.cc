#include "primroseweir/balance/customer_shares.h"

#include <algorithm>

namespace primroseweir {

double CustomerShares::StartTag(std::uint64_t customer, double weight) const {
  const auto found = shares_.find(customer);
  if (found == shares_.end()) {
    return virtual_time_;
  }
  return std::max(virtual_time_, found->second.finish_tag) + found->second.waiting / weight;
}

void CustomerShares::Activate(Share* share, double weight, Instant now) {
  if (!share->is_active()) {
    share->active_weight = weight;
    active_weight_ += weight;
  }
  share->last_used = now;
}

void CustomerShares::DeactivateIfIdle(Share* share) {
  if (!share->is_active()) {
    active_weight_ -= share->active_weight;
  }
  if (waiting_ + in_flight_ == 0) {
    // Discards the rounding errors.
    active_weight_ = 0;
  }
}

void CustomerShares::RecordWaiting(std::uint64_t customer, double weight, Instant now) {
  auto& share = shares_[customer];
  Activate(&share, weight, now);
  ++share.waiting;
  ++waiting_;
}

void CustomerShares::RecordNotWaiting(std::uint64_t customer) {
  const auto found = shares_.find(customer);
  if (found != shares_.end() && found->second.waiting > 0) {
    --found->second.waiting;
    --waiting_;
    DeactivateIfIdle(&found->second);
  }
}

void CustomerShares::RecordAttempt(std::uint64_t customer, double weight, Instant now) {
  auto& share = shares_[customer];
  Activate(&share, weight, now);
  ++share.in_flight;
  ++in_flight_;
  virtual_time_ = std::max(virtual_time_, share.finish_tag);
  share.finish_tag = virtual_time_ + 1 / weight;
  if (shares_.size() >= sweep_size_) {
    Sweep(now);
  }
}

void CustomerShares::RecordEnd(std::uint64_t customer) {
  const auto found = shares_.find(customer);
  if (found != shares_.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
    --in_flight_;
    DeactivateIfIdle(&found->second);
  }
}

bool CustomerShares::IsAboveShare(std::uint64_t customer, double weight) const {
  const auto found = shares_.find(customer);
  if (found == shares_.end() || waiting_ == 0) {
    return false;
  }
  const double active_weight = active_weight_ + (found->second.is_active() ? 0 : weight);
  const double share = in_flight_ * weight / active_weight;
  return found->second.in_flight > std::max(1.0, kMaxShareFactor * share);
}

void CustomerShares::Sweep(Instant now) {
  for (auto it = shares_.begin(); it != shares_.end();) {
    const auto& share = it->second;
    const bool is_forgotten = share.finish_tag <= virtual_time_ || now - share.last_used >= kMemory;
    it = !share.is_active() && is_forgotten ? shares_.erase(it) : std::next(it);
  }
  // Twice the number that remains, so that a sweep is paid for by as many new customers.
  sweep_size_ = std::max(kMinSweepSize, 2 * shares_.size());
}

}  // namespace primroseweir
