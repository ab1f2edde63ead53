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
#include "primroseweir/upstream/report_cell.h"
#include "primroseweir/upstream/upstream_observation.h"
#include "primroseweir/upstream/warm_up_window.h"

namespace primroseweir {

// Observations of this instance about one upstream, and its shares of the upstream's fixed limits.
// Thread-safe; functions take no lock unless their comment says so.
class UpstreamState {
 public:
  // Seat of this instance in the fleet.
  struct SeatFleet {
    Seat seat;
    std::uint64_t seat_count = 1;
    // Live seats; null means this seat only.
    WarmUpWindow::Seats live;
  };

  UpstreamState(const UpstreamRecord& record, const SeatFleet& fleet, Instant now);
  UpstreamState(const UpstreamState&) = delete;
  UpstreamState& operator=(const UpstreamState&) = delete;

  // Returns the upstream as the platform listed it last. The reference stays valid as long as this
  // object.
  const UpstreamRecord& record() const { return *record_.load(std::memory_order_acquire); }

  // Applies a changed listing of the same process. Takes a lock; for the threads of the
  // controllers.
  void SetRecord(const UpstreamRecord& record, Instant now);

  // ---- calls ----

  // Counts one more call of this instance as in flight if fewer than `limit` are. Returns false
  // otherwise.
  bool TryStart(std::uint32_t limit, Instant now);

  // Ends a call that TryStart counted and of which nothing was sent. Records no result.
  void Undo();

  // Effect of a finished call on routing.
  enum class Effect { kNone, kWindowGrew, kCollapsed };

  // Ends a call that TryStart counted and records its result. `started` is when the call was
  // started. Takes a lock only when the warm-up window may change or the upstream reports that it
  // is leaving.
  Effect End(const CallResult& result, Instant started, Instant now);

  // As End, for a probe: its latency does not represent calls, so it neither updates the latency
  // nor grows the window. A failed connect resets the window.
  void EndProbe(const CallResult& result, Instant now);

  // Calls of this instance that are in flight at the upstream.
  std::uint32_t in_flight() const { return in_flight_.load(std::memory_order_seq_cst); }
  // Calls and probes that TryStart ever counted, and those of them that ended or were undone. The
  // counts wrap around.
  std::uint32_t sent() const { return sent_.load(std::memory_order_relaxed); }
  std::uint32_t ended() const { return ended_.load(std::memory_order_relaxed); }

  // ---- observations ----

  // Newest known load report, which covers the whole fleet.
  std::optional<KnownReport> report() const { return report_.Get(); }

  Duration latency() const { return collapse_detector_.latency(); }
  Instant latency_changed_at() const { return collapse_detector_.latency_changed_at(); }
  Duration baseline() const { return collapse_detector_.baseline(); }
  // Time since the upstream last refused a call of this instance; Duration::max() if never.
  Duration time_since_refusal(Instant now) const;

  // ---- leaving ----

  // Records that the upstream itself reported that it is leaving. The mark lasts as long as this
  // object: until the list no longer contains the id or lists it as a new process. It begins a new
  // epoch, by which peers distinguish the mark of the old process from observations of a new one.
  // Takes a lock the first time.
  void MarkLeaving(Instant now);

  // Merges an observation of a peer and returns whether the limits or the leaving mark changed. A
  // leaving mark of an older epoch belongs to an earlier listing and is ignored. A mark that only
  // peers reported is removed when a peer reports a newer epoch without it. Takes a lock.
  bool Merge(const UpstreamObservation& observation, Instant now);

  // Returns the observation that this instance sends to its peers. Takes a lock.
  UpstreamObservation Observation(Instant now) const;

  bool is_leaving_self_reported() const {
    return leaving_.load(std::memory_order_acquire) != Leaving::kNone;
  }
  bool is_leaving_listed() const { return record().state == ListedState::kLeaving; }
  bool is_leaving() const { return is_leaving_self_reported() || is_leaving_listed(); }

  // Whether the current routing table uses the upstream. Set by the owner of the table.
  bool is_in_use() const { return in_use_.load(std::memory_order_acquire); }
  void SetInUse(bool in_use) { in_use_.store(in_use, std::memory_order_release); }

  // ---- limits ----

  WarmUpWindow& window() { return window_; }
  const WarmUpWindow& window() const { return window_; }
  ConnectionShare& connections() { return connections_; }
  // Slots that the even division among the live seats assigns to this instance. A preference, not a
  // limit.
  std::uint32_t owned_slots() const { return owned_slots_.load(std::memory_order_relaxed); }
  void SetOwnedSlots(std::uint32_t slots) { owned_slots_.store(slots, std::memory_order_relaxed); }
  ProbeBudget& probe_budget() { return probe_budget_; }

 private:
  enum class Leaving { kNone, kPeer, kDirect };

  void RecordPeerReport(const LoadReport& report, Instant now);
  double ReportedPerSlot(Instant now) const;

  std::mutex records_mutex_;
  // All listings so far. None is removed, since readers hold references without a lock; changes are
  // rare.
  std::list<UpstreamRecord> records_;
  std::atomic<const UpstreamRecord*> record_;
  std::atomic<std::uint32_t> in_flight_{0};
  std::atomic<std::uint32_t> owned_slots_{0};
  std::atomic<std::uint32_t> sent_{0};
  std::atomic<std::uint32_t> ended_{0};
  std::atomic<bool> in_use_{true};
  std::atomic<Leaving> leaving_{Leaving::kNone};
  // Epoch of the leaving mark.
  std::atomic<std::uint64_t> leaving_epoch_{0};
  std::atomic<Duration::rep> last_refusal_{INT64_MIN};
  ReportCell report_;
  CollapseDetector collapse_detector_;
  WarmUpWindow window_;
  ConnectionShare connections_;
  ProbeBudget probe_budget_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_UPSTREAM_UPSTREAM_STATE_H_
