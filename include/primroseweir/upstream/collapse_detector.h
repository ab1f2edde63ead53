#ifndef PRIMROSEWEIR_UPSTREAM_COLLAPSE_DETECTOR_H_
#define PRIMROSEWEIR_UPSTREAM_COLLAPSE_DETECTOR_H_

#include <atomic>
#include <cstdint>

#include "primroseweir/base/time.h"
#include "primroseweir/routing/call_result.h"

namespace primroseweir {

// A finished call, as input of the detector.
struct EndedCall {
  AttemptEnd outcome = AttemptEnd::kResponded;
  // Time to the response head, or until the call was abandoned.
  Duration elapsed{};
  // Calls of the whole fleet per slot, by a load report that is not older than
  // CollapseDetector::kMaxReportAge; 0 without such a report.
  double reported_per_slot = 0;
  // Calls of this instance that are still in flight at the upstream.
  std::uint32_t remaining_in_flight = 0;
  // Whether the upstream's warm-up window is open.
  bool is_window_open = false;
};

// Distinguishes an upstream that has turned cold (collapse) from one that is only overloaded.
// Overload does not lower the rate of normal responses, and it shows in the reported load: a
// refusal by a full upstream is no sign of a collapse, and a response may take longer in proportion
// to the reported queue. Thread-safe without locks; concurrent updates may lose a count.
class CollapseDetector {
 public:
  enum class Detection { kNone, kNormal, kCollapse };

  // Records one finished call. Returns kNormal when it completed with normal latency, and kCollapse
  // when the upstream crashed or collapsed, which restarts the counts of signs and normal
  // responses.
  Detection Observe(const EndedCall& call, Instant now);

  // Exponentially weighted mean of the time to the response head; 0 before the first sample. A
  // cancelled or timed-out attempt raises it when it took longer than the mean: once the calls of a
  // slow upstream are hedged, its responses no longer arrive.
  Duration latency() const { return Duration(latency_.load(std::memory_order_relaxed)); }

  // Time of the last update of latency().
  Instant latency_changed_at() const {
    return Instant(Duration(latency_changed_at_.load(std::memory_order_relaxed)));
  }

  // Typical time to the response head without queueing; 0 before the first response. Falls quickly
  // and rises slowly.
  Duration baseline() const { return Duration(baseline_.load(std::memory_order_relaxed)); }

  // Resets latency, baseline and counts, for a new process with the same id.
  void Reset();

  // Latency above this multiple of the baseline (times the reported calls per slot, if more than 1)
  // is a sign of a collapse.
  static constexpr int kSlowFactor = 4;
  static constexpr Duration kMaxReportAge = std::chrono::seconds(1);
  // Signs and normal responses are counted over intervals of this length.
  static constexpr Duration kCountInterval = std::chrono::milliseconds(200);
  // Two connections lost within this time of each other, without a normal response between them,
  // count as a crash.
  static constexpr Duration kCrashGroupingWindow = std::chrono::milliseconds(100);
  // An upstream with an open window has collapsed when an interval has at least kMinSigns signs,
  // and at least kSignsPerResponse signs per normal response. Overload at twice the capacity gives
  // only one refusal per response.
  static constexpr std::uint32_t kMinSigns = 4;
  static constexpr std::uint32_t kSignsPerResponse = 3;

 private:
  enum class Evidence { kNeutral, kNormal, kSign, kCrash };

  Evidence Classify(const EndedCall& call, Instant now);
  Evidence ClassifyLoss(const EndedCall& call, Instant now);
  bool IsSlow(const EndedCall& call) const;
  bool CountSign(bool is_sign, bool is_window_open, Instant now);
  void UpdateLatency(const EndedCall& call, Instant now);
  void UpdateLatencyEstimate(Duration::rep sample, Instant now);

  std::atomic<Duration::rep> latency_{0};
  std::atomic<Duration::rep> latency_changed_at_{0};
  std::atomic<Duration::rep> baseline_{0};
  std::atomic<Duration::rep> last_loss_at_{INT64_MIN / 2};
  std::atomic<Duration::rep> interval_start_{0};
  // Normal responses in the low half, signs in the high half.
  std::atomic<std::uint64_t> counts_{0};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_UPSTREAM_COLLAPSE_DETECTOR_H_
