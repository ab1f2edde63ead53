#include "primroseweir/upstream/collapse_detector.h"

#include <algorithm>

namespace primroseweir {
namespace {

constexpr Duration::rep kLatencyWeight = 8;
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

CollapseDetector::Verdict CollapseDetector::Observe(const EndedCall& call, Instant now) {
  const Kind kind = Classify(call, now);
  if (call.end == AttemptEnd::kAnswered) Learn(call);
  if (kind == Kind::kNeutral) return Verdict::kNone;
  const bool sign = kind != Kind::kGood;
  if (kind == Kind::kCrash || Count(sign, call.open, now)) {
    counts_.store(0, std::memory_order_relaxed);
    return Verdict::kCollapse;
  }
  return sign ? Verdict::kNone : Verdict::kNormal;
}

void CollapseDetector::Reset() {
  latency_.store(0, std::memory_order_relaxed);
  baseline_.store(0, std::memory_order_relaxed);
  counts_.store(0, std::memory_order_relaxed);
}

CollapseDetector::Kind CollapseDetector::Classify(const EndedCall& call, Instant now) {
  switch (call.end) {
    case AttemptEnd::kAnswered:
      if (Slow(call)) return Kind::kSign;
      last_loss_.store(INT64_MIN / 2, std::memory_order_relaxed);
      return Kind::kGood;
    case AttemptEnd::kRefused:
      return call.reported_per_slot >= 1.0 ? Kind::kNeutral : Kind::kSign;
    case AttemptEnd::kConnectFailed:
      return Kind::kCrash;
    case AttemptEnd::kConnectionLost:
      return ClassifyLoss(call, now);
    case AttemptEnd::kTimedOut:
      return baseline() == Duration::zero() || Slow(call) ? Kind::kSign : Kind::kNeutral;
    case AttemptEnd::kCancelled:
      // A hedge answers before a straggler does; the straggler's time still counts.
      return Slow(call) ? Kind::kSign : Kind::kNeutral;
  }
  return Kind::kNeutral;
}

CollapseDetector::Kind CollapseDetector::ClassifyLoss(const EndedCall& call, Instant now) {
  // One lost call beside others that go on is no crash: an idle connection may close under it.
  const Duration::rep present = now.time_since_epoch().count();
  const Duration::rep last = last_loss_.exchange(present, std::memory_order_relaxed);
  const bool second = present - last <= kCrashSpread.count();
  return second || call.still_in_flight == 0 ? Kind::kCrash : Kind::kSign;
}

bool CollapseDetector::Slow(const EndedCall& call) const {
  const double base = static_cast<double>(baseline().count());
  if (base <= 0) return false;
  const double queue = std::max(call.reported_per_slot, 1.0);
  return static_cast<double>(call.elapsed.count()) > base * kSlowFactor * queue;
}

bool CollapseDetector::Count(bool sign, bool open, Instant now) {
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
  return Signs(counts) >= kMinimumSigns && Signs(counts) >= kSignsPerAnswer * Good(counts);
}

void CollapseDetector::Learn(const EndedCall& call) {
  const Duration::rep sample = std::max<Duration::rep>(call.elapsed.count(), 1);
  const Duration::rep latency = latency_.load(std::memory_order_relaxed);
  latency_.store(latency == 0 ? sample : Towards(latency, sample, kLatencyWeight),
                 std::memory_order_relaxed);
  const Duration::rep base = baseline_.load(std::memory_order_relaxed);
  const Duration::rep rise = call.open ? kOpenRiseWeight : kColdRiseWeight;
  const Duration::rep weight = sample < base ? kBaselineFallWeight : rise;
  baseline_.store(base == 0 ? sample : Towards(base, sample, weight), std::memory_order_relaxed);
}

}  // namespace primroseweir
