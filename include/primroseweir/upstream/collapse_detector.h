#ifndef PRIMROSEWEIR_UPSTREAM_COLLAPSE_DETECTOR_H_
#define PRIMROSEWEIR_UPSTREAM_COLLAPSE_DETECTOR_H_

#include <atomic>
#include <cstdint>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/call_result.h"

namespace primroseweir {

// One ended call as the detector sees it.
struct EndedCall {
  AttemptOutcome end = AttemptOutcome::kAnswered;
  // Time to the head, or time until the call was given up.
  Duration elapsed{};
  // Fleet-wide calls per slot by a report that is not older than CollapseDetector::kMaxReportAge; 0
  // without such a report.
  double reported_per_slot = 0;
  // Calls of this instance that are still in flight there.
  std::uint32_t still_in_flight = 0;
  // The upstream's warm-up window is open.
  bool open = false;
};

// Tells an upstream that turned cold from one that is merely overloaded (design 7.2). Overload
// leaves the rate of good answers as it is and shows in the reported load: refusals of a full
// upstream are no sign, and a queue may lengthen an answer in proportion. Safe for many threads,
// without locks; concurrent updates may lose a count.
class CollapseDetector {
 public:
  enum class Detection { kNone, kNormal, kCollapse };

  // Takes one ended call. kNormal: it completed with normal latency. kCollapse: the upstream
  // crashed or collapsed; the counts start anew.
  Detection Observe(const EndedCall& call, Instant now);

  // Exponentially weighted time to the head; 0 before the first answer. A cancelled attempt raises
  // it when it took longer: a straggler's answers never arrive once its calls are hedged.
  Duration latency() const { return Duration(latency_.load(std::memory_order_relaxed)); }

  // When latency() last changed.
  Instant latency_changed() const {
    return Instant(Duration(latency_changed_.load(std::memory_order_relaxed)));
  }

  // Typical time to the head without queue: falls quickly and rises slowly; 0 before the first.
  Duration baseline() const { return Duration(baseline_.load(std::memory_order_relaxed)); }

  // Forgets latencies, for a new process behind the same id.
  void Reset();

  // Latency above this multiple of the baseline is a sign of collapse (design 7.2).
  static constexpr int kSlowFactor = 4;
  static constexpr Duration kMaxReportAge = std::chrono::seconds(1);
  // Signs are counted over intervals of this length.
  static constexpr Duration kInterval = std::chrono::milliseconds(200);
  // Connections lost within this time of each other are one crash.
  static constexpr Duration kCrashGroupingWindow = std::chrono::milliseconds(100);
  // An open upstream collapsed when an interval has this many signs, and this many times as many
  // signs as good answers. Under overload at twice the capacity there is one refusal per answer.
  static constexpr std::uint32_t kMinimumSigns = 4;
  static constexpr std::uint32_t kSignsPerResponse = 3;

 private:
  enum class Kind { kNeutral, kGood, kSign, kCrash };

  Kind Classify(const EndedCall& call, Instant now);
  Kind ClassifyLoss(const EndedCall& call, Instant now);
  bool IsSlow(const EndedCall& call) const;
  bool CountSign(bool sign, bool open, Instant now);
  void UpdateLatency(const EndedCall& call, Instant now);
  void UpdateLatencyEstimate(Duration::rep sample, Instant now);

  std::atomic<Duration::rep> latency_{0};
  std::atomic<Duration::rep> latency_changed_{0};
  std::atomic<Duration::rep> baseline_{0};
  std::atomic<Duration::rep> last_loss_{INT64_MIN / 2};
  std::atomic<Duration::rep> interval_start_{0};
  // Good answers in the low half, signs in the high half.
  std::atomic<std::uint64_t> counts_{0};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_UPSTREAM_COLLAPSE_DETECTOR_H_
