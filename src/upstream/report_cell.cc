#include "primroseweir/upstream/report_cell.h"

namespace primroseweir {
namespace {

std::uint64_t Pack(std::uint32_t sent, std::uint32_t ended) {
  return (static_cast<std::uint64_t>(sent) << 32) | ended;
}

}  // namespace

bool ReportCell::StoreIfNewer(const LoadReport& report, std::uint32_t sent, std::uint32_t ended,
                              Instant now) {
  const Duration::rep written_at = (now - report.age).time_since_epoch().count();
  std::uint32_t sequence = sequence_.load(std::memory_order_relaxed);
  if (sequence % 2 != 0) return false;
  if (written_at <= written_at_.load(std::memory_order_relaxed)) return false;
  if (!sequence_.compare_exchange_strong(sequence, sequence + 1, std::memory_order_acq_rel)) {
    return false;
  }
  const std::uint64_t current_counts = Pack(sent, ended);
  // Release stores prevent the fields from being written before the odd sequence number.
  written_at_.store(written_at, std::memory_order_release);
  in_flight_.store(report.in_flight, std::memory_order_release);
  latency_.store(report.latency.count(), std::memory_order_release);
  counts_.store(
      report.age < kCurrentReportAge ? current_counts : CountsAt(written_at, current_counts),
      std::memory_order_release);
  sequence_.store(sequence + 2, std::memory_order_release);
  return true;
}

void ReportCell::RecordCounts(std::uint32_t sent, std::uint32_t ended, Instant now) {
  const Duration::rep time = now.time_since_epoch().count();
  Duration::rep last = last_sample_at_.load(std::memory_order_relaxed);
  if (time - last < kSampleInterval.count()) return;
  if (!last_sample_at_.compare_exchange_strong(last, time, std::memory_order_relaxed)) return;
  CountSample& sample =
      samples_[next_sample_.fetch_add(1, std::memory_order_relaxed) % kMaxSamples];
  sample.time.store(time, std::memory_order_relaxed);
  sample.counts.store(Pack(sent, ended), std::memory_order_relaxed);
}

std::optional<KnownReport> ReportCell::Get() const {
  KnownReport report;
  while (true) {
    const std::uint32_t sequence_before = sequence_.load(std::memory_order_acquire);
    const Duration::rep written_at = written_at_.load(std::memory_order_acquire);
    report.in_flight = in_flight_.load(std::memory_order_acquire);
    report.latency = Duration(latency_.load(std::memory_order_acquire));
    const std::uint64_t counts = counts_.load(std::memory_order_acquire);
    const std::uint32_t sequence_after = sequence_.load(std::memory_order_relaxed);
    if (sequence_before != sequence_after || sequence_before % 2 != 0) continue;
    if (written_at == INT64_MIN) return std::nullopt;
    report.written_at = Instant(Duration(written_at));
    report.sent = static_cast<std::uint32_t>(counts >> 32);
    report.ended = static_cast<std::uint32_t>(counts);
    return report;
  }
}

std::uint64_t ReportCell::CountsAt(Duration::rep time, std::uint64_t current_counts) const {
  // Uses the newest sample that is not newer than `time`. If there is none, this instance sent no
  // calls to the upstream recently, or the report is older than all samples; then the oldest sample
  // is the closest.
  Duration::rep best_time = INT64_MIN;
  Duration::rep oldest_time = INT64_MAX;
  std::uint64_t best_counts = current_counts;
  std::uint64_t oldest_counts = current_counts;
  for (const CountSample& sample : samples_) {
    const Duration::rep sample_time = sample.time.load(std::memory_order_relaxed);
    if (sample_time == INT64_MIN) continue;
    const std::uint64_t counts = sample.counts.load(std::memory_order_relaxed);
    if (sample_time <= time && sample_time > best_time) {
      best_time = sample_time;
      best_counts = counts;
    }
    if (sample_time < oldest_time) {
      oldest_time = sample_time;
      oldest_counts = counts;
    }
  }
  return best_time == INT64_MIN ? oldest_counts : best_counts;
}

}  // namespace primroseweir
