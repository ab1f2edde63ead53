#ifndef PRIMROSEWEIR_UPSTREAM_REPORT_CELL_H_
#define PRIMROSEWEIR_UPSTREAM_REPORT_CELL_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

#include "primroseweir/base/time.h"
#include "primroseweir/upstream/observation.h"

namespace primroseweir {

// A load report and what this instance had sent when it was written.
struct KnownReport {
  std::uint32_t in_flight = 0;
  Duration latency{};
  Instant written_at;
  // Calls that this instance had sent, and that had ended, when the report was written.
  std::uint32_t sent = 0;
  std::uint32_t ended = 0;
};

// Newest load report of one upstream, with this instance's counts of calls at the time it was
// written. Readers and writers take no lock: a sequence counter guards the fields, a reader repeats
// torn reads, and of two concurrent writers one gives up.
class ReportCell {
 public:
  // Keeps the report if it is newer than the present one. `sent` and `ended` are the counts at
  // `now`; for an older report the counts of the sample before it are taken.
  // Answers whether it was kept.
  bool Offer(const LoadReport& report, std::uint32_t sent, std::uint32_t ended, Instant now);

  // Remembers the counts so that a report of a peer can be compared with them. Keeps one sample
  // per kSampleDistance.
  void Sample(std::uint32_t sent, std::uint32_t ended, Instant now);

  std::optional<KnownReport> Get() const;

  static constexpr Duration kSampleDistance = std::chrono::milliseconds(20);
  static constexpr std::size_t kSamples = 16;
  // A report that is younger counts as written now: the answer that carried it just arrived.
  static constexpr Duration kCurrentReportAge = std::chrono::milliseconds(5);

 private:
  struct CountSample {
    std::atomic<Duration::rep> time{INT64_MIN};
    std::atomic<std::uint64_t> counts{0};
  };

  std::uint64_t CountsAt(Duration::rep time, std::uint64_t present) const;

  std::atomic<std::uint32_t> sequence_{0};
  std::atomic<Duration::rep> written_{INT64_MIN};
  std::atomic<std::uint32_t> in_flight_{0};
  std::atomic<Duration::rep> latency_{0};
  // Sent in the high half, ended in the low half.
  std::atomic<std::uint64_t> counts_{0};
  std::atomic<Duration::rep> last_sample_{INT64_MIN / 2};
  std::atomic<std::uint32_t> next_sample_{0};
  std::array<CountSample, kSamples> samples_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_UPSTREAM_REPORT_CELL_H_
