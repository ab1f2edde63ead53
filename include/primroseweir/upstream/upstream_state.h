#ifndef PRIMROSEWEIR_UPSTREAM_UPSTREAM_STATE_H_
#define PRIMROSEWEIR_UPSTREAM_UPSTREAM_STATE_H_

#include <atomic>
#include <cstdint>

#include "primroseweir/base/time.h"
#include "primroseweir/configuration/upstream_record.h"

namespace primroseweir {

// What this instance observes of one upstream. Safe for many threads; no function takes a lock
// unless it says so.
class UpstreamState {
 public:
  UpstreamState(const UpstreamRecord& record, Instant now);
  UpstreamState(const UpstreamState&) = delete;
  UpstreamState& operator=(const UpstreamState&) = delete;

  // The upstream as the platform listed it last. The reference stays valid as long as this object.
  const UpstreamRecord& record() const { return record_; }

  // ---- calls ----

  // Counts one more call of this instance as in flight if fewer than `limit` are; false otherwise.
  bool TryStart(std::uint32_t limit);

  // Ends a call that TryStart counted.
  void End() { in_flight_.fetch_sub(1, std::memory_order_acq_rel); }

  // Calls of this instance that are in flight there.
  std::uint32_t in_flight() const { return in_flight_.load(std::memory_order_acquire); }

  // ---- leaving ----

  // Notes that the upstream itself said that it is leaving.
  void MarkLeaving() { leaving_.store(true, std::memory_order_release); }

  // The list or the upstream itself says that it is leaving.
  bool leaving() const;

 private:
  const UpstreamRecord record_;
  std::atomic<std::uint32_t> in_flight_{0};
  std::atomic<bool> leaving_{false};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_UPSTREAM_UPSTREAM_STATE_H_
