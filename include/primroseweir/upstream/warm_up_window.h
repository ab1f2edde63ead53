#ifndef PRIMROSEWEIR_UPSTREAM_WARM_UP_WINDOW_H_
#define PRIMROSEWEIR_UPSTREAM_WARM_UP_WINDOW_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Warm-up window of one upstream: the number of concurrent calls that the whole fleet may send to
// it while it is cold, and this seat's share of them. The pair (epoch, window) is merged by the
// lexicographic maximum. Thread-safe; limit(), open(), changed_at() and is_settled() take no lock,
// and Grow takes one only when the window may grow.
class WarmUpWindow {
 public:
  using Seats = std::shared_ptr<const std::vector<std::uint64_t>>;

  // Starts at epoch 0 and window 1. `slots` is at least 1. `live` holds the live seats; null or an
  // empty list means this seat only.
  WarmUpWindow(UpstreamId id, std::uint32_t slots, Seat seat, Seats live, Instant now);

  // ---- limits ----

  // Concurrent calls that this seat may send to the upstream: its share of the window, or `slots`
  // when the window is open.
  std::uint32_t limit() const { return limit_.load(std::memory_order_seq_cst); }

  // Whether the window has reached the number of slots (2 for an upstream with one slot, whose
  // window would otherwise be open to all seats from the start).
  bool is_open() const { return is_open_.load(std::memory_order_acquire); }

  // Epoch and window of the same moment. A pair of different moments could open the window of a
  // cold upstream at the peers.
  struct EpochWindow {
    Epoch epoch;
    std::uint32_t window = 1;
  };
  EpochWindow epoch_window() const;
  // Time of the last change of (epoch, window) at this instance, or of a reset at window 1.
  Instant changed_at() const {
    return Instant(Duration(changed_at_.load(std::memory_order_acquire)));
  }

  // ---- changes; bool results: whether (epoch, window) or the limit changed ----

  void SetSlots(std::uint32_t slots);
  bool SetLiveSeats(Seats live);

  // Adopts the pair of a peer if it is greater.
  bool Merge(Epoch epoch, std::uint32_t window, Instant now);

  // Records that a call that started at `call_started` completed with normal latency. Doubles the
  // window if the call started after the last change and the change is at least the growth interval
  // ago: kGrowthInterval, or up to kMaxGrowthInterval after repeated collapses.
  bool Grow(Instant call_started, Instant now);

  // Begins a higher epoch with window 1 that this seat owns, after the upstream crashed or
  // collapsed. The share must not be used before kClaimSettleTime has passed (see is_settled). At
  // window 1 it only postpones growth and returns false, since there is nothing to reduce.
  bool Reset(Instant now);

  // Begins the next epoch with window 1, even at window 1. Used when the upstream reports that it
  // is leaving or its data centre goes out of service: the new epoch must exceed the one that peers
  // know.
  void Restart(Instant now);

  // Makes this seat the owner of window 1 by the lowest higher epoch that ranks it first. To be
  // called by a seat that has a call to send when no call of an owner is known for kSilenceTimeout.
  // Fails when this seat has a share already, or the window changed less than kSilenceTimeout ago.
  // The previous owner may have started a call that this seat does not know of yet, so the share
  // must not be used before `settle_time` has passed.
  bool Claim(Instant now, Duration settle_time = Duration::zero());
  // Whether the settle time of the last Reset or Claim has passed, so that the share may be used.
  bool is_settled(Instant now) const {
    return now.time_since_epoch().count() >= usable_from_.load(std::memory_order_acquire);
  }

  static constexpr Duration kGrowthInterval = std::chrono::milliseconds(100);
  static constexpr Duration kMaxGrowthInterval = std::chrono::milliseconds(1600);
  // A collapse within this time of the previous one doubles the growth interval.
  static constexpr Duration kCollapseWindow = std::chrono::seconds(10);
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(1);
  // Two gossip periods, after which the peers know of the claim, and this seat of the previous
  // owner's calls.
  static constexpr Duration kClaimSettleTime = std::chrono::milliseconds(400);

 private:
  void SetEpochAndWindow(std::uint64_t epoch, std::uint32_t window, Instant now);
  void UpdateLimit();
  bool MayGrow(Instant call_started, Instant now) const;
  std::uint64_t RankInEpoch(std::uint64_t epoch) const;
  // Returns the lowest higher epoch that ranks this seat first, or nullopt when there is none among
  // the next kMaxTriedEpochs.
  std::optional<std::uint64_t> FindOwnedEpoch() const;
  std::uint32_t open_threshold() const { return slots_ < 2 ? 2 : slots_; }

  const UpstreamId id_;
  const std::uint64_t seat_;
  mutable std::mutex mutex_;
  Seats live_;
  std::uint32_t slots_;
  Instant last_reset_;
  std::uint64_t epoch_ = 0;
  std::uint32_t window_ = 1;
  std::atomic<std::uint32_t> limit_{0};
  std::atomic<bool> is_open_{false};
  std::atomic<Duration::rep> changed_at_;
  std::atomic<Duration::rep> growth_interval_;
  std::atomic<Duration::rep> usable_from_{0};
};

// Returns the concurrent calls that the seat with `rank` among `live` seats may send while the
// window is `window`. The sum over all ranks equals the window.
std::uint32_t WarmUpShare(std::uint32_t window, std::uint64_t rank, std::uint64_t live);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_UPSTREAM_WARM_UP_WINDOW_H_
