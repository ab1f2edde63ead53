#include "primroseweir/limits/admission.h"

#include <algorithm>
#include <iterator>

namespace primroseweir {
namespace {

constexpr Duration::rep kHeldWeight = 16;
// Keeps deadlines that stand for "none" from overflowing.
constexpr Duration kLongestWait = std::chrono::hours(1);
// On overload the limit shrinks to nine tenths.
constexpr std::uint32_t kDecreaseParts = 10;

}  // namespace

// ---- limit ----

void Admission::SetCapacity(const Capacity& capacity) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::uint64_t live = std::max<std::uint64_t>(capacity.live, 1);
  const std::uint64_t fair =
      (std::uint64_t{kInitialFairShares} * capacity.open_slots + live - 1) / live;
  const std::uint64_t maximum = std::max(capacity.open_slots + capacity.own_shares, 1U);
  const std::uint64_t base = std::clamp<std::uint64_t>(fair + capacity.own_shares, 1, maximum);
  const std::uint64_t before = base_.exchange(static_cast<std::uint32_t>(base));
  const std::uint64_t present = limit_.load(std::memory_order_relaxed);
  const std::uint64_t scaled = before == 0 ? base : (present * base + before - 1) / before;
  unlimited_in_flight_.store(capacity.unlimited_in_flight, std::memory_order_seq_cst);
  maximum_.store(static_cast<std::uint32_t>(maximum), std::memory_order_relaxed);
  limit_.store(static_cast<std::uint32_t>(std::clamp<std::uint64_t>(scaled, 1, maximum)),
               std::memory_order_relaxed);
}

bool Admission::TryAcquire() {
  return blocking_waiters_.load(std::memory_order_seq_cst) == 0 && TryAcquireFromQueue();
}

bool Admission::TryAcquireFromQueue() {
  std::uint32_t present = in_flight_.load(std::memory_order_seq_cst);
  while (present < limit() + unlimited_in_flight_.load(std::memory_order_seq_cst)) {
    if (in_flight_.compare_exchange_weak(present, present + 1, std::memory_order_seq_cst)) {
      return true;
    }
  }
  return false;
}

void Admission::Undo() { in_flight_.fetch_sub(1, std::memory_order_seq_cst); }

void Admission::Release(Signal signal, Duration held, Instant now) {
  if (signal == Signal::kGood) {
    const Duration::rep mean = mean_held_.load(std::memory_order_relaxed);
    const Duration::rep next =
        mean == 0 ? held.count() : mean + (held.count() - mean) / kHeldWeight;
    mean_held_.store(std::max<Duration::rep>(next, 1), std::memory_order_relaxed);
  }
  Adapt(signal, now);
  in_flight_.fetch_sub(1, std::memory_order_seq_cst);
  // Ordered after the release above: either this thread sees the waiting call, or the waiting call
  // sees the freed place when it tries after it has queued.
  if (waiting_.load(std::memory_order_seq_cst) == 0) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  SignalFrom(queue_.begin(), true);
}

void Admission::Wake() {
  if (waiting_.load(std::memory_order_seq_cst) == 0) return;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto& [position, waiter] : queue_) {
    waiter->signalled = true;
    waiter->ready.notify_one();
  }
}

void Admission::Adapt(Signal signal, Instant now) {
  const Duration::rep present = now.time_since_epoch().count();
  const std::uint32_t limit = this->limit();
  if (signal == Signal::kOverload) {
    Duration::rep last = last_decrease_.load(std::memory_order_relaxed);
    if (present - last < kAdaptInterval.count()) return;
    if (!last_decrease_.compare_exchange_strong(last, present)) return;
    const std::uint32_t part = (limit + kDecreaseParts - 1) / kDecreaseParts;
    limit_.store(std::max(limit - std::min(part, limit), 1U), std::memory_order_relaxed);
    return;
  }
  // The limit grows only while it binds and nothing is overloaded.
  if (signal != Signal::kGood || in_flight() < limit) return;
  if (present - last_decrease_.load(std::memory_order_relaxed) < kAdaptInterval.count()) return;
  Duration::rep last = last_increase_.load(std::memory_order_relaxed);
  if (present - last < kAdaptInterval.count()) return;
  if (!last_increase_.compare_exchange_strong(last, present)) return;
  limit_.store(std::min(limit + 1, maximum_.load()), std::memory_order_relaxed);
}

// ---- queue ----

Duration Admission::ExpectedWait(Priority priority) const {
  std::uint32_t ahead = 0;
  for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); ++i) {
    ahead += waiting_by_priority_[i].load(std::memory_order_relaxed);
  }
  const Duration::rep held = mean_held_.load(std::memory_order_relaxed);
  return Duration(held * (ahead + 1) / std::max(limit(), 1U));
}

bool Admission::Wait(const WaitRequest& wait_request, Instant now,
                     const std::function<bool(Instant)>& attempt) {
  const Instant begun = MonotonicNow();
  const Instant until = begun + std::min(wait_request.deadline - now, kLongestWait);
  Waiter waiter;
  std::unique_lock<std::mutex> lock(mutex_);
  if (queue_.size() >= kMaximumWaiting) return false;
  const auto position = Enqueue(wait_request, &waiter);
  bool served = false;
  // The first attempt comes after the call has queued, so that no release between the caller's
  // failed attempt and here is lost. A call ahead that was signalled goes first and passes on.
  bool may_try = !SignalledBefore(position);
  while (true) {
    if (may_try) {
      const bool forward_signal = waiter.forward_signal;
      waiter.signalled = waiter.forward_signal = false;
      lock.unlock();
      served = attempt(now + (MonotonicNow() - begun));
      lock.lock();
      if (served) break;
      if (forward_signal) SignalFrom(std::next(position), true);
    }
    if (MonotonicNow() >= until) break;
    Sleep(&waiter, until, &lock);
    may_try = waiter.signalled || MonotonicNow() < until;
  }
  Dequeue(position, wait_request, served);
  return served;
}

Admission::Queue::iterator Admission::Enqueue(const WaitRequest& wait_request, Waiter* waiter) {
  const auto position =
      queue_.emplace(QueuePosition(wait_request.priority, next_position_++), waiter).first;
  waiting_by_priority_[static_cast<std::size_t>(wait_request.priority)].fetch_add(1);
  waiting_.fetch_add(1, std::memory_order_seq_cst);
  if (wait_request.blocks_others) blocking_waiters_.fetch_add(1, std::memory_order_seq_cst);
  return position;
}

void Admission::Dequeue(Queue::iterator position, const WaitRequest& wait_request, bool served) {
  const bool unused_signal = position->second->forward_signal;
  queue_.erase(position);
  waiting_by_priority_[static_cast<std::size_t>(wait_request.priority)].fetch_sub(1);
  waiting_.fetch_sub(1, std::memory_order_seq_cst);
  if (wait_request.blocks_others) blocking_waiters_.fetch_sub(1, std::memory_order_seq_cst);
  if (unused_signal) SignalFrom(queue_.begin(), true);
  // The limit may have grown by more places than signals were given.
  if (served && in_flight() < limit()) SignalFrom(queue_.begin(), false);
}

// Signals the first waiting call from there on that has no signal yet.
void Admission::SignalFrom(Queue::iterator first, bool forward_signal) {
  for (; first != queue_.end(); ++first) {
    Waiter& waiter = *first->second;
    if (waiter.signalled) continue;
    waiter.signalled = true;
    waiter.forward_signal = forward_signal;
    waiter.ready.notify_one();
    return;
  }
}

bool Admission::SignalledBefore(Queue::iterator position) {
  return std::any_of(queue_.begin(), position,
                     [](const auto& entry) { return entry.second->signalled; });
}

void Admission::Sleep(Waiter* waiter, Instant until, std::unique_lock<std::mutex>* lock) const {
  const Instant wake = std::min(until, MonotonicNow() + recheck_);
  waiter->ready.wait_until(*lock, wake, [waiter] { return waiter->signalled; });
}

}  // namespace primroseweir
