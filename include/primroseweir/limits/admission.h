#ifndef PRIMROSEWEIR_LIMITS_ADMISSION_H_
#define PRIMROSEWEIR_LIMITS_ADMISSION_H_

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

// Local concurrency limit of one service at this instance and the queue of calls that wait for it
// (design 7.6). TryAcquire, Leave and Wake take no lock while nobody waits.
class Admission {
 public:
  // `recheck` is how often a waiting call tries again without being woken, since some limits change
  // with time alone. Tests set it high to find lost wakeups.
  explicit Admission(Duration recheck = kRecheckInterval) : recheck_(recheck) {}

  // ---- limit ----

  // What the service's upstreams offer to this instance.
  struct Capacity {
    // Slots of open upstreams, which all live instances share.
    std::uint32_t open_slots = 0;
    // This instance's own parts of warm-up windows.
    std::uint32_t own_shares = 0;
    std::uint64_t live = 1;
    // Calls in flight at upstreams that take no new ones, such as long downloads while a data
    // centre leaves. They don't count against the limit.
    std::uint32_t unlimited_in_flight = 0;
  };

  // The limit starts at kInitialFairShares fair shares of the open slots and the own shares, and
  // moves in proportion when the capacity changes. It never exceeds the capacity. Wakes nobody.
  void SetCapacity(const Capacity& capacity);

  // Counts one more call as in flight unless the limit is reached or others wait.
  bool TryAcquire();

  // As TryAcquire, for a call whose turn in the queue has come.
  bool TryAcquireFromQueue();

  // A call that entered could not be placed; its permission returns without a wakeup, since
  // nothing became free.
  void Undo();

  // How a call ended, as far as the limit is concerned.
  enum class Signal { kNeutral, kGood, kOverload };

  // Ends a call that entered `held` ago and wakes the next waiting call.
  void Release(Signal signal, Duration held, Instant now);

  // Capacity appeared in another way, such as a new table or a wider window: all waiting calls try
  // again.
  void Wake();

  // ---- queue ----

  // Time until a call of that priority that queues now would be served, by the present limit and
  // the mean time that calls take.
  Duration ExpectedWait(Priority priority) const;

  // What a waiting call asks for.
  struct WaitRequest {
    Priority priority = Priority::kNormal;
    Instant deadline;
    // TryAcquire fails while the call waits. False for a call that waits for one certain upstream:
    // others need not wait behind it.
    bool blocks_others = true;
  };

  // Calls `attempt` each time the call may be served, until it answers true (placed, or refused for
  // good), or until the deadline passes or too many calls wait. `attempt` gets the present time:
  // `now` plus the time waited. Answers whether an attempt answered true. Waiting calls are served
  // by priority, then by arrival.
  bool Wait(const WaitRequest& wait_request, Instant now,
            const std::function<bool(Instant)>& attempt);

  // ---- figures ----

  std::uint32_t in_flight() const { return in_flight_.load(std::memory_order_seq_cst); }
  std::uint32_t limit() const { return limit_.load(std::memory_order_relaxed); }
  std::uint32_t waiting() const { return waiting_.load(std::memory_order_seq_cst); }

  static constexpr Duration kRecheckInterval = std::chrono::milliseconds(100);
  // The limit changes at most once in this time.
  static constexpr Duration kAdaptInterval = std::chrono::milliseconds(100);
  // Callers do not spread quite evenly over the instances.
  static constexpr std::uint32_t kInitialFairShares = 2;
  // Waiting calls at most; each one holds a thread and a connection of a caller.
  static constexpr std::uint32_t kMaximumWaiting = 1024;

 private:
  struct Waiter {
    std::condition_variable ready;
    bool signalled = false;
    // A place became free: if this call can't use it, the next one gets the signal.
    bool forward_signal = false;
  };
  // Priority, then arrival.
  using QueuePosition = std::pair<Priority, std::uint64_t>;
  using Queue = std::map<QueuePosition, Waiter*>;

  void Adapt(Signal signal, Instant now);
  Queue::iterator Enqueue(const WaitRequest& wait_request, Waiter* waiter);
  void Dequeue(Queue::iterator position, const WaitRequest& wait_request, bool served);
  void SignalFrom(Queue::iterator first, bool forward_signal);
  bool SignalledBefore(Queue::iterator position);
  void Sleep(Waiter* waiter, Instant until, std::unique_lock<std::mutex>* lock) const;

  const Duration recheck_;
  std::atomic<std::uint32_t> in_flight_{0};
  std::atomic<std::uint32_t> limit_{0};
  std::atomic<std::uint32_t> base_{0};
  std::atomic<std::uint32_t> maximum_{0};
  std::atomic<std::uint32_t> unlimited_in_flight_{0};
  std::atomic<std::uint32_t> waiting_{0};
  std::atomic<std::uint32_t> blocking_waiters_{0};
  std::array<std::atomic<std::uint32_t>, 3> waiting_by_priority_{};
  std::atomic<Duration::rep> mean_held_{0};
  std::atomic<Duration::rep> last_decrease_{INT64_MIN / 2};
  std::atomic<Duration::rep> last_increase_{INT64_MIN / 2};
  std::mutex mutex_;
  Queue queue_;
  std::uint64_t next_position_ = 0;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_LIMITS_ADMISSION_H_
