#include "primroseweir/balance/balanced_upstream.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "primroseweir/base/random.h"
#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

// Weight of one attempt in the running averages.
constexpr double kLatencyWeight = 0.3;
constexpr double kFailureWeight = 0.25;
// A single outlier moves the observed slowness by this factor at most.
constexpr double kLargestSlowness = 12;

// Part of an observation of that age that still counts.
double Fade(Duration age, Duration memory) {
  if (age <= Duration::zero()) {
    return 1;
  }
  return std::exp(-std::chrono::duration<double>(age) / std::chrono::duration<double>(memory));
}

// Logarithm of how many usual times an attempt has taken.
double LogRatio(Duration latency, Duration latency_estimate) {
  const double ratio =
      std::chrono::duration<double>(latency) / std::chrono::duration<double>(latency_estimate);
  return std::log(std::clamp(ratio, 1 / kLargestSlowness, kLargestSlowness));
}

bool SameProcess(const UpstreamRecord& a, const UpstreamRecord& b) {
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
  if (!SameProcess(record, record_)) {
    is_misdirected_ = false;
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

// ---- doubt ----

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
    RecordUnanswered(started, latency_estimate, now);
    return;
  }
  const bool failed = outcome != UpstreamOutcome::kAnswered;
  failure_rate_ = failure_rate(now) * (1 - kFailureWeight) + (failed ? kFailureWeight : 0);
  failure_rate_at_ = now;
  const bool timed = outcome == UpstreamOutcome::kAnswered || outcome == UpstreamOutcome::kTimedOut;
  if (timed && latency_estimate > Duration::zero()) {
    AddSample(UnexplainedSlowness(LogRatio(now - started, latency_estimate), now), now);
  }
}

void BalancedUpstream::RecordUnanswered(Instant started, Duration latency_estimate, Instant now) {
  if (latency_estimate <= Duration::zero()) {
    return;
  }
  const double sample = UnexplainedSlowness(LogRatio(now - started, latency_estimate), now);
  if (sample >= std::log(kOverdueFactor) && sample > ObservedSlowness(now)) {
    AddSample(sample, now);
  }
}

double BalancedUpstream::UnexplainedSlowness(double log_ratio, Instant now) const {
  const double stated = std::log(ReportedSlowdown(now));
  return log_ratio <= 0 || stated <= 0 ? log_ratio : std::max(0.0, log_ratio - stated);
}

void BalancedUpstream::AddSample(double log_ratio, Instant now) {
  const double known = ObservedSlowness(now);
  log_slowness_ = known + kLatencyWeight * (log_ratio - known);
  slowness_at_ = now;
}

double BalancedUpstream::ObservedSlowness(Instant now) const {
  return log_slowness_ * Fade(now - slowness_at_, kObservationDecayTime);
}

void BalancedUpstream::RecordReport(const UpstreamLoadReport& load, ReportSource source,
                                    Instant now) {
  // A call whose answer brings the report may no longer count there, but still counts here.
  const double own =
      source == ReportSource::kResponse && in_flight_ > 0 ? in_flight_ - 1 : in_flight_;
  others_in_flight_ = std::max(0.0, static_cast<double>(load.running + load.waiting) - own);
  report_at_ = now;
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
  const double others = others_in_flight_ * Fade(now - report_at_, kReportDecayTime);
  return in_flight_ + std::max(static_cast<double>(peer_in_flight_), others);
}

double BalancedUpstream::slowness(Instant now) const {
  const double seen = std::exp(ObservedSlowness(now));
  return seen * ReportedSlowdown(now);
}

double BalancedUpstream::ReportedSlowdown(Instant now) const {
  return 1 + (slowdown_ - 1) * Fade(now - slowdown_at_, kSlowdownDecayTime);
}

double BalancedUpstream::failure_rate(Instant now) const {
  return failure_rate_ * Fade(now - failure_rate_at_, kObservationDecayTime);
}

}  // namespace primroseweir
