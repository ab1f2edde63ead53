#include "primroseweir/upstream/warm_up_window.h"

#include <algorithm>
#include <string>
#include <utility>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

// A claim looks at this many epochs for one that ranks the seat first. Each fits with probability
// 1/live, so that 34 seats miss all of them with probability below 1e-6.
constexpr std::uint64_t kClaimedEpochs = 512;

std::string RendezvousKey(const UpstreamId& id, std::uint64_t epoch) {
  return id.value() + '#' + std::to_string(epoch);
}

}  // namespace

std::uint32_t WarmUpShare(std::uint32_t window, std::uint64_t rank, std::uint64_t live) {
  return static_cast<std::uint32_t>(window / live + (rank < window % live ? 1 : 0));
}

WarmUpWindow::WarmUpWindow(UpstreamId id, std::uint32_t slots, Seat seat, Seats live, Instant now)
    : id_(std::move(id)),
      seat_(seat.value()),
      live_(std::move(live)),
      slots_(std::max(slots, 1U)),
      last_raise_(now - kCollapseWindow),
      changed_(now.time_since_epoch().count()),
      growth_interval_(kGrowthInterval.count()) {
  const std::lock_guard<std::mutex> lock(mutex_);
  UpdateLimit();
}

WarmUpWindow::Pair WarmUpWindow::pair() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {Epoch(epoch_), window_};
}

void WarmUpWindow::SetSlots(std::uint32_t slots) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool was_open = open();
  slots_ = std::max(slots, 1U);
  // More slots don't make a warm upstream cold.
  if (was_open) window_ = std::max(window_, target());
  UpdateLimit();
}

bool WarmUpWindow::SetLiveSeats(Seats live) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::uint32_t before = limit();
  live_ = std::move(live);
  UpdateLimit();
  return limit() != before;
}

bool WarmUpWindow::Merge(Epoch epoch, std::uint32_t window, Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Epoch own(epoch_);
  if (epoch < own || (epoch == own && window <= window_)) return false;
  Set(epoch.value(), std::max(window, 1U), now);
  return true;
}

bool WarmUpWindow::MayGrow(Instant call_started, Instant now) const {
  const Duration interval(growth_interval_.load(std::memory_order_acquire));
  return call_started >= changed_at() && now - changed_at() >= interval;
}

bool WarmUpWindow::Grow(Instant call_started, Instant now) {
  if (open() || !MayGrow(call_started, now)) return false;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (open() || !MayGrow(call_started, now)) return false;
  Set(epoch_, std::min(window_ * 2, target()), now);
  return true;
}

bool WarmUpWindow::Reset(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (window_ == 1) {
    changed_.store(now.time_since_epoch().count(), std::memory_order_release);
    return false;
  }
  const bool again = now - last_raise_ < kCollapseWindow;
  const Duration present(growth_interval_.load(std::memory_order_relaxed));
  const Duration next = again ? std::min(present * 2, kMaxGrowthInterval) : kGrowthInterval;
  growth_interval_.store(next.count(), std::memory_order_release);
  last_raise_ = now;
  // Who takes the window back has calls for the upstream; an owner by rank alone may be in another
  // data centre with room nearer, and leaves the upstream idle until somebody claims it. Several
  // may take it back at once: they know of each other when the share may be used.
  Set(OwnEpoch().value_or(epoch_ + 1), 1, now);
  usable_from_.store((now + kClaimSettleTime).time_since_epoch().count(),
                     std::memory_order_release);
  return true;
}

void WarmUpWindow::Restart(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  growth_interval_.store(kGrowthInterval.count(), std::memory_order_release);
  Set(epoch_ + 1, 1, now);
}

bool WarmUpWindow::Claim(Instant now, Duration settle) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (limit() > 0 || now - changed_at() < kSilenceTimeout) return false;
  const auto epoch = OwnEpoch();
  if (!epoch) return false;
  usable_from_.store((now + settle).time_since_epoch().count(), std::memory_order_release);
  Set(*epoch, 1, now);
  return true;
}

std::optional<std::uint64_t> WarmUpWindow::OwnEpoch() const {
  const std::uint64_t first = epoch_ + 1;
  for (std::uint64_t epoch = first; epoch < first + kClaimedEpochs; ++epoch) {
    if (RankInEpoch(epoch) == 0) return epoch;
  }
  return std::nullopt;
}

void WarmUpWindow::Set(std::uint64_t epoch, std::uint32_t window, Instant now) {
  epoch_ = epoch;
  window_ = window;
  changed_.store(now.time_since_epoch().count(), std::memory_order_release);
  UpdateLimit();
}

void WarmUpWindow::UpdateLimit() {
  const bool is_open = window_ >= target();
  const std::uint64_t live = live_ == nullptr || live_->empty() ? 1 : live_->size();
  const std::uint32_t limit = is_open ? slots_ : WarmUpShare(window_, RankInEpoch(epoch_), live);
  limit_.store(limit, std::memory_order_seq_cst);
  open_.store(is_open, std::memory_order_release);
}

std::uint64_t WarmUpWindow::RankInEpoch(std::uint64_t epoch) const {
  if (live_ == nullptr) return 0;
  const std::string key = RendezvousKey(id_, epoch);
  const std::uint64_t own = RendezvousScore(key, seat_);
  return static_cast<std::uint64_t>(
      std::count_if(live_->begin(), live_->end(), [&](std::uint64_t other) {
        if (other == seat_) return false;
        const std::uint64_t score = RendezvousScore(key, other);
        return score > own || (score == own && other < seat_);
      }));
}

}  // namespace primroseweir
