#include "primroseweir/upstream/warm_up_window.h"

#include <algorithm>
#include <string>
#include <utility>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

// Number of epochs that are searched for one that ranks the seat first. Each epoch does so with
// probability 1/live; with 34 live seats the probability that none of them does is below 1e-6.
constexpr std::uint64_t kMaxTriedEpochs = 512;

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
      last_reset_(now - kCollapseWindow),
      changed_at_(now.time_since_epoch().count()),
      growth_interval_(kGrowthInterval.count()) {
  const std::lock_guard<std::mutex> lock(mutex_);
  UpdateLimit();
}

WarmUpWindow::EpochWindow WarmUpWindow::epoch_window() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return {Epoch(epoch_), window_};
}

void WarmUpWindow::SetSlots(std::uint32_t slots) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const bool was_open = is_open();
  slots_ = std::max(slots, 1U);
  // More slots don't make a warm upstream cold.
  if (was_open) window_ = std::max(window_, open_threshold());
  UpdateLimit();
}

bool WarmUpWindow::SetLiveSeats(Seats live) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::uint32_t previous_limit = limit();
  live_ = std::move(live);
  UpdateLimit();
  return limit() != previous_limit;
}

bool WarmUpWindow::Merge(Epoch epoch, std::uint32_t window, Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const Epoch current(epoch_);
  if (epoch < current || (epoch == current && window <= window_)) return false;
  SetEpochAndWindow(epoch.value(), std::max(window, 1U), now);
  return true;
}

bool WarmUpWindow::MayGrow(Instant call_started, Instant now) const {
  const Duration interval(growth_interval_.load(std::memory_order_acquire));
  return call_started >= changed_at() && now - changed_at() >= interval;
}

bool WarmUpWindow::Grow(Instant call_started, Instant now) {
  if (is_open() || !MayGrow(call_started, now)) return false;
  const std::lock_guard<std::mutex> lock(mutex_);
  if (is_open() || !MayGrow(call_started, now)) return false;
  SetEpochAndWindow(epoch_, std::min(window_ * 2, open_threshold()), now);
  return true;
}

bool WarmUpWindow::Reset(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (window_ == 1) {
    changed_at_.store(now.time_since_epoch().count(), std::memory_order_release);
    return false;
  }
  const bool is_repeated = now - last_reset_ < kCollapseWindow;
  const Duration current_interval(growth_interval_.load(std::memory_order_relaxed));
  const Duration next_interval =
      is_repeated ? std::min(current_interval * 2, kMaxGrowthInterval) : kGrowthInterval;
  growth_interval_.store(next_interval.count(), std::memory_order_release);
  last_reset_ = now;
  // The seat that resets the window owns the new one, since it has calls for the upstream. An owner
  // chosen by rank alone may be in another data centre and have capacity nearer, and would leave
  // the upstream idle until another seat claims the window. Several seats may reset it at the same
  // time; they know of each other by the time when the share may be used.
  SetEpochAndWindow(FindOwnedEpoch().value_or(epoch_ + 1), 1, now);
  usable_from_.store((now + kClaimSettleTime).time_since_epoch().count(),
                     std::memory_order_release);
  return true;
}

void WarmUpWindow::Restart(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  growth_interval_.store(kGrowthInterval.count(), std::memory_order_release);
  SetEpochAndWindow(epoch_ + 1, 1, now);
}

bool WarmUpWindow::Claim(Instant now, Duration settle_time) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (limit() > 0 || now - changed_at() < kSilenceTimeout) return false;
  const auto epoch = FindOwnedEpoch();
  if (!epoch) return false;
  usable_from_.store((now + settle_time).time_since_epoch().count(), std::memory_order_release);
  SetEpochAndWindow(*epoch, 1, now);
  return true;
}

std::optional<std::uint64_t> WarmUpWindow::FindOwnedEpoch() const {
  const std::uint64_t first = epoch_ + 1;
  for (std::uint64_t epoch = first; epoch < first + kMaxTriedEpochs; ++epoch) {
    if (RankInEpoch(epoch) == 0) return epoch;
  }
  return std::nullopt;
}

void WarmUpWindow::SetEpochAndWindow(std::uint64_t epoch, std::uint32_t window, Instant now) {
  epoch_ = epoch;
  window_ = window;
  changed_at_.store(now.time_since_epoch().count(), std::memory_order_release);
  UpdateLimit();
}

void WarmUpWindow::UpdateLimit() {
  const bool is_open = window_ >= open_threshold();
  const std::uint64_t live = live_ == nullptr || live_->empty() ? 1 : live_->size();
  const std::uint32_t limit = is_open ? slots_ : WarmUpShare(window_, RankInEpoch(epoch_), live);
  limit_.store(limit, std::memory_order_seq_cst);
  is_open_.store(is_open, std::memory_order_release);
}

std::uint64_t WarmUpWindow::RankInEpoch(std::uint64_t epoch) const {
  if (live_ == nullptr) return 0;
  const std::string key = RendezvousKey(id_, epoch);
  const std::uint64_t own_score = RendezvousScore(key, seat_);
  return static_cast<std::uint64_t>(
      std::count_if(live_->begin(), live_->end(), [&](std::uint64_t other) {
        if (other == seat_) return false;
        const std::uint64_t score = RendezvousScore(key, other);
        return score > own_score || (score == own_score && other < seat_);
      }));
}

}  // namespace primroseweir
