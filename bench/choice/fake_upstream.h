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

// Upstream with slots and a first-in-first-out queue whose speed changes: noisy neighbours slow it
// for milliseconds at a time, and a straggler is slow throughout. It refreshes its load report only
// every report period, so that what it attaches to an answer is stale.
class FakeUpstream {
 public:
  struct Options {
    std::uint32_t slots = 6;
    // Mean time of a call at full speed.
    Duration service_time = std::chrono::milliseconds(8);
    // Speed of a straggler; 1 for the others.
    double speed = 1.0;
    Duration report_period = std::chrono::milliseconds(100);
    // Calls in the upstream above which it refuses.
    std::uint32_t refuse_above = 64;
  };

  struct Report {
    std::uint32_t in_flight = 0;
    Instant written;
  };

  using Done = std::function<void(Instant, const Report&)>;

  FakeUpstream(const Options& options, std::uint64_t seed, EventQueue* queue, Instant start);

  // Takes a call in under a number that the caller chose; false when the upstream refuses it.
  // `done` runs when the answer leaves.
  bool Submit(std::uint64_t number, Done done, Instant now);

  // Gives up a call: its place in the queue or its slot is free at once, and `done` does not run.
  void Cancel(std::uint64_t number, Instant now);

  // Calls in the upstream, waiting ones included.
  std::uint32_t in_flight() const {
    return static_cast<std::uint32_t>(running_.size() + waiting_.size());
  }
  std::uint32_t slots() const { return options_.slots; }
  // Makes the upstream a straggler, or ends that; calls already running keep their time.
  void SetSpeed(double speed) { options_.speed = speed; }
  // Present speed, for the oracle.
  double speed() const { return options_.speed * noise_; }

 private:
  struct Waiting {
    std::uint64_t number;
    Done done;
  };

  void Start(std::uint64_t number, Done done, Instant now);
  void Finish(std::uint64_t number, Instant now);
  void StartNext(Instant now);
  void ChangeNoise(Instant now);
  void WriteReport(Instant now);

  Options options_;
  Random random_;
  EventQueue* queue_;
  std::deque<Waiting> waiting_;
  std::unordered_map<std::uint64_t, Done> running_;
  double noise_ = 1.0;
  Report report_;
};

}  // namespace primroseweir::bench

#endif  // BENCH_CHOICE_FAKE_UPSTREAM_H_
