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
      (std::uint64_t{kInitialShares} * capacity.open_slots + live - 1) / live;
  const std::uint64_t maximum = std::max(capacity.open_slots + capacity.own_shares, 1U);
  const std::uint64_t base = std::clamp<std::uint64_t>(fair + capacity.own_shares, 1, maximum);
  const std::uint64_t before = base_.exchange(static_cast<std::uint32_t>(base));
  const std::uint64_t present = limit_.load(std::memory_order_relaxed);
  const std::uint64_t scaled = before == 0 ? base : (present * base + before - 1) / before;
  maximum_.store(static_cast<std::uint32_t>(maximum), std::memory_order_relaxed);
  limit_.store(static_cast<std::uint32_t>(std::clamp<std::uint64_t>(scaled, 1, maximum)),
               std::memory_order_relaxed);
}

bool Admission::TryEnter() {
  return barring_.load(std::memory_order_seq_cst) == 0 && TryEnterFromQueue();
}

bool Admission::TryEnterFromQueue() {
  std::uint32_t present = in_flight_.load(std::memory_order_seq_cst);
  while (present < limit()) {
    if (in_flight_.compare_exchange_weak(present, present + 1, std::memory_order_seq_cst)) {
      return true;
    }
  }
  return false;
}

void Admission::Undo() { in_flight_.fetch_sub(1, std::memory_order_seq_cst); }

void Admission::Leave(Signal signal, Duration held, Instant now) {
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
  for (auto& [place, waiter] : queue_) {
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

bool Admission::Wait(const Turn& turn, Instant now, const std::function<bool(Instant)>& attempt) {
  const Instant begun = MonotonicNow();
  const Instant until = begun + std::min(turn.deadline - now, kLongestWait);
  Waiter waiter;
  std::unique_lock<std::mutex> lock(mutex_);
  if (queue_.size() >= kMaximumWaiting) return false;
  const auto place = Enqueue(turn, &waiter);
  bool served = false;
  // The first attempt comes after the call has queued, so that no release between the caller's
  // failed attempt and here is lost. A call ahead that was signalled goes first and passes on.
  bool may_try = !SignalledBefore(place);
  while (true) {
    if (may_try) {
      const bool pass_on = waiter.pass_on;
      waiter.signalled = waiter.pass_on = false;
      lock.unlock();
      served = attempt(now + (MonotonicNow() - begun));
      lock.lock();
      if (served) break;
      if (pass_on) SignalFrom(std::next(place), true);
    }
    if (MonotonicNow() >= until) break;
    Sleep(&waiter, until, &lock);
    may_try = waiter.signalled || MonotonicNow() < until;
  }
  Dequeue(place, turn, served);
  return served;
}

Admission::Queue::iterator Admission::Enqueue(const Turn& turn, Waiter* waiter) {
  const auto place = queue_.emplace(Place(turn.priority, next_place_++), waiter).first;
  waiting_by_priority_[static_cast<std::size_t>(turn.priority)].fetch_add(1);
  waiting_.fetch_add(1, std::memory_order_seq_cst);
  if (turn.bars_others) barring_.fetch_add(1, std::memory_order_seq_cst);
  return place;
}

void Admission::Dequeue(Queue::iterator place, const Turn& turn, bool served) {
  const bool unused_signal = place->second->pass_on;
  queue_.erase(place);
  waiting_by_priority_[static_cast<std::size_t>(turn.priority)].fetch_sub(1);
  waiting_.fetch_sub(1, std::memory_order_seq_cst);
  if (turn.bars_others) barring_.fetch_sub(1, std::memory_order_seq_cst);
  if (unused_signal) SignalFrom(queue_.begin(), true);
  // The limit may have grown by more places than signals were given.
  if (served && in_flight() < limit()) SignalFrom(queue_.begin(), false);
}

// Signals the first waiting call from there on that has no signal yet.
void Admission::SignalFrom(Queue::iterator first, bool pass_on) {
  for (; first != queue_.end(); ++first) {
    Waiter& waiter = *first->second;
    if (waiter.signalled) continue;
    waiter.signalled = true;
    waiter.pass_on = pass_on;
    waiter.ready.notify_one();
    return;
  }
}

bool Admission::SignalledBefore(Queue::iterator place) {
  return std::any_of(queue_.begin(), place,
                     [](const auto& entry) { return entry.second->signalled; });
}

void Admission::Sleep(Waiter* waiter, Instant until, std::unique_lock<std::mutex>* lock) const {
  const Instant wake = std::min(until, MonotonicNow() + recheck_);
  waiter->ready.wait_until(*lock, wake, [waiter] { return waiter->signalled; });
}

}  // namespace primroseweir
