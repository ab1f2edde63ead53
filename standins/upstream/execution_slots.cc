#include "upstream/execution_slots.h"

#include <algorithm>

#include "wire/socket.h"

namespace primroseweir::standins {
namespace {

// Factor by which the service times of a collapsed upstream grow.
constexpr double kCollapsedServiceTimeFactor = 50;
// Interval at which a waiting call checks whether its caller has closed the connection.
constexpr auto kCancelCheckInterval = std::chrono::milliseconds(5);
// More doublings would exceed any number of slots.
constexpr std::uint64_t kMaxDoublings = 16;

}  // namespace

ExecutionSlots::ExecutionSlots(const UpstreamSettings& settings)
    : settings_(settings), is_cold_(settings.cold) {}

std::uint32_t ExecutionSlots::ColdCapacity() const {
  const std::uint64_t per_doubling = std::max(1U, settings_.cold_calls_per_doubling);
  const std::uint64_t doublings = std::min(kMaxDoublings, cold_calls_completed_ / per_doubling);
  return std::min<std::uint32_t>(settings_.slots, 1U << doublings);
}

void ExecutionSlots::CountArrival(Instant now) {
  const auto in_flight = static_cast<std::uint32_t>(running_ + waiting_tickets_.size() + 1);
  counters_.max_in_flight = std::max(counters_.max_in_flight, in_flight);
  ++counters_.since_mark;
  counters_.last_after_mark_ms = ToMilliseconds(now - marked_at_);
  if (!is_cold_) return;
  ++counters_.cold_calls;
  counters_.cold_max_in_flight = std::max(counters_.cold_max_in_flight, in_flight);
  if (in_flight <= ColdCapacity()) return;
  ++counters_.cold_overruns;
  is_collapsed_ = true;
}

bool ExecutionSlots::ShouldRefuse() {
  const auto in_flight = running_ + waiting_tickets_.size() + 1;
  const bool is_full = waiting_tickets_.size() >= settings_.queue && running_ >= settings_.slots;
  // A collapsed upstream still accepts one call beyond its capacity.
  const bool is_overrun = is_collapsed_ && in_flight > ColdCapacity() + 1;
  if (is_full || is_overrun) ++counters_.refused;
  return is_full || is_overrun;
}

Admission ExecutionSlots::WaitForSlot(const Socket& caller, std::unique_lock<std::mutex>* lock) {
  const std::uint64_t ticket = next_ticket_++;
  waiting_tickets_.push_back(ticket);
  while (waiting_tickets_.front() != ticket || running_ >= settings_.slots) {
    if (slot_freed_.wait_for(*lock, kCancelCheckInterval) != std::cv_status::timeout) continue;
    if (!caller.WaitForPeerClose(MonotonicNow())) continue;
    waiting_tickets_.erase(std::find(waiting_tickets_.begin(), waiting_tickets_.end(), ticket));
    ++counters_.cancelled;
    slot_freed_.notify_all();
    return Admission::kCancelled;
  }
  waiting_tickets_.pop_front();
  ++running_;
  counters_.max_running = std::max(counters_.max_running, running_);
  slot_freed_.notify_all();
  return Admission::kAdmitted;
}

Admission ExecutionSlots::Acquire(const Socket& caller) {
  std::unique_lock<std::mutex> lock(mutex_);
  CountArrival(MonotonicNow());
  if (ShouldRefuse()) return Admission::kRefused;
  const Admission admission = WaitForSlot(caller, &lock);
  if (admission == Admission::kAdmitted) ++counters_.executed;
  return admission;
}

Admission ExecutionSlots::AcquireProbe(const Socket& caller) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (ShouldRefuse()) return Admission::kRefused;
  return WaitForSlot(caller, &lock);
}

void ExecutionSlots::Release() {
  const std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  if (is_collapsed_ && running_ == 0 && waiting_tickets_.empty()) {
    is_collapsed_ = false;
    cold_calls_completed_ = 0;
  } else if (is_cold_ && !is_collapsed_) {
    ++cold_calls_completed_;
    if (ColdCapacity() >= settings_.slots) is_cold_ = false;
  }
  slot_freed_.notify_all();
}

double ExecutionSlots::ServiceTimeFactor() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return is_collapsed_ ? kCollapsedServiceTimeFactor : 1;
}

std::uint32_t ExecutionSlots::ReportedLoad(Duration lag, Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (now - reported_at_ >= lag) {
    reported_at_ = now;
    reported_load_ = static_cast<std::uint32_t>(running_ + waiting_tickets_.size());
  }
  return reported_load_;
}

void ExecutionSlots::BecomeCold() {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_cold_ = true;
  cold_calls_completed_ = 0;
}

void ExecutionSlots::Mark(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  marked_at_ = now;
  counters_.since_mark = 0;
  counters_.last_after_mark_ms = 0;
  counters_.max_in_flight = 0;
}

void ExecutionSlots::CountCancelled() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++counters_.cancelled;
}

SlotCounters ExecutionSlots::Counters() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return counters_;
}

std::uint32_t ExecutionSlots::InFlight() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return static_cast<std::uint32_t>(running_ + waiting_tickets_.size());
}

bool ExecutionSlots::IsCold() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return is_cold_;
}

}  // namespace primroseweir::standins
