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

// What the slots counted since the start.
struct SlotCounters {
  std::uint64_t executed = 0;
  std::uint64_t refused = 0;
  std::uint64_t cancelled = 0;
  std::uint32_t max_running = 0;
  std::uint32_t max_in_flight = 0;
  // Calls that arrived during a cold start, and the most at a time.
  std::uint64_t cold_calls = 0;
  std::uint32_t cold_max_in_flight = 0;
  // Calls beyond what the cold upstream bears; each makes it collapse.
  std::uint64_t cold_overruns = 0;
  // Calls that arrived since the last mark, and when the newest of them did.
  std::uint64_t since_mark = 0;
  std::int64_t last_after_mark_ms = 0;
};

// Slots and queue of a stand-in upstream, with its cold start. Safe for several threads.
class ExecutionSlots {
 public:
  explicit ExecutionSlots(const UpstreamSettings& settings);

  // Waits in order of arrival for a slot. kRefused: the queue is full, or the upstream collapsed;
  // kCancelled: the caller closed its connection while waiting.
  Admission Enter(const Socket& caller);
  // Ends an admitted call.
  void Leave();
  // As Enter and Leave for a probe: counted in the load, but not as a call.
  Admission EnterProbe(const Socket& caller);

  // Factor on the service time: above 1 while the upstream is collapsed.
  double ServiceFactor() const;
  // Running and waiting calls, at most `lag` old.
  std::uint32_t ReportedLoad(Duration lag, Instant now);
  // Turns cold without a signal to anyone.
  void BecomeCold();
  // Counts calls from now on as "since the mark".
  void Mark(Instant now);
  void CountCancelled();

  SlotCounters Counters() const;
  std::uint32_t InFlight() const;
  bool Cold() const;

 private:
  // Calls at a time that the upstream bears now.
  std::uint32_t ColdCapacity() const;
  void CountArrival(Instant now);
  bool Refuses();
  Admission Wait(const Socket& caller, std::unique_lock<std::mutex>* lock);

  const UpstreamSettings settings_;
  mutable std::mutex mutex_;
  std::condition_variable freed_;
  std::deque<std::uint64_t> waiting_;
  std::uint64_t next_ticket_ = 0;
  std::uint32_t running_ = 0;
  bool cold_;
  bool collapsed_ = false;
  std::uint64_t cold_completed_ = 0;
  Instant marked_ = MonotonicNow();
  Instant report_written_{};
  std::uint32_t report_ = 0;
  SlotCounters counters_;
};

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_EXECUTION_SLOTS_H_
