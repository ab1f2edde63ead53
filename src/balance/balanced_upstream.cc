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
double LogRatio(Duration took, Duration usual) {
  const double ratio = std::chrono::duration<double>(took) / std::chrono::duration<double>(usual);
  return std::log(std::clamp(ratio, 1 / kLargestSlowness, kLargestSlowness));
}

bool SameProcess(const UpstreamRecord& a, const UpstreamRecord& b) {
  return a.started_ms == b.started_ms && a.address == b.address;
}

}  // namespace

BalancedUpstream::BalancedUpstream(UpstreamRecord record, const ColdPacer::Bound& cold_bound)
    : record_(std::move(record)), hash_(StableHash(record_.id.value())), cold_bound_(cold_bound) {}

// ---- listing ----

void BalancedUpstream::Update(const UpstreamRecord& record, const ColdPacer::Bound& cold_bound) {
  if (!SameProcess(record, record_)) {
    misdirected_ = false;
    joined_ = true;
    doubted_ = false;
    log_slowness_ = 0;
    failures_ = 0;
    slowdown_ = 1;
    foreign_ = 0;
  }
  record_ = record;
  cold_bound_ = cold_bound;
  listed_ = true;
}

// ---- cold start ----

void BalancedUpstream::SetCold(Instant until, std::size_t instances, Instant now, Random* random) {
  if (!cold(now) && until > now) {
    pacer_.Start(cold_bound_, instances, now, random);
  }
  cold_until_ = std::max(until, cold_until_);
}

// ---- doubt ----

void BalancedUpstream::Doubt(Cause cause, Instant now) {
  lost_ = cause == Cause::kLoss || (doubted_ && lost_);
  if (!doubted_) {
    doubted_ = true;
    unhealthy_probes_ = 0;
    next_probe_ = now;
  }
}

void BalancedUpstream::Trust(Duration warm_up_left, std::size_t instances, Instant now,
                             Random* random) {
  doubted_ = false;
  if (warm_up_left > Duration::zero()) {
    SetCold(now + warm_up_left, instances, now, random);
  }
}

void BalancedUpstream::NoteUnhealthy() {
  if (++unhealthy_probes_ >= kIgnoredProbes) {
    doubted_ = false;
  }
}

bool BalancedUpstream::TakeProbe(Instant now) {
  if (!doubted_ || now < next_probe_) {
    return false;
  }
  next_probe_ = now + kProbeInterval;
  return true;
}

// ---- load ----

void BalancedUpstream::NoteEnd(AttemptResult result, Instant started, Duration usual, Instant now) {
  if (in_flight_ > 0) {
    --in_flight_;
  }
  if (result == AttemptResult::kCancelled) {
    NoteUnanswered(started, usual, now);
    return;
  }
  const bool failed = result != AttemptResult::kAnswered;
  failures_ = failures(now) * (1 - kFailureWeight) + (failed ? kFailureWeight : 0);
  failures_at_ = now;
  const bool timed = result == AttemptResult::kAnswered || result == AttemptResult::kTimedOut;
  if (timed && usual > Duration::zero()) {
    AddSample(Unexplained(LogRatio(now - started, usual), now), now);
  }
}

void BalancedUpstream::NoteUnanswered(Instant started, Duration usual, Instant now) {
  if (usual <= Duration::zero()) {
    return;
  }
  const double sample = Unexplained(LogRatio(now - started, usual), now);
  if (sample >= std::log(kOverdue) && sample > SeenSlowness(now)) {
    AddSample(sample, now);
  }
}

double BalancedUpstream::Unexplained(double log_ratio, Instant now) const {
  const double stated = std::log(StatedSlowdown(now));
  return log_ratio <= 0 || stated <= 0 ? log_ratio : std::max(0.0, log_ratio - stated);
}

void BalancedUpstream::AddSample(double log_ratio, Instant now) {
  const double known = SeenSlowness(now);
  log_slowness_ = known + kLatencyWeight * (log_ratio - known);
  slowness_at_ = now;
}

double BalancedUpstream::SeenSlowness(Instant now) const {
  return log_slowness_ * Fade(now - slowness_at_, kObservationMemory);
}

void BalancedUpstream::NoteReport(const UpstreamLoad& load, ReportSource source, Instant now) {
  // A call whose answer brings the report may no longer count there, but still counts here.
  const double own =
      source == ReportSource::kAnswer && in_flight_ > 0 ? in_flight_ - 1 : in_flight_;
  foreign_ = std::max(0.0, static_cast<double>(load.running + load.waiting) - own);
  report_at_ = now;
  reported_running_ = load.running;
  reported_waiting_ = load.waiting;
  slowdown_ = load.slowdown;
  slowdown_at_ = now;
}

void BalancedUpstream::NotePeerSlowdown(double slowdown, Instant measured) {
  if (measured > slowdown_at_) {
    slowdown_ = slowdown;
    slowdown_at_ = measured;
  }
}

double BalancedUpstream::occupancy(Instant now) const {
  const double foreign = foreign_ * Fade(now - report_at_, kReportMemory);
  return in_flight_ + std::max(static_cast<double>(peer_in_flight_), foreign);
}

double BalancedUpstream::slowness(Instant now) const {
  const double seen = std::exp(SeenSlowness(now));
  return seen * StatedSlowdown(now);
}

double BalancedUpstream::StatedSlowdown(Instant now) const {
  return 1 + (slowdown_ - 1) * Fade(now - slowdown_at_, kSlowdownMemory);
}

double BalancedUpstream::failures(Instant now) const {
  return failures_ * Fade(now - failures_at_, kObservationMemory);
}

}  // namespace primroseweir
