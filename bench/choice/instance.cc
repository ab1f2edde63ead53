#include "bench/choice/instance.h"

#include <limits>
#include <utility>

#include "primroseweir/routing/load_balancing_policy.h"

namespace primroseweir::bench {
namespace {

// Weight of a new latency in the exponentially weighted moving average.
constexpr double kNewLatencyWeight = 0.2;

}  // namespace

Instance::Instance(std::unique_ptr<LoadBalancingPolicy> policy,
                   std::vector<FakeUpstream*> upstreams, std::vector<std::uint32_t> owned_slots,
                   std::uint64_t seed)
    : policy_(std::move(policy)),
      upstreams_(std::move(upstreams)),
      views_(upstreams_.size()),
      random_(seed) {
  for (std::size_t i = 0; i < views_.size(); ++i) views_[i].owned_slots = owned_slots[i];
}

Instance::~Instance() = default;

std::size_t Instance::Pick(Instant now, std::size_t excluded) {
  if (policy_ == nullptr) return PickAsOracle(excluded);
  candidates_.clear();
  for (std::size_t i = 0; i < views_.size(); ++i) {
    if (i != excluded) candidates_.push_back(MakeCandidate(i, now));
  }
  return candidates_[policy_->Pick(candidates_, &random_, now)].index;
}

std::size_t Instance::PickAsOracle(std::size_t excluded) {
  std::size_t best = 0;
  double best_delay = std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    if (i == excluded) continue;
    const FakeUpstream& upstream = *upstreams_[i];
    const double queue_wait =
        upstream.in_flight() < upstream.slots()
            ? 0.0
            : (upstream.in_flight() - upstream.slots() + 1.0) / upstream.slots();
    const double delay = (1.0 + queue_wait) / upstream.speed();
    if (delay >= best_delay) continue;
    best = i;
    best_delay = delay;
  }
  return best;
}

Candidate Instance::MakeCandidate(std::size_t upstream, Instant now) const {
  const UpstreamView& view = views_[upstream];
  Candidate candidate;
  candidate.index = static_cast<std::uint32_t>(upstream);
  candidate.slots = upstreams_[upstream]->slots();
  candidate.owned_slots = view.owned_slots;
  candidate.local_in_flight = view.in_flight;
  candidate.has_report = view.has_report;
  candidate.reported_in_flight = view.report.in_flight;
  candidate.report_age = now - view.report.written_at;
  candidate.sent_since_report = view.sent_since_report;
  candidate.ended_since_report = view.ended_since_report;
  candidate.latency =
      std::chrono::microseconds(static_cast<std::int64_t>(view.latency_microseconds));
  candidate.latency_age = now - view.latency_changed_at;
  if (view.was_refused) candidate.time_since_refusal = now - view.last_refused_at;
  return candidate;
}

void Instance::UpstreamView::RecordLatency(double microseconds, Instant now) {
  const double weight = latency_microseconds == 0 ? 1.0 : kNewLatencyWeight;
  latency_microseconds += weight * (microseconds - latency_microseconds);
  latency_changed_at = now;
}

void Instance::RecordSent(std::size_t upstream) {
  ++views_[upstream].in_flight;
  ++views_[upstream].sent_since_report;
}

void Instance::RecordEnded(std::size_t upstream, Duration latency,
                           const FakeUpstream::Report& report, Instant now) {
  UpstreamView& view = views_[upstream];
  --view.in_flight;
  ++view.ended_since_report;
  view.RecordLatency(static_cast<double>(ToMicroseconds(latency)), now);
  if (!view.has_report || report.written_at > view.report.written_at) {
    view.report = report;
    view.has_report = true;
    view.sent_since_report = 0;
    view.ended_since_report = 0;
  }
}

void Instance::RecordRefused(std::size_t upstream, Instant now) {
  --views_[upstream].in_flight;
  views_[upstream].last_refused_at = now;
  views_[upstream].was_refused = true;
}

void Instance::RecordCancelled(std::size_t upstream, Duration elapsed, Instant now) {
  UpstreamView& view = views_[upstream];
  --view.in_flight;
  const auto microseconds = static_cast<double>(ToMicroseconds(elapsed));
  if (microseconds > view.latency_microseconds) view.RecordLatency(microseconds, now);
}

bool Instance::HasFreeOwnedSlot(std::size_t excluded) const {
  for (std::size_t i = 0; i < views_.size(); ++i) {
    if (i != excluded && views_[i].in_flight < views_[i].owned_slots) return true;
  }
  return false;
}

}  // namespace primroseweir::bench
