#ifndef PRIMROSEWEIR_UPSTREAM_REPORT_CELL_H_
#define PRIMROSEWEIR_UPSTREAM_REPORT_CELL_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>

#include "primroseweir/base/time.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// A load report, with this instance's counts of calls at the time when the upstream wrote it.
struct KnownReport {
  std::uint32_t in_flight = 0;
  Duration latency{};
  Instant written_at;
  // Calls that this instance had sent to the upstream, and those of them that had ended, at
  // `written_at`. The counts wrap around.
  std::uint32_t sent = 0;
  std::uint32_t ended = 0;
};

// Stores the newest load report of one upstream, with this instance's counts of calls at the time
// when it was written. Thread-safe without locks: a sequence counter guards the fields, readers
// retry after a torn read, and of two concurrent writers one gives up.
class ReportCell {
 public:
  // Stores the report if it is newer than the stored one, and returns whether it did. `sent` and
  // `ended` are the counts at `now`; a report of kCurrentReportAge or older is stored with the
  // recorded counts from the time when it was written.
  bool StoreIfNewer(const LoadReport& report, std::uint32_t sent, std::uint32_t ended, Instant now);

  // Records the counts, so that a report that arrives later, such as one from a peer, can be
  // matched with the counts of its time. Records at most once per kSampleInterval and keeps the
  // last kMaxSamples.
  void RecordCounts(std::uint32_t sent, std::uint32_t ended, Instant now);

  std::optional<KnownReport> Get() const;

  static constexpr Duration kSampleInterval = std::chrono::milliseconds(20);
  static constexpr std::size_t kMaxSamples = 16;
  // A report younger than this counts as written now, since the response that carried it has just
  // arrived.
  static constexpr Duration kCurrentReportAge = std::chrono::milliseconds(5);

 private:
  struct CountSample {
    std::atomic<Duration::rep> time{INT64_MIN};
    std::atomic<std::uint64_t> counts{0};
  };

  std::uint64_t CountsAt(Duration::rep time, std::uint64_t current_counts) const;

  std::atomic<std::uint32_t> sequence_{0};
  std::atomic<Duration::rep> written_at_{INT64_MIN};
  std::atomic<std::uint32_t> in_flight_{0};
  std::atomic<Duration::rep> latency_{0};
  // Sent calls in the high half, ended calls in the low half.
  std::atomic<std::uint64_t> counts_{0};
  std::atomic<Duration::rep> last_sample_at_{INT64_MIN / 2};
  std::atomic<std::uint32_t> next_sample_{0};
  std::array<CountSample, kMaxSamples> samples_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_UPSTREAM_REPORT_CELL_H_
