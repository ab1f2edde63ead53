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

// Number of calls that the fleet may have at one upstream while it starts cold, and this seat's
// part of it (design 7.2). The pair (epoch, window) merges by the lexicographic maximum. Safe for
// many threads; limit() and open() take no lock, and Grow takes one only when it may grow.
class WarmUpWindow {
 public:
  using Seats = std::shared_ptr<const std::vector<std::uint64_t>>;

  // Starts at (0, 1). `slots` is at least 1. `live` holds the live seats; an empty list counts as
  // this seat alone.
  WarmUpWindow(UpstreamId id, std::uint32_t slots, Seat seat, Seats live, Instant now);

  // ---- limits ----

  // Calls at a time that this seat may have there: its share, or `slots` when open.
  std::uint32_t limit() const { return limit_.load(std::memory_order_seq_cst); }

  // The window reached the number of slots (2 for an upstream with one slot, which would otherwise
  // be open to all seats from the start).
  bool open() const { return open_.load(std::memory_order_acquire); }

  // Epoch and window of the same moment; a torn pair could open a cold upstream at the peers.
  struct Pair {
    Epoch epoch;
    std::uint32_t window = 1;
  };
  Pair pair() const;
  // When (epoch, window) last changed here.
  Instant changed_at() const { return Instant(Duration(changed_.load(std::memory_order_acquire))); }

  // ---- changes; each answers whether (epoch, window) or the limit changed ----

  void SetSlots(std::uint32_t slots);
  bool SetLiveSeats(Seats live);

  // Takes what a peer knows if it is greater.
  bool Merge(Epoch epoch, std::uint32_t window, Instant now);

  // A call that `call_started` completed with normal latency. Doubles the window if the call
  // started after the last change, at least kGrowthInterval ago. After repeated collapses the
  // interval is longer, up to kMaxGrowthInterval.
  bool Grow(Instant call_started, Instant now);

  // A higher epoch with window 1 that this seat owns: the upstream crashed, collapsed or left. The
  // share is not to be used before kClaimSettleTime has passed. At window 1 it only postpones the
  // growth, since there is nothing to take back.
  bool Reset(Instant now);

  // Next epoch with window 1, also at window 1: a new listing must exceed what peers know of the
  // old process.
  void Restart(Instant now);

  // Makes this seat an owner of window 1 by the lowest higher epoch that ranks it first. For a seat
  // with a waiting call when no owner was heard for kSilenceTimeout. The owner before may have
  // started a call that was not heard of yet: the share is not to be used before `settle` has
  // passed.
  bool Claim(Instant now, Duration settle = Duration::zero());
  // Whether the share may be used, as far as claims are concerned.
  bool is_settled(Instant now) const {
    return now.time_since_epoch().count() >= usable_from_.load(std::memory_order_acquire);
  }

  static constexpr Duration kGrowthInterval = std::chrono::milliseconds(100);
  static constexpr Duration kMaxGrowthInterval = std::chrono::milliseconds(1600);
  // Collapses that follow each other faster than this lengthen the growth interval.
  static constexpr Duration kCollapseWindow = std::chrono::seconds(10);
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(1);
  // Two gossip periods: a claim and the calls of the owner before are known by then.
  static constexpr Duration kClaimSettleTime = std::chrono::milliseconds(400);

 private:
  void Set(std::uint64_t epoch, std::uint32_t window, Instant now);
  void UpdateLimit();
  bool MayGrow(Instant call_started, Instant now) const;
  std::uint64_t RankInEpoch(std::uint64_t epoch) const;
  // The lowest higher epoch that ranks this seat first; none among the next kClaimedEpochs.
  std::optional<std::uint64_t> OwnEpoch() const;
  std::uint32_t target() const { return slots_ < 2 ? 2 : slots_; }

  const UpstreamId id_;
  const std::uint64_t seat_;
  mutable std::mutex mutex_;
  Seats live_;
  std::uint32_t slots_;
  Instant last_raise_;
  std::uint64_t epoch_ = 0;
  std::uint32_t window_ = 1;
  std::atomic<std::uint32_t> limit_{0};
  std::atomic<bool> open_{false};
  std::atomic<Duration::rep> changed_;
  std::atomic<Duration::rep> growth_interval_;
  std::atomic<Duration::rep> usable_from_{0};
};

// Calls at a time of the seat with `rank` among `live` seats while the window is `window`. The sum
// over all ranks equals the window.
std::uint32_t WarmUpShare(std::uint32_t window, std::uint64_t rank, std::uint64_t live);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_UPSTREAM_WARM_UP_WINDOW_H_
