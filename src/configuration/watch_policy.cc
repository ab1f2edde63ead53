#include "primroseweir/configuration/watch_policy.h"

#include <algorithm>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {

WatchPolicy::WatchPolicy(const Options& options)
    : options_(options), random_(options.random_seed) {}

void WatchPolicy::SetLiveSeatsAndKeys(const std::set<Seat>& live_in_data_centre,
                                      std::size_t key_count) {
  key_count_ = std::max<std::size_t>(key_count, 1);
  should_watch_ = MayWatch(live_in_data_centre);
}

bool WatchPolicy::MayWatch(const std::set<Seat>& live) const {
  const std::string& key = options_.data_centre.value();
  const std::uint64_t own_seat = options_.seat.value();
  const std::uint64_t own_score = RendezvousScore(key, own_seat);
  std::size_t others = 0;
  std::size_t rank = 0;
  for (const Seat seat : live) {
    if (seat == options_.seat) continue;
    ++others;
    const std::uint64_t score = RendezvousScore(key, seat.value());
    if (score > own_score || (score == own_score && seat.value() < own_seat)) ++rank;
  }
  if (rank >= kWatchersPerDataCentre) return false;
  const std::size_t live_count = others + 1;
  const double watching_fraction =
      static_cast<double>(std::min(live_count, kWatchersPerDataCentre)) /
      static_cast<double>(live_count);
  const double fleet_watches = static_cast<double>(options_.seat_count) * watching_fraction *
                               static_cast<double>(key_count_);
  return fleet_watches <= kMaxWatches;
}

Duration WatchPolicy::JitterWindow() const {
  const double fleet_size = static_cast<double>(options_.seat_count) / 2;
  const std::chrono::duration<double> min_window(fleet_size * static_cast<double>(key_count_) /
                                                 kMaxPolledReadsPerSecond);
  return std::max<Duration>(kMinJitterWindow, std::chrono::duration_cast<Duration>(min_window));
}

Duration WatchPolicy::Jitter() {
  return std::chrono::duration_cast<Duration>(random_.UniformUnit() * JitterWindow());
}

void WatchPolicy::ResetSchedule(Instant last_contact, Instant now) {
  // A new instance polls at once, unless the fleet is so large that a simultaneous start of all
  // instances would overload the service.
  const bool is_first = !has_schedule_;
  const bool is_small_fleet = JitterWindow() == kMinJitterWindow;
  has_schedule_ = true;
  last_contact_ = last_contact;
  backoff_ = kMinBackoff;
  next_poll_ = is_first && last_contact == Instant()
                   ? now + (is_small_fleet ? Duration() : Jitter())
                   : last_contact + kContactTimeout + Jitter();
}

WatchPolicy::Action WatchPolicy::Decide(Instant last_contact, Instant now) {
  if (should_watch_) return Action::kWatch;
  if (!has_schedule_ || last_contact != last_contact_) ResetSchedule(last_contact, now);
  if (now < next_poll_) return Action::kRelyOnPeers;
  const Duration min_delay =
      JitterWindow() == kMinJitterWindow ? backoff_ : std::max(backoff_, JitterWindow());
  next_poll_ =
      now + min_delay + std::chrono::duration_cast<Duration>(random_.UniformUnit() * min_delay) / 4;
  backoff_ = std::min(2 * backoff_, kMaxBackoff);
  return Action::kPoll;
}

}  // namespace primroseweir
