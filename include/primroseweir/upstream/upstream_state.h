#ifndef PRIMROSEWEIR_UPSTREAM_UPSTREAM_STATE_H_
#define PRIMROSEWEIR_UPSTREAM_UPSTREAM_STATE_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <mutex>
#include <optional>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/upstream_record.h"
#include "primroseweir/limits/connection_share.h"
#include "primroseweir/limits/probe_budget.h"
#include "primroseweir/routing/call_result.h"
#include "primroseweir/upstream/collapse_detector.h"
#include "primroseweir/upstream/observation.h"
#include "primroseweir/upstream/report_cell.h"
#include "primroseweir/upstream/warm_up_window.h"

namespace primroseweir {

// What this instance observes of one upstream, and its parts of the upstream's fixed limits. Safe
// for many threads; no function takes a lock unless it says so.
class UpstreamState {
 public:
  // This instance's place in the fleet.
  struct Fleet {
    Seat seat;
    std::uint64_t seats = 1;
    // Seats alive; null counts as this seat alone.
    WarmUpWindow::Seats live;
  };

  UpstreamState(const UpstreamRecord& record, const Fleet& fleet, Instant now);
  UpstreamState(const UpstreamState&) = delete;
  UpstreamState& operator=(const UpstreamState&) = delete;

  // The upstream as the platform listed it last. The reference stays valid as long as this object.
  const UpstreamRecord& record() const { return *record_.load(std::memory_order_acquire); }

  // Takes a changed listing of the same process. Takes a lock; for the controllers' threads.
  void SetRecord(const UpstreamRecord& record, Instant now);

  // ---- calls ----

  // Counts one more call of this instance as in flight if fewer than `limit` are; false otherwise.
  bool TryStart(std::uint32_t limit, Instant now);

  // Ends a call that TryStart counted without a trace: nothing was sent.
  void Undo();

  // What the end of a call means to the routing.
  enum class Effect { kNone, kWindowGrew, kCollapsed };

  // Ends a call that TryStart counted and takes what its result tells. Takes a lock only when the
  // warm-up window changes.
  Effect End(const CallResult& result, Instant started, Instant now);

  // As End for a probe: its latency says nothing about calls and opens no window.
  void EndProbe(const CallResult& result, Instant now);

  // Calls of this instance that are in flight there.
  std::uint32_t in_flight() const { return in_flight_.load(std::memory_order_seq_cst); }
  // Calls that this instance ever sent there, and that ended. They wrap around.
  std::uint32_t sent() const { return sent_.load(std::memory_order_relaxed); }
  std::uint32_t ended() const { return ended_.load(std::memory_order_relaxed); }

  // ---- observations ----

  // Newest report known, over the whole fleet.
  std::optional<KnownReport> report() const { return report_.Get(); }

  Duration latency() const { return collapse_.latency(); }
  Instant latency_changed() const { return collapse_.latency_changed(); }
  Duration baseline() const { return collapse_.baseline(); }
  // Time since the upstream last refused a call of this instance; Duration::max() when never.
  Duration since_refusal(Instant now) const;

  // ---- leaving ----

  // Notes that the upstream itself said that it is leaving. The mark lasts as long as this object:
  // until the list shows the id gone or newly listed. It begins a new epoch, which tells the mark
  // of the old process from the observations of a newly listed one.
  void MarkLeaving(Instant now);

  // Takes what a peer knows. A leaving mark of an older epoch belongs to an older listing. A mark
  // that only a peer reported ends when a peer knows a newer epoch without it.
  // Answers whether the limits or the mark changed.
  bool Merge(const UpstreamObservation& observation, Instant now);

  // What this instance knows, for its peers.
  UpstreamObservation Observation(Instant now) const;

  bool is_leaving_self_reported() const {
    return leaving_source_.load(std::memory_order_acquire) != LeavingSource::kNone;
  }
  bool is_leaving_listed() const { return record().state == ListedState::kLeaving; }
  bool leaving() const { return is_leaving_self_reported() || is_leaving_listed(); }

  // The present table uses the upstream. Set by the table's owner.
  bool in_use() const { return in_use_.load(std::memory_order_acquire); }
  void SetInUse(bool in_use) { in_use_.store(in_use, std::memory_order_release); }

  // ---- limits ----

  WarmUpWindow& window() { return window_; }
  const WarmUpWindow& window() const { return window_; }
  ConnectionShare& connections() { return connections_; }
  // Slots that the live seats' even division assigns to this instance; a preference.
  std::uint32_t owned_slots() const { return owned_slots_.load(std::memory_order_relaxed); }
  void SetOwnedSlots(std::uint32_t slots) { owned_slots_.store(slots, std::memory_order_relaxed); }
  ProbeBudget& probes() { return probes_; }

 private:
  enum class LeavingSource { kNone, kByPeer, kOwn };

  void RecordReport(const LoadReport& report, Instant now);
  double ReportedPerSlot(Instant now) const;

  std::mutex records_mutex_;
  // All listings so far: readers hold references without a lock, and changes are rare.
  std::list<UpstreamRecord> records_;
  std::atomic<const UpstreamRecord*> record_;
  std::atomic<std::uint32_t> in_flight_{0};
  std::atomic<std::uint32_t> owned_slots_{0};
  std::atomic<std::uint32_t> sent_{0};
  std::atomic<std::uint32_t> ended_{0};
  std::atomic<bool> in_use_{true};
  std::atomic<LeavingSource> leaving_source_{LeavingSource::kNone};
  // Epoch of the mark.
  std::atomic<std::uint64_t> leaving_epoch_{0};
  std::atomic<Duration::rep> last_refusal_{INT64_MIN};
  ReportCell report_;
  CollapseDetector collapse_;
  WarmUpWindow window_;
  ConnectionShare connections_;
  ProbeBudget probes_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_UPSTREAM_UPSTREAM_STATE_H_
