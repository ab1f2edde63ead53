#include "primroseweir/limits/admission_controller.h"

#include <algorithm>
#include <iterator>

namespace primroseweir {
namespace {

constexpr Duration::rep kHeldTimeEwmaDivisor = 16;
// Limits the wait so that a deadline that stands for "none" does not overflow.
constexpr Duration kMaxWait = std::chrono::hours(1);
// On overload the limit is lowered by a tenth.
constexpr std::uint32_t kDecreaseDivisor = 10;

}  // namespace

// ---- limit ----

void AdmissionController::SetCapacity(const Capacity& capacity) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::uint64_t live = std::max<std::uint64_t>(capacity.live, 1);
  const std::uint64_t fair =
      (std::uint64_t{kInitialFairShares} * capacity.open_slots + live - 1) / live;
  const std::uint64_t maximum = std::max(capacity.open_slots + capacity.own_shares, 1U);
  const std::uint64_t base = std::clamp<std::uint64_t>(fair + capacity.own_shares, 1, maximum);
  const std::uint64_t previous = initial_limit_.exchange(static_cast<std::uint32_t>(base));
  const std::uint64_t current = limit_.load(std::memory_order_relaxed);
  const std::uint64_t scaled = previous == 0 ? base : (current * base + previous - 1) / previous;
  unlimited_in_flight_.store(capacity.unlimited_in_flight, std::memory_order_seq_cst);
  max_limit_.store(static_cast<std::uint32_t>(maximum), std::memory_order_relaxed);
  limit_.store(static_cast<std::uint32_t>(std::clamp<std::uint64_t>(scaled, 1, maximum)),
               std::memory_order_relaxed);
}

bool AdmissionController::TryAcquire() {
  return blocking_waiters_.load(std::memory_order_seq_cst) == 0 && TryAcquireFromQueue();
}

bool AdmissionController::TryAcquireFromQueue() {
  std::uint32_t current = in_flight_.load(std::memory_order_seq_cst);
  while (current < limit() + unlimited_in_flight_.load(std::memory_order_seq_cst)) {
    if (in_flight_.compare_exchange_weak(current, current + 1, std::memory_order_seq_cst)) {
      return true;
    }
  }
  return false;
}

void AdmissionController::Undo() { in_flight_.fetch_sub(1, std::memory_order_seq_cst); }

void AdmissionController::Release(Signal signal, Duration held_time, Instant now) {
  if (signal == Signal::kGood) {
    const Duration::rep mean = mean_held_time_.load(std::memory_order_relaxed);
    const Duration::rep next =
        mean == 0 ? held_time.count() : mean + (held_time.count() - mean) / kHeldTimeEwmaDivisor;
    mean_held_time_.store(std::max<Duration::rep>(next, 1), std::memory_order_relaxed);
  }
  Adapt(signal, now);
  in_flight_.fetch_sub(1, std::memory_order_seq_cst);
  // Sequentially consistent: either this thread sees the waiting call, or the waiting call sees the
  // freed permit when it first tries after it was queued.
  if (waiting_.load(std::memory_order_seq_cst) == 0) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  SignalFirstFrom(queue_.begin(), true);
}

void AdmissionController::Wake() {
  if (waiting_.load(std::memory_order_seq_cst) == 0) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [position, waiter] : queue_) {
    waiter->signalled = true;
    waiter->ready.notify_one();
  }
}

void AdmissionController::Adapt(Signal signal, Instant now) {
  const Duration::rep now_ticks = now.time_since_epoch().count();
  const std::uint32_t limit = this->limit();
  if (signal == Signal::kOverload) {
    Duration::rep last = last_decrease_.load(std::memory_order_relaxed);
    if (now_ticks - last < kAdaptInterval.count()) return;
    if (!last_decrease_.compare_exchange_strong(last, now_ticks)) return;
    const std::uint32_t decrease = (limit + kDecreaseDivisor - 1) / kDecreaseDivisor;
    limit_.store(std::max(limit - std::min(decrease, limit), 1U), std::memory_order_relaxed);
    return;
  }
  // The limit is raised only while it is reached and no call reports overload.
  if (signal != Signal::kGood || in_flight() < limit) return;
  if (now_ticks - last_decrease_.load(std::memory_order_relaxed) < kAdaptInterval.count()) return;
  Duration::rep last = last_increase_.load(std::memory_order_relaxed);
  if (now_ticks - last < kAdaptInterval.count()) return;
  if (!last_increase_.compare_exchange_strong(last, now_ticks)) return;
  limit_.store(std::min(limit + 1, max_limit_.load()), std::memory_order_relaxed);
}

// ---- queue ----

Duration AdmissionController::ExpectedWait(Priority priority) const {
  std::uint32_t queued_ahead = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i) {
    queued_ahead += waiting_by_priority_[i].load(std::memory_order_relaxed);
  }
  const Duration::rep held_time = mean_held_time_.load(std::memory_order_relaxed);
  return Duration(held_time * (queued_ahead + 1) / std::max(limit(), 1U));
}

bool AdmissionController::Wait(const WaitRequest& wait_request, Instant now,
                               const std::function<bool(Instant)>& try_start) {
  const Instant started = MonotonicNow();
  const Instant wait_end = started + std::min(wait_request.deadline - now, kMaxWait);
  Waiter waiter;
  std::unique_lock<std::mutex> lock(mutex_);
  if (queue_.size() >= kMaxWaiting) return false;
  const auto position = Enqueue(wait_request, &waiter);
  bool served = false;
  // The call first tries after it was queued, so that a permit released between the caller's failed
  // TryAcquire and the queueing is not missed. While a call ahead has a signal, that call tries
  // first and forwards the signal when it can't use it.
  bool may_try = !HasSignalBefore(position);
  while (true) {
    if (may_try) {
      const bool forward_signal = waiter.forward_signal;
      waiter.signalled = waiter.forward_signal = false;
      lock.unlock();
      served = try_start(now + (MonotonicNow() - started));
      lock.lock();
      if (served) break;
      if (forward_signal) SignalFirstFrom(std::next(position), true);
    }
    if (MonotonicNow() >= wait_end) break;
    Sleep(&waiter, wait_end, &lock);
    may_try = waiter.signalled || MonotonicNow() < wait_end;
  }
  Dequeue(position, wait_request, served);
  return served;
}

AdmissionController::Queue::iterator AdmissionController::Enqueue(const WaitRequest& wait_request,
                                                                  Waiter* waiter) {
  const auto position =
      queue_.emplace(QueuePosition(wait_request.priority, next_arrival_++), waiter).first;
  waiting_by_priority_[static_cast<std::size_t>(wait_request.priority)].fetch_add(1);
  waiting_.fetch_add(1, std::memory_order_seq_cst);
  if (wait_request.blocks_others) blocking_waiters_.fetch_add(1, std::memory_order_seq_cst);
  return position;
}

void AdmissionController::Dequeue(Queue::iterator position, const WaitRequest& wait_request,
                                  bool served) {
  const bool unused_signal = position->second->forward_signal;
  queue_.erase(position);
  waiting_by_priority_[static_cast<std::size_t>(wait_request.priority)].fetch_sub(1);
  waiting_.fetch_sub(1, std::memory_order_seq_cst);
  if (wait_request.blocks_others) blocking_waiters_.fetch_sub(1, std::memory_order_seq_cst);
  if (unused_signal) SignalFirstFrom(queue_.begin(), true);
  // The limit may have been raised by more permits than signals were sent.
  if (served && in_flight() < limit()) SignalFirstFrom(queue_.begin(), false);
}

// Signals the first waiting call at or after `first` that has no signal yet.
void AdmissionController::SignalFirstFrom(Queue::iterator first, bool forward_signal) {
  for (; first != queue_.end(); ++first) {
    Waiter& waiter = *first->second;
    if (waiter.signalled) continue;
    waiter.signalled = true;
    waiter.forward_signal = forward_signal;
    waiter.ready.notify_one();
    return;
  }
}

bool AdmissionController::HasSignalBefore(Queue::iterator position) {
  return std::any_of(queue_.begin(), position,
                     [](const auto& entry) { return entry.second->signalled; });
}

void AdmissionController::Sleep(Waiter* waiter, Instant wait_end,
                                std::unique_lock<std::mutex>* lock) const {
  const Instant wake_at = std::min(wait_end, MonotonicNow() + recheck_interval_);
  waiter->ready.wait_until(*lock, wake_at, [waiter] { return waiter->signalled; });
}

}  // namespace primroseweir
