#ifndef BENCH_CHOICE_FAKE_UPSTREAM_H_
#define BENCH_CHOICE_FAKE_UPSTREAM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "bench/choice/event_queue.h"
#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"

namespace primroseweir::bench {

// Simulated upstream with slots and a first-in-first-out queue. Its speed changes: noisy neighbours
// slow it for milliseconds at a time, and a straggler is slow all the time. It refreshes its load
// report only once per report period, so that the report attached to a response may be stale.
class FakeUpstream {
 public:
  struct Options {
    std::uint32_t slots = 6;
    // Mean execution time of a call at full speed.
    Duration service_time = std::chrono::milliseconds(8);
    // Speed without noise, relative to full speed: below 1 for a straggler, 1 for the others.
    double speed = 1.0;
    Duration report_period = std::chrono::milliseconds(100);
    // Running and queued calls at which the upstream refuses further ones.
    std::uint32_t max_calls = 64;
  };

  struct Report {
    std::uint32_t in_flight = 0;
    Instant written_at;
  };

  using CompletionCallback = std::function<void(Instant, const Report&)>;

  FakeUpstream(const Options& options, std::uint64_t seed, EventQueue* event_queue, Instant start);

  // Starts or queues a call. `call_id` is chosen by the submitter and must be unique among the
  // calls in the upstream. Returns false when the upstream refuses the call. `on_complete` runs
  // when the response is sent.
  bool Submit(std::uint64_t call_id, CompletionCallback on_complete, Instant now);

  // Cancels a call: its queue position or slot is free at once, and its completion callback does
  // not run.
  void Cancel(std::uint64_t call_id, Instant now);

  // Returns the number of running and queued calls.
  std::uint32_t in_flight() const {
    return static_cast<std::uint32_t>(running_calls_.size() + queued_calls_.size());
  }
  std::uint32_t slots() const { return options_.slots; }
  // Sets the speed without noise, such as to make the upstream a straggler. Calls that already run
  // keep their end time.
  void SetSpeed(double speed) { options_.speed = speed; }
  // Returns the current speed relative to full speed, noise included. The oracle picks by it.
  double speed() const { return options_.speed * noise_speed_factor_; }

 private:
  struct QueuedCall {
    std::uint64_t call_id;
    CompletionCallback on_complete;
  };

  void StartCall(std::uint64_t call_id, CompletionCallback on_complete, Instant now);
  void FinishCall(std::uint64_t call_id, Instant now);
  void StartNextQueued(Instant now);
  void ToggleNoise(Instant now);
  void WriteReport(Instant now);

  Options options_;
  Random random_;
  EventQueue* event_queue_;
  std::deque<QueuedCall> queued_calls_;
  std::unordered_map<std::uint64_t, CompletionCallback> running_calls_;
  double noise_speed_factor_ = 1.0;
  Report report_;
};

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_FAKE_UPSTREAM_H_
