#include "primroseweir/upstream/upstream_state.h"

#include <algorithm>

namespace primroseweir {
namespace {

ProbeBudget::Upstream ProbeCost(const UpstreamRecord& record) {
  if (record.probe_target.empty()) return {0, Duration::zero()};
  return {record.slots, record.probe_cost};
}

bool HasSameProbeBudget(const UpstreamRecord& a, const UpstreamRecord& b) {
  return a.slots == b.slots && a.probe_cost == b.probe_cost && a.probe_target == b.probe_target;
}

}  // namespace

UpstreamState::UpstreamState(const UpstreamRecord& record, const SeatFleet& fleet, Instant now)
    : records_{record},
      record_(&records_.front()),
      window_(record.id, record.slots, fleet.seat, fleet.live, now),
      connections_(record.id.value(), fleet.seat, std::max<std::uint64_t>(fleet.seat_count, 1),
                   record.connections),
      probe_budget_(ProbeCost(record), fleet.seat_count, now) {}

void UpstreamState::SetRecord(const UpstreamRecord& record, Instant now) {
  const std::lock_guard<std::mutex> lock(records_mutex_);
  const UpstreamRecord& previous = this->record();
  if (!HasSameProbeBudget(previous, record)) probe_budget_.SetUpstream(ProbeCost(record), now);
  records_.push_back(record);
  record_.store(&records_.back(), std::memory_order_release);
  window_.SetSlots(record.slots);
  connections_.SetConnections(record.connections);
}

// ---- calls ----

bool UpstreamState::TryStart(std::uint32_t limit, Instant now) {
  std::uint32_t current = in_flight_.load(std::memory_order_seq_cst);
  while (current < limit) {
    if (in_flight_.compare_exchange_weak(current, current + 1, std::memory_order_seq_cst)) {
      report_.RecordCounts(sent(), ended(), now);
      sent_.fetch_add(1, std::memory_order_relaxed);
      return true;
    }
  }
  return false;
}

void UpstreamState::Undo() {
  ended_.fetch_add(1, std::memory_order_relaxed);
  in_flight_.fetch_sub(1, std::memory_order_seq_cst);
}

UpstreamState::Effect UpstreamState::End(const CallResult& result, Instant started, Instant now) {
  if (result.leaving) MarkLeaving(now);
  const bool was_share_full = in_flight() >= window_.limit();
  ended_.fetch_add(1, std::memory_order_relaxed);
  if (result.report) report_.StoreIfNewer(*result.report, sent(), ended(), now);
  if (result.outcome == AttemptEnd::kRefused) {
    last_refusal_.store(now.time_since_epoch().count(), std::memory_order_relaxed);
  }
  const std::uint32_t remaining = in_flight_.fetch_sub(1, std::memory_order_seq_cst) - 1;
  const bool has_response = result.outcome == AttemptEnd::kResponded;
  const EndedCall call{result.outcome, has_response ? result.time_to_head : now - started,
                       ReportedPerSlot(now), remaining, window_.is_open()};
  const auto detection = collapse_detector_.Observe(call, now);
  // A call that started before the last change of the window was sent under another window and
  // gives no evidence about the current one.
  const bool started_in_window = started >= window_.changed_at();
  if (detection == CollapseDetector::Detection::kCollapse && started_in_window) {
    return window_.Reset(now) ? Effect::kCollapsed : Effect::kNone;
  }
  if (detection == CollapseDetector::Detection::kNormal && was_share_full) {
    return window_.Grow(started, now) ? Effect::kWindowGrew : Effect::kNone;
  }
  return Effect::kNone;
}

void UpstreamState::EndProbe(const CallResult& result, Instant now) {
  if (result.leaving) MarkLeaving(now);
  ended_.fetch_add(1, std::memory_order_relaxed);
  if (result.report) report_.StoreIfNewer(*result.report, sent(), ended(), now);
  in_flight_.fetch_sub(1, std::memory_order_seq_cst);
  if (result.outcome == AttemptEnd::kConnectFailed) window_.Reset(now);
}

// ---- observations ----

void UpstreamState::RecordPeerReport(const LoadReport& report, Instant now) {
  LoadReport clamped = report;
  clamped.age = std::max(report.age, Duration::zero());
  report_.StoreIfNewer(clamped, sent(), ended(), now);
}

Duration UpstreamState::time_since_refusal(Instant now) const {
  const Duration::rep last = last_refusal_.load(std::memory_order_relaxed);
  if (last == INT64_MIN) return Duration::max();
  return std::max(now - Instant(Duration(last)), Duration::zero());
}

// ---- leaving and peers ----

void UpstreamState::MarkLeaving(Instant now) {
  if (leaving_.exchange(Leaving::kDirect, std::memory_order_acq_rel) == Leaving::kDirect) return;
  window_.Restart(now);
  leaving_epoch_.store(window_.epoch_window().epoch.value(), std::memory_order_release);
}

bool UpstreamState::Merge(const UpstreamObservation& observation, Instant now) {
  const Epoch local_epoch = window_.epoch_window().epoch;
  if (observation.report) RecordPeerReport(*observation.report, now);
  bool changed = window_.Merge(observation.epoch, observation.window, now);
  Leaving source = leaving_.load(std::memory_order_acquire);
  if (observation.leaving && observation.epoch >= local_epoch && source == Leaving::kNone) {
    leaving_epoch_.store(observation.epoch.value(), std::memory_order_release);
    changed |= leaving_.compare_exchange_strong(source, Leaving::kPeer, std::memory_order_acq_rel);
  }
  const Epoch mark_epoch(leaving_epoch_.load(std::memory_order_acquire));
  if (!observation.leaving && observation.epoch > mark_epoch && source == Leaving::kPeer) {
    changed |= leaving_.compare_exchange_strong(source, Leaving::kNone, std::memory_order_acq_rel);
  }
  return changed;
}

UpstreamObservation UpstreamState::Observation(Instant now) const {
  UpstreamObservation observation;
  observation.id = record().id;
  const WarmUpWindow::EpochWindow pair = window_.epoch_window();
  observation.epoch = pair.epoch;
  observation.window = pair.window;
  observation.leaving = is_leaving_self_reported();
  if (observation.leaving) {
    observation.epoch = Epoch(leaving_epoch_.load(std::memory_order_acquire));
    observation.window = 1;
  }
  if (const auto report = report_.Get()) {
    observation.report = LoadReport{report->in_flight, report->latency,
                                    std::max(now - report->written_at, Duration::zero())};
  }
  return observation;
}

double UpstreamState::ReportedPerSlot(Instant now) const {
  const auto report = report_.Get();
  if (!report || now - report->written_at > CollapseDetector::kMaxReportAge) return 0;
  return static_cast<double>(report->in_flight) / std::max(record().slots, 1U);
}

}  // namespace primroseweir
