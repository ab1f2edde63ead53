#ifndef STANDINS_UPSTREAM_EXECUTION_SLOTS_H_
#define STANDINS_UPSTREAM_EXECUTION_SLOTS_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>

#include "primroseweir/base/time.h"
#include "upstream/settings.h"

namespace primroseweir::standins {

class Socket;

enum class Admission { kAdmitted, kRefused, kCancelled };

// Counts since the start, except `max_in_flight`, `since_mark` and `last_after_mark_ms`, which Mark
// resets.
struct SlotCounters {
  std::uint64_t executed = 0;
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;
  std::uint32_t max_running = 0;
  std::uint32_t max_in_flight = 0;
  // Calls that arrived while the upstream was cold, and the most in flight at a time.
  std::uint64_t cold_calls = 0;
  std::uint32_t cold_max_in_flight = 0;
  // Calls that arrived beyond the capacity of the cold upstream; each makes it collapse.
  std::uint64_t cold_overruns = 0;
  // Calls that arrived since the last mark, and the time from the mark to the newest of them.
  std::uint64_t since_mark = 0;
  std::int64_t last_after_mark_ms = 0;
};

// Models the execution slots and queue of a stand-in upstream, including its cold start: while cold
// it has less capacity, and a call beyond that makes it collapse. Thread-safe.
class ExecutionSlots {
 public:
  explicit ExecutionSlots(const UpstreamSettings& settings);

  // Waits for a slot in order of arrival. Returns kRefused if slots and queue are full, or if the
  // upstream has collapsed and already has a call beyond its capacity; kCancelled if the caller
  // closed its connection while the call waited.
  Admission Acquire(const Socket& caller);
  // Releases the slot of an admitted call or probe.
  void Release();
  // Acquires a slot for a probe, as Acquire. The probe counts in the load, but not as an executed
  // call.
  Admission AcquireProbe(const Socket& caller);

  // Returns the factor by which service times grow: above 1 while the upstream is collapsed.
  double ServiceTimeFactor() const;
  // Returns the number of running and waiting calls, as sampled at most `lag` ago.
  std::uint32_t ReportedLoad(Duration lag, Instant now);
  // Makes the upstream cold without a signal to callers.
  void BecomeCold();
  // Restarts the counters of calls since the mark, and the maximum of calls in flight.
  void Mark(Instant now);
  void CountCancelled();

  SlotCounters Counters() const;
  std::uint32_t InFlight() const;
  bool IsCold() const;

 private:
  // Returns the number of calls in flight that the upstream can handle in its current warm-up
  // state.
  std::uint32_t ColdCapacity() const;
  // Counts an arriving call; makes a cold upstream collapse if the call exceeds its capacity.
  void CountArrival(Instant now);
  // Returns whether to refuse a call or probe, and counts it if so.
  bool ShouldRefuse();
  Admission WaitForSlot(const Socket& caller, std::unique_lock<std::mutex>* lock);

  const UpstreamSettings settings_;
  mutable std::mutex mutex_;
  std::condition_variable slot_freed_;
  std::deque<std::uint64_t> waiting_tickets_;
  std::uint64_t next_ticket_ = 0;
  std::uint32_t running_ = 0;
  bool is_cold_;
  bool is_collapsed_ = false;
  std::uint64_t cold_calls_completed_ = 0;
  Instant marked_at_ = MonotonicNow();
  Instant reported_at_{};
  std::uint32_t reported_load_ = 0;
  SlotCounters counters_;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_EXECUTION_SLOTS_H_
