#include "primroseweir/upstream/report_cell.h"

namespace primroseweir {
namespace {

std::uint64_t Pack(std::uint32_t sent, std::uint32_t ended) {
  return (static_cast<std::uint64_t>(sent) << 32) | ended;
}

}  // namespace

bool ReportCell::Offer(const LoadReport& report, std::uint32_t sent, std::uint32_t ended,
                       Instant now) {
  const Duration::rep written_at = (now - report.age).time_since_epoch().count();
  std::uint32_t sequence = sequence_.load(std::memory_order_relaxed);
  if (sequence % 2 != 0) return false;
  if (written_at <= written_.load(std::memory_order_relaxed)) return false;
  if (!sequence_.compare_exchange_strong(sequence, sequence + 1, std::memory_order_acq_rel)) {
    return false;
  }
  const std::uint64_t present = Pack(sent, ended);
  // Release stores keep the odd sequence number before the fields.
  written_.store(written_at, std::memory_order_release);
  in_flight_.store(report.in_flight, std::memory_order_release);
  latency_.store(report.latency.count(), std::memory_order_release);
  counts_.store(report.age < kCurrentReportAge ? present : CountsAt(written_at, present),
                std::memory_order_release);
  sequence_.store(sequence + 2, std::memory_order_release);
  return true;
}

void ReportCell::Sample(std::uint32_t sent, std::uint32_t ended, Instant now) {
  const Duration::rep time = now.time_since_epoch().count();
  Duration::rep last = last_sample_.load(std::memory_order_relaxed);
  if (time - last < kSampleDistance.count()) return;
  if (!last_sample_.compare_exchange_strong(last, time, std::memory_order_relaxed)) return;
  CountSample& sample = samples_[next_sample_.fetch_add(1, std::memory_order_relaxed) % kSamples];
  sample.time.store(time, std::memory_order_relaxed);
  sample.counts.store(Pack(sent, ended), std::memory_order_relaxed);
}

std::optional<KnownReport> ReportCell::Get() const {
  KnownReport report;
  while (true) {
    const std::uint32_t before = sequence_.load(std::memory_order_acquire);
    const Duration::rep written_at = written_.load(std::memory_order_acquire);
    report.in_flight = in_flight_.load(std::memory_order_acquire);
    report.latency = Duration(latency_.load(std::memory_order_acquire));
    const std::uint64_t counts = counts_.load(std::memory_order_acquire);
    const std::uint32_t after = sequence_.load(std::memory_order_relaxed);
    if (before != after || before % 2 != 0) continue;
    if (written_at == INT64_MIN) return std::nullopt;
    report.written_at = Instant(Duration(written_at));
    report.sent = static_cast<std::uint32_t>(counts >> 32);
    report.ended = static_cast<std::uint32_t>(counts);
    return report;
  }
}

std::uint64_t ReportCell::CountsAt(Duration::rep time, std::uint64_t present) const {
  // The newest sample that is not newer than `time`. Without one the upstream had no calls of this
  // instance lately, or the report is older than all samples; then the oldest sample is nearest.
  Duration::rep best_time = INT64_MIN;
  Duration::rep oldest_time = INT64_MAX;
  std::uint64_t best = present;
  std::uint64_t oldest = present;
  for (const CountSample& sample : samples_) {
    const Duration::rep sampled = sample.time.load(std::memory_order_relaxed);
    if (sampled == INT64_MIN) continue;
    const std::uint64_t counts = sample.counts.load(std::memory_order_relaxed);
    if (sampled <= time && sampled > best_time) {
      best_time = sampled;
      best = counts;
    }
    if (sampled < oldest_time) {
      oldest_time = sampled;
      oldest = counts;
    }
  }
  return best_time == INT64_MIN ? oldest : best;
}

}  // namespace primroseweir
