#include "primroseweir/upstream/collapse_detector.h"

#include <algorithm>

namespace primroseweir {
namespace {

// As in bench/choice, whose figures chose the policy.
constexpr Duration::rep kLatencyWeight = 5;
constexpr Duration::rep kBaselineFallWeight = 8;
// A new version that is slower for good must not stay at window 1: while cold, the baseline
// reaches any new level within about 20 answers.
constexpr Duration::rep kColdRiseWeight = 64;
constexpr Duration::rep kOpenRiseWeight = 256;

std::uint64_t Good(std::uint64_t counts) { return counts & 0xffffffffU; }
std::uint64_t Signs(std::uint64_t counts) { return counts >> 32; }

Duration::rep Towards(Duration::rep from, Duration::rep to, Duration::rep weight) {
  return from + (to - from) / weight;
}

}  // namespace

CollapseDetector::Detection CollapseDetector::Observe(const EndedCall& call, Instant now) {
  const Kind kind = Classify(call, now);
  UpdateLatency(call, now);
  if (kind == Kind::kNeutral) return Detection::kNone;
  const bool sign = kind != Kind::kGood;
  if (kind == Kind::kCrash || CountSign(sign, call.open, now)) {
    counts_.store(0, std::memory_order_relaxed);
    return Detection::kCollapse;
  }
  return sign ? Detection::kNone : Detection::kNormal;
}

void CollapseDetector::Reset() {
  latency_.store(0, std::memory_order_relaxed);
  baseline_.store(0, std::memory_order_relaxed);
  counts_.store(0, std::memory_order_relaxed);
}

CollapseDetector::Kind CollapseDetector::Classify(const EndedCall& call, Instant now) {
  switch (call.end) {
    case AttemptOutcome::kAnswered:
      if (IsSlow(call)) return Kind::kSign;
      last_loss_.store(INT64_MIN / 2, std::memory_order_relaxed);
      return Kind::kGood;
    case AttemptOutcome::kRefused:
      return call.reported_per_slot >= 1.0 ? Kind::kNeutral : Kind::kSign;
    case AttemptOutcome::kConnectFailed:
      return Kind::kCrash;
    case AttemptOutcome::kConnectionLost:
      return ClassifyLoss(call, now);
    case AttemptOutcome::kTimedOut:
      return baseline() == Duration::zero() || IsSlow(call) ? Kind::kSign : Kind::kNeutral;
    case AttemptOutcome::kCancelled:
      // A hedge answers before a straggler does; the straggler's time still counts.
      return IsSlow(call) ? Kind::kSign : Kind::kNeutral;
  }
  return Kind::kNeutral;
}

CollapseDetector::Kind CollapseDetector::ClassifyLoss(const EndedCall& call, Instant now) {
  // One lost call beside others that go on is no crash: an idle connection may close under it.
  const Duration::rep present = now.time_since_epoch().count();
  const Duration::rep last = last_loss_.exchange(present, std::memory_order_relaxed);
  const bool second = present - last <= kCrashGroupingWindow.count();
  return second || call.still_in_flight == 0 ? Kind::kCrash : Kind::kSign;
}

bool CollapseDetector::IsSlow(const EndedCall& call) const {
  const double base = static_cast<double>(baseline().count());
  if (base <= 0) return false;
  const double queue = std::max(call.reported_per_slot, 1.0);
  return static_cast<double>(call.elapsed.count()) > base * kSlowFactor * queue;
}

bool CollapseDetector::CountSign(bool sign, bool open, Instant now) {
  const Duration::rep present = now.time_since_epoch().count();
  if (present - interval_start_.load(std::memory_order_relaxed) >= kInterval.count()) {
    interval_start_.store(present, std::memory_order_relaxed);
    counts_.store(0, std::memory_order_relaxed);
  }
  const std::uint64_t one = sign ? 1ULL << 32 : 1;
  const std::uint64_t counts = counts_.fetch_add(one, std::memory_order_relaxed) + one;
  if (!sign) return false;
  // During a warm-up the fleet sends no more than the window, so that overload explains nothing.
  if (!open) return Signs(counts) >= Good(counts);
  return Signs(counts) >= kMinimumSigns && Signs(counts) >= kSignsPerResponse * Good(counts);
}

void CollapseDetector::UpdateLatency(const EndedCall& call, Instant now) {
  const Duration::rep sample = std::max<Duration::rep>(call.elapsed.count(), 1);
  if (call.end == AttemptOutcome::kCancelled || call.end == AttemptOutcome::kTimedOut) {
    if (sample > latency_.load(std::memory_order_relaxed)) UpdateLatencyEstimate(sample, now);
    return;
  }
  if (call.end != AttemptOutcome::kAnswered) return;
  UpdateLatencyEstimate(sample, now);
  const Duration::rep base = baseline_.load(std::memory_order_relaxed);
  const Duration::rep rise = call.open ? kOpenRiseWeight : kColdRiseWeight;
  const Duration::rep weight = sample < base ? kBaselineFallWeight : rise;
  baseline_.store(base == 0 ? sample : Towards(base, sample, weight), std::memory_order_relaxed);
}

void CollapseDetector::UpdateLatencyEstimate(Duration::rep sample, Instant now) {
  const Duration::rep latency = latency_.load(std::memory_order_relaxed);
  latency_.store(latency == 0 ? sample : Towards(latency, sample, kLatencyWeight),
                 std::memory_order_relaxed);
  latency_changed_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

}  // namespace primroseweir
