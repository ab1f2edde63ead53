#include "upstream/execution_slots.h"

#include <algorithm>

#include "wire/socket.h"

namespace primroseweir::standins {
namespace {

// A collapsed upstream answers that many times more slowly.
constexpr double kCollapseFactor = 50;
// Interval at which a waiting call looks whether its caller went away.
constexpr auto kCancelCheckPeriod = std::chrono::milliseconds(5);
// Doublings beyond this number exceed any number of slots.
constexpr std::uint64_t kMaxDoublings = 16;

}  // namespace

ExecutionSlots::ExecutionSlots(const UpstreamSettings& settings)
    : settings_(settings), cold_(settings.cold) {}

std::uint32_t ExecutionSlots::ColdCapacity() const {
  const std::uint64_t per_doubling = std::max(1U, settings_.cold_calls_per_doubling);
  const std::uint64_t doublings = std::min(kMaxDoublings, cold_completed_ / per_doubling);
  return std::min<std::uint32_t>(settings_.slots, 1U << doublings);
}

void ExecutionSlots::CountArrival(Instant now) {
  const auto in_flight = static_cast<std::uint32_t>(running_ + waiting_.size() + 1);
  counters_.max_in_flight = std::max(counters_.max_in_flight, in_flight);
  ++counters_.since_mark;
  counters_.last_after_mark_ms = ToMilliseconds(now - marked_);
  if (!cold_) return;
  ++counters_.cold_calls;
  counters_.cold_max_in_flight = std::max(counters_.cold_max_in_flight, in_flight);
  if (in_flight <= ColdCapacity()) return;
  ++counters_.cold_overruns;
  collapsed_ = true;
}

bool ExecutionSlots::Refuses() {
  const auto in_flight = running_ + waiting_.size() + 1;
  const bool full = waiting_.size() >= settings_.queue && running_ >= settings_.slots;
  // A collapsed upstream still queues one call more than it bears.
  const bool overrun = collapsed_ && in_flight > ColdCapacity() + 1;
  if (full || overrun) ++counters_.refused;
  return full || overrun;
}

Admission ExecutionSlots::Wait(const Socket& caller, std::unique_lock<std::mutex>* lock) {
  const std::uint64_t ticket = next_ticket_++;
  waiting_.push_back(ticket);
  while (waiting_.front() != ticket || running_ >= settings_.slots) {
    if (freed_.wait_for(*lock, kCancelCheckPeriod) != std::cv_status::timeout) continue;
    if (!caller.WaitForPeerClose(MonotonicNow())) continue;
    waiting_.erase(std::find(waiting_.begin(), waiting_.end(), ticket));
    ++counters_.cancelled;
    freed_.notify_all();
    return Admission::kCancelled;
  }
  waiting_.pop_front();
  ++running_;
  counters_.max_running = std::max(counters_.max_running, running_);
  freed_.notify_all();
  return Admission::kAdmitted;
}

Admission ExecutionSlots::Enter(const Socket& caller) {
  std::unique_lock<std::mutex> lock(mutex_);
  CountArrival(MonotonicNow());
  if (Refuses()) return Admission::kRefused;
  const Admission admission = Wait(caller, &lock);
  if (admission == Admission::kAdmitted) ++counters_.executed;
  return admission;
}

Admission ExecutionSlots::EnterProbe(const Socket& caller) {
  std::unique_lock<std::mutex> lock(mutex_);
  if (Refuses()) return Admission::kRefused;
  return Wait(caller, &lock);
}

void ExecutionSlots::Leave() {
  const std::lock_guard<std::mutex> lock(mutex_);
  --running_;
  if (collapsed_ && running_ == 0 && waiting_.empty()) {
    collapsed_ = false;
    cold_completed_ = 0;
  } else if (cold_ && !collapsed_) {
    ++cold_completed_;
    if (ColdCapacity() >= settings_.slots) cold_ = false;
  }
  freed_.notify_all();
}

double ExecutionSlots::ServiceFactor() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return collapsed_ ? kCollapseFactor : 1;
}

std::uint32_t ExecutionSlots::ReportedLoad(Duration lag, Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (now - report_written_ >= lag) {
    report_written_ = now;
    report_ = static_cast<std::uint32_t>(running_ + waiting_.size());
  }
  return report_;
}

void ExecutionSlots::BecomeCold() {
  const std::lock_guard<std::mutex> lock(mutex_);
  cold_ = true;
  cold_completed_ = 0;
}

void ExecutionSlots::Mark(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  marked_ = now;
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
  return static_cast<std::uint32_t>(running_ + waiting_.size());
}

bool ExecutionSlots::Cold() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return cold_;
}

}  // namespace primroseweir::standins
