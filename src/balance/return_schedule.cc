#include "primroseweir/balance/return_schedule.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace primroseweir {
namespace {

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

void ReturnSchedule::RecordRoom(Instant now) {
  calls_with_room_ *= std::exp(-Seconds(now - updated_at_) / Seconds(kRateMemory));
  updated_at_ = now;
  ++calls_with_room_;
}

Duration ReturnSchedule::RetryAfter(std::uint64_t call, std::uint32_t priority, Duration latest,
                                    double draw, Instant now) {
  const auto booked = bookings_.find(call);
  if (booked != bookings_.end() && booked->second.priority == priority &&
      booked->second.returns_at > now) {
    return std::min<Duration>(std::max<Duration>(booked->second.returns_at - now, kMinRetryAfter),
                              latest);
  }
  const double decay = std::exp(-Seconds(now - updated_at_) / Seconds(kRateMemory));
  // Without known room, one return a second.
  const double interval = 1 / std::max(1.0, calls_with_room_ * decay / Seconds(kRateMemory));
  // A priority that was not refused before starts behind the more urgent ones.
  Instant start = now + kMinRetryAfter;
  const auto less_urgent = next_returns_.upper_bound(priority);
  if (less_urgent != next_returns_.begin()) {
    start = std::max(start, std::prev(less_urgent)->second);
  }
  const Duration wait = start - now + ToDuration(interval * draw);
  if (wait > latest) {
    const auto late = ToDuration(Seconds(std::max(latest, Duration::zero())) * (1 + draw) / 2);
    Remember(call, {priority, now + late}, now);
    return late;
  }
  const auto next = start + ToDuration(interval);
  next_returns_[priority] = next;
  for (auto it = next_returns_.upper_bound(priority); it != next_returns_.end(); ++it) {
    it->second = std::max(it->second + ToDuration(interval), next);
  }
  Remember(call, {priority, now + wait}, now);
  return wait;
}

void ReturnSchedule::Remember(std::uint64_t call, const Booking& booking, Instant now) {
  const bool is_known = bookings_.count(call) > 0;
  if (!is_known && bookings_.size() >= kMaxBookings && now >= next_sweep_) {
    next_sweep_ = now + kSweepInterval;
    for (auto it = bookings_.begin(); it != bookings_.end();) {
      it = it->second.returns_at <= now ? bookings_.erase(it) : std::next(it);
    }
  }
  if (is_known || bookings_.size() < kMaxBookings) {
    bookings_[call] = booking;
  }
}

}  // namespace primroseweir
