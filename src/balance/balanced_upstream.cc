#include "primroseweir/balance/balanced_upstream.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "primroseweir/base/random.h"
#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

// Weights of one attempt in the running averages.
constexpr double kLatencyWeight = 0.3;
constexpr double kFailureWeight = 0.25;
// Latency ratios are clamped to this factor, which limits the effect of a single outlier.
constexpr double kMaxLatencyRatio = 12;

// Returns the remaining weight of an observation of that age: exponential decay.
double DecayFactor(Duration age, Duration decay_time) {
  if (age <= Duration::zero()) {
    return 1;
  }
  return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(decay_time));
}

// Returns the natural logarithm of the ratio of an attempt's duration to the latency estimate. The
// ratio is clamped to kMaxLatencyRatio in either direction.
double LogRatio(Duration latency, Duration latency_estimate) {
  const double ratio =
      std::chrono::duration<double>(latency) / std::chrono::duration<double>(latency_estimate);
  return std::log(std::clamp(ratio, 1 / kMaxLatencyRatio, kMaxLatencyRatio));
}

bool IsSameProcess(const UpstreamRecord& a, const UpstreamRecord& b) {
  return a.started_ms == b.started_ms && a.address == b.address;
}

}  // namespace

BalancedUpstream::BalancedUpstream(UpstreamRecord record, const WarmUpPacer::Limits& warm_up_limits)
    : record_(std::move(record)),
      hash_(StableHash(record_.id.value())),
      warm_up_limits_(warm_up_limits) {}

// ---- listing ----

void BalancedUpstream::Update(const UpstreamRecord& record,
                              const WarmUpPacer::Limits& warm_up_limits) {
  if (!IsSameProcess(record, record_)) {
    is_misdirected_ = false;
    is_leaving_ = false;
    pause_ = UpstreamPause();
    is_new_ = true;
    is_suspect_ = false;
    log_slowness_ = 0;
    failure_rate_ = 0;
    slowdown_ = 1;
    others_in_flight_ = 0;
  }
  record_ = record;
  warm_up_limits_ = warm_up_limits;
  is_listed_ = true;
}

// ---- cold start ----

void BalancedUpstream::SetCold(Instant until, std::size_t instances, Instant now, Random* random) {
  if (!is_cold(now) && until > now) {
    pacer_.Start(warm_up_limits_, instances, now, random);
  }
  cold_until_ = std::max(until, cold_until_);
}

// ---- suspect state ----

void BalancedUpstream::MarkSuspect(SuspectCause cause, Instant now) {
  connection_lost_ = cause == SuspectCause::kConnectionLost || (is_suspect_ && connection_lost_);
  if (!is_suspect_) {
    is_suspect_ = true;
    unhealthy_probes_ = 0;
    next_probe_ = now;
  }
}

void BalancedUpstream::ClearSuspect(Duration warm_up_left, std::size_t instances, Instant now,
                                    Random* random) {
  is_suspect_ = false;
  if (warm_up_left > Duration::zero()) {
    SetCold(now + warm_up_left, instances, now, random);
  }
}

void BalancedUpstream::RecordUnhealthyProbe() {
  if (++unhealthy_probes_ >= kMaxIgnoredProbes) {
    is_suspect_ = false;
  }
}

bool BalancedUpstream::TryAcquireProbe(Instant now) {
  if (!is_suspect_ || now < next_probe_) {
    return false;
  }
  next_probe_ = now + kProbeInterval;
  return true;
}

// ---- load ----

void BalancedUpstream::RecordEnd(UpstreamOutcome outcome, Instant started,
                                 Duration latency_estimate, Instant now) {
  if (in_flight_ > 0) {
    --in_flight_;
  }
  if (outcome == UpstreamOutcome::kCancelled) {
    RecordOverdue(started, latency_estimate, now);
    return;
  }
  const bool failed = outcome != UpstreamOutcome::kResponded;
  failure_rate_ = failure_rate(now) * (1 - kFailureWeight) + (failed ? kFailureWeight : 0);
  failure_rate_at_ = now;
  const bool has_latency_sample =
      outcome == UpstreamOutcome::kResponded || outcome == UpstreamOutcome::kTimedOut;
  if (has_latency_sample && latency_estimate > Duration::zero()) {
    AddSample(UnexplainedSlowness(LogRatio(now - started, latency_estimate), now), now);
  }
}

void BalancedUpstream::RecordOverdue(Instant started, Duration latency_estimate, Instant now) {
  if (latency_estimate <= Duration::zero()) {
    return;
  }
  const double sample = UnexplainedSlowness(LogRatio(now - started, latency_estimate), now);
  if (sample >= std::log(kOverdueFactor) && sample > ObservedSlowness(now)) {
    AddSample(sample, now);
  }
}

double BalancedUpstream::UnexplainedSlowness(double log_ratio, Instant now) const {
  const double log_reported_slowdown = std::log(ReportedSlowdown(now));
  return log_ratio <= 0 || log_reported_slowdown <= 0
             ? log_ratio
             : std::max(0.0, log_ratio - log_reported_slowdown);
}

void BalancedUpstream::AddSample(double log_ratio, Instant now) {
  const double current = ObservedSlowness(now);
  log_slowness_ = current + kLatencyWeight * (log_ratio - current);
  slowness_at_ = now;
}

double BalancedUpstream::ObservedSlowness(Instant now) const {
  return log_slowness_ * DecayFactor(now - slowness_at_, kObservationDecayTime);
}

void BalancedUpstream::RecordReport(const UpstreamLoadReport& load, ReportSource source,
                                    Instant now) {
  // The call whose response carries the report may no longer count at the upstream, but is still
  // in in_flight_.
  const double own_in_flight =
      source == ReportSource::kResponse && in_flight_ > 0 ? in_flight_ - 1 : in_flight_;
  others_in_flight_ =
      std::max(0.0, static_cast<double>(load.running + load.waiting) - own_in_flight);
  reported_at_ = now;
  reported_running_ = load.running;
  reported_waiting_ = load.waiting;
  slowdown_ = load.slowdown;
  slowdown_at_ = now;
}

void BalancedUpstream::RecordPeerSlowdown(double slowdown, Instant measured) {
  if (measured > slowdown_at_) {
    slowdown_ = slowdown;
    slowdown_at_ = measured;
  }
}

double BalancedUpstream::occupancy(Instant now) const {
  const double others = others_in_flight_ * DecayFactor(now - reported_at_, kReportDecayTime);
  return in_flight_ + std::max(static_cast<double>(peer_in_flight_), others);
}

double BalancedUpstream::slowness(Instant now) const {
  const double observed = std::exp(ObservedSlowness(now));
  return observed * ReportedSlowdown(now);
}

double BalancedUpstream::ReportedSlowdown(Instant now) const {
  return 1 + (slowdown_ - 1) * DecayFactor(now - slowdown_at_, kSlowdownDecayTime);
}

double BalancedUpstream::failure_rate(Instant now) const {
  return failure_rate_ * DecayFactor(now - failure_rate_at_, kObservationDecayTime);
}

}  // namespace primroseweir
