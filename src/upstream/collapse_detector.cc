#include "primroseweir/upstream/collapse_detector.h"

#include <algorithm>

namespace primroseweir {
namespace {

// The same weight (1/5) as in the benchmark bench/choice, whose results decided which
// load-balancing policy is the default.
constexpr Duration::rep kLatencyEwmaDivisor = 5;
constexpr Duration::rep kBaselineFallDivisor = 8;
// A new version that is permanently slower must not stay at window 1: while the window is not open,
// the baseline rises fast enough for any new latency to count as normal after about 20 responses.
constexpr Duration::rep kColdRiseDivisor = 64;
constexpr Duration::rep kOpenRiseDivisor = 256;

std::uint64_t NormalCount(std::uint64_t counts) { return counts & 0xffffffffU; }
std::uint64_t SignCount(std::uint64_t counts) { return counts >> 32; }

Duration::rep MoveTowards(Duration::rep from, Duration::rep to, Duration::rep divisor) {
  return from + (to - from) / divisor;
}

}  // namespace

CollapseDetector::Detection CollapseDetector::Observe(const EndedCall& call, Instant now) {
  const Evidence evidence = Classify(call, now);
  UpdateLatency(call, now);
  if (evidence == Evidence::kNeutral) return Detection::kNone;
  const bool is_sign = evidence != Evidence::kNormal;
  if (evidence == Evidence::kCrash || CountSign(is_sign, call.is_window_open, now)) {
    counts_.store(0, std::memory_order_relaxed);
    return Detection::kCollapse;
  }
  return is_sign ? Detection::kNone : Detection::kNormal;
}

void CollapseDetector::Reset() {
  latency_.store(0, std::memory_order_relaxed);
  baseline_.store(0, std::memory_order_relaxed);
  counts_.store(0, std::memory_order_relaxed);
}

CollapseDetector::Evidence CollapseDetector::Classify(const EndedCall& call, Instant now) {
  switch (call.outcome) {
    case AttemptEnd::kResponded:
      if (IsSlow(call)) return Evidence::kSign;
      last_loss_at_.store(INT64_MIN / 2, std::memory_order_relaxed);
      return Evidence::kNormal;
    case AttemptEnd::kRefused:
      return call.reported_per_slot >= 1.0 ? Evidence::kNeutral : Evidence::kSign;
    case AttemptEnd::kConnectFailed:
      return Evidence::kCrash;
    case AttemptEnd::kConnectionLost:
      return ClassifyLoss(call, now);
    case AttemptEnd::kTimedOut:
      return baseline() == Duration::zero() || IsSlow(call) ? Evidence::kSign : Evidence::kNeutral;
    case AttemptEnd::kCancelled:
      // The response of a hedge cancels the slow attempt before it completes, so its elapsed time
      // is counted here.
      return IsSlow(call) ? Evidence::kSign : Evidence::kNeutral;
  }
  return Evidence::kNeutral;
}

CollapseDetector::Evidence CollapseDetector::ClassifyLoss(const EndedCall& call, Instant now) {
  // A single lost connection while other calls continue is no crash: an idle connection may be
  // closed by the upstream just when a call is sent on it.
  const Duration::rep now_ticks = now.time_since_epoch().count();
  const Duration::rep previous_loss = last_loss_at_.exchange(now_ticks, std::memory_order_relaxed);
  const bool is_second_loss = now_ticks - previous_loss <= kCrashGroupingWindow.count();
  return is_second_loss || call.remaining_in_flight == 0 ? Evidence::kCrash : Evidence::kSign;
}

bool CollapseDetector::IsSlow(const EndedCall& call) const {
  const double baseline_ticks = static_cast<double>(baseline().count());
  if (baseline_ticks <= 0) return false;
  const double queue_factor = std::max(call.reported_per_slot, 1.0);
  return static_cast<double>(call.elapsed.count()) > baseline_ticks * kSlowFactor * queue_factor;
}

bool CollapseDetector::CountSign(bool is_sign, bool is_window_open, Instant now) {
  const Duration::rep now_ticks = now.time_since_epoch().count();
  if (now_ticks - interval_start_.load(std::memory_order_relaxed) >= kCountInterval.count()) {
    interval_start_.store(now_ticks, std::memory_order_relaxed);
    counts_.store(0, std::memory_order_relaxed);
  }
  const std::uint64_t increment = is_sign ? 1ULL << 32 : 1;
  const std::uint64_t counts = counts_.fetch_add(increment, std::memory_order_relaxed) + increment;
  if (!is_sign) return false;
  // During a warm-up the fleet sends no more calls than the window allows, so overload can't
  // explain the signs.
  if (!is_window_open) return SignCount(counts) >= NormalCount(counts);
  return SignCount(counts) >= kMinSigns &&
         SignCount(counts) >= kSignsPerResponse * NormalCount(counts);
}

void CollapseDetector::UpdateLatency(const EndedCall& call, Instant now) {
  const Duration::rep sample = std::max<Duration::rep>(call.elapsed.count(), 1);
  if (call.outcome == AttemptEnd::kCancelled || call.outcome == AttemptEnd::kTimedOut) {
    if (sample > latency_.load(std::memory_order_relaxed)) UpdateLatencyEstimate(sample, now);
    return;
  }
  if (call.outcome != AttemptEnd::kResponded) return;
  UpdateLatencyEstimate(sample, now);
  const Duration::rep baseline_ticks = baseline_.load(std::memory_order_relaxed);
  const Duration::rep rise_divisor = call.is_window_open ? kOpenRiseDivisor : kColdRiseDivisor;
  const Duration::rep divisor = sample < baseline_ticks ? kBaselineFallDivisor : rise_divisor;
  baseline_.store(baseline_ticks == 0 ? sample : MoveTowards(baseline_ticks, sample, divisor),
                  std::memory_order_relaxed);
}

void CollapseDetector::UpdateLatencyEstimate(Duration::rep sample, Instant now) {
  const Duration::rep latency = latency_.load(std::memory_order_relaxed);
  latency_.store(latency == 0 ? sample : MoveTowards(latency, sample, kLatencyEwmaDivisor),
                 std::memory_order_relaxed);
  latency_changed_at_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

}  // namespace primroseweir
