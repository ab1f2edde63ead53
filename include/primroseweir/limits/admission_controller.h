#ifndef PRIMROSEWEIR_LIMITS_ADMISSION_CONTROLLER_H_
#define PRIMROSEWEIR_LIMITS_ADMISSION_CONTROLLER_H_

#include <array>
#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/call_request.h"

namespace primroseweir {

// Concurrency limit that this instance applies to the calls of one service, and the admission queue
// of the calls that wait for it. Thread-safe. Release and Wake take a lock only while calls wait;
// TryAcquire, TryAcquireFromQueue and Undo take none.
class AdmissionController {
 public:
  // `recheck_interval` is how often a waiting call tries again without a wakeup, since some limits
  // change with time alone. Tests set it high to detect lost wakeups.
  explicit AdmissionController(Duration recheck_interval = kRecheckInterval)
      : recheck_interval_(recheck_interval) {}

  // ---- limit ----

  // Capacity that the service's upstreams offer to this instance.
  struct Capacity {
    // Slots of all upstreams whose warm-up window is open. All live instances share them.
    std::uint32_t open_slots = 0;
    // Sum of this instance's shares of the warm-up windows that are not open.
    std::uint32_t own_shares = 0;
    std::uint64_t live = 1;
    // Calls of this instance in flight at upstreams that take no new calls, such as long downloads
    // from a data centre that is being taken out of service. They don't count against the limit.
    std::uint32_t unlimited_in_flight = 0;
  };

  // Sets the capacity. The initial limit for it is kInitialFairShares fair shares of the open slots
  // plus `own_shares`; when the capacity changes, the limit changes in proportion to that value. It
  // is at least 1 and never exceeds open slots plus `own_shares`. Wakes no waiting call.
  void SetCapacity(const Capacity& capacity);

  // Counts one more call as in flight. Returns false when the limit is reached or a call with
  // WaitRequest::blocks_others waits.
  bool TryAcquire();

  // As TryAcquire, for a call that is in the queue: ignores other waiting calls.
  bool TryAcquireFromQueue();

  // Reverts an acquisition whose call could not be sent to an upstream. Wakes no waiting call,
  // since no capacity was freed.
  void Undo();

  // Outcome of a call as far as the limit is concerned: only kGood can raise the limit, and only
  // kOverload lowers it.
  enum class Signal { kNeutral, kGood, kOverload };

  // Ends a call that acquired its permit `held_time` ago, adapts the limit and signals the first
  // waiting call that has no signal yet.
  void Release(Signal signal, Duration held_time, Instant now);

  // Lets all waiting calls try again, after capacity became available in another way than by
  // Release, such as a new routing table or a wider warm-up window.
  void Wake();

  // ---- queue ----

  // Returns the estimated time until a call of that priority that is queued now would start, from
  // the current limit, the calls ahead of it and the mean time that calls hold the limit.
  Duration ExpectedWait(Priority priority) const;

  // A call that waits in the queue.
  struct WaitRequest {
    Priority priority = Priority::kNormal;
    Instant deadline;
    // Whether TryAcquire fails while this call waits. False for a call that waits for one
    // particular upstream, since other calls need not wait behind it.
    bool blocks_others = true;
  };

  // Queues the call and calls `try_start` each time that it may start, until `try_start` returns
  // true (the call was started, or refused permanently) or the deadline passes. Returns whether
  // `try_start` returned true; returns false at once when kMaxWaiting calls wait. `try_start`
  // receives the current time: `now` plus the time waited. It runs without the lock. Waiting calls
  // are served by priority, then in order of arrival. Blocks.
  bool Wait(const WaitRequest& wait_request, Instant now,
            const std::function<bool(Instant)>& try_start);

  // ---- statistics ----

  std::uint32_t in_flight() const { return in_flight_.load(std::memory_order_seq_cst); }
  std::uint32_t limit() const { return limit_.load(std::memory_order_relaxed); }
  std::uint32_t waiting() const { return waiting_.load(std::memory_order_seq_cst); }

  static constexpr Duration kRecheckInterval = std::chrono::milliseconds(100);
  // The limit is raised at most once, and lowered at most once, in this time, and not raised within
  // this time of a decrease.
  static constexpr Duration kAdaptInterval = std::chrono::milliseconds(100);
  // More than one, because callers do not spread evenly over the instances.
  static constexpr std::uint32_t kInitialFairShares = 2;
  // Maximum number of waiting calls; each one occupies a thread and a caller's connection.
  static constexpr std::uint32_t kMaxWaiting = 1024;

 private:
  struct Waiter {
    std::condition_variable ready;
    bool signalled = false;
    // The signal stands for one freed permit: if this call can't use it, the next waiting call is
    // signalled.
    bool forward_signal = false;
  };
  // Priority, then order of arrival.
  using QueuePosition = std::pair<Priority, std::uint64_t>;
  using Queue = std::map<QueuePosition, Waiter*>;

  void Adapt(Signal signal, Instant now);
  Queue::iterator Enqueue(const WaitRequest& wait_request, Waiter* waiter);
  void Dequeue(Queue::iterator position, const WaitRequest& wait_request, bool served);
  void SignalFirstFrom(Queue::iterator first, bool forward_signal);
  bool HasSignalBefore(Queue::iterator position);
  void Sleep(Waiter* waiter, Instant wait_end, std::unique_lock<std::mutex>* lock) const;

  const Duration recheck_interval_;
  std::atomic<std::uint32_t> in_flight_{0};
  std::atomic<std::uint32_t> limit_{0};
  std::atomic<std::uint32_t> initial_limit_{0};
  std::atomic<std::uint32_t> max_limit_{0};
  std::atomic<std::uint32_t> unlimited_in_flight_{0};
  std::atomic<std::uint32_t> waiting_{0};
  std::atomic<std::uint32_t> blocking_waiters_{0};
  std::array<std::atomic<std::uint32_t>, 3> waiting_by_priority_{};
  std::atomic<Duration::rep> mean_held_time_{0};
  std::atomic<Duration::rep> last_decrease_{INT64_MIN / 2};
  std::atomic<Duration::rep> last_increase_{INT64_MIN / 2};
  std::mutex mutex_;
  Queue queue_;
  std::uint64_t next_arrival_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_ADMISSION_CONTROLLER_H_
