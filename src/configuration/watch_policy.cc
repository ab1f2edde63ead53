#include "primroseweir/configuration/watch_policy.h"

#include <algorithm>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {

WatchPolicy::WatchPolicy(const Options& options)
    : options_(options), random_(options.random_seed) {}

void WatchPolicy::SetView(const std::set<Seat>& live_in_data_centre, std::size_t keys) {
  keys_ = std::max<std::size_t>(keys, 1);
  watch_ = MayWatch(live_in_data_centre);
}

bool WatchPolicy::MayWatch(const std::set<Seat>& live) const {
  const std::string& key = options_.data_centre.value();
  const std::uint64_t own = options_.seat.value();
  const std::uint64_t own_score = RendezvousScore(key, own);
  std::size_t others = 0;
  std::size_t rank = 0;
  for (const Seat seat : live) {
    if (seat == options_.seat) continue;
    ++others;
    const std::uint64_t score = RendezvousScore(key, seat.value());
    if (score > own_score || (score == own_score && seat.value() < own)) ++rank;
  }
  if (rank >= kWatchersPerDataCentre) return false;
  const std::size_t group = others + 1;
  const double share =
      static_cast<double>(std::min(group, kWatchersPerDataCentre)) / static_cast<double>(group);
  const double watches = static_cast<double>(options_.seats) * share * static_cast<double>(keys_);
  return watches <= kMaxWatches;
}

Duration WatchPolicy::JitterWindow() const {
  const double fleet = static_cast<double>(options_.seats) / 2;
  const std::chrono::duration<double> needed(fleet * static_cast<double>(keys_) / kMaxPolledReads);
  return std::max<Duration>(kMinJitterWindow, std::chrono::duration_cast<Duration>(needed));
}

Duration WatchPolicy::Jitter() {
  return std::chrono::duration_cast<Duration>(random_.Unit() * JitterWindow());
}

void WatchPolicy::Restart(Instant last_contact, Instant now) {
  // A new instance polls at once, unless the fleet is so large that a common start of all instances
  // would overload the service.
  const bool first = !started_;
  const bool small = JitterWindow() == kMinJitterWindow;
  started_ = true;
  last_contact_ = last_contact;
  backoff_ = kMinBackoff;
  next_poll_ = first && last_contact == Instant() ? now + (small ? Duration() : Jitter())
                                                  : last_contact + kSilenceTimeout + Jitter();
}

WatchPolicy::Action WatchPolicy::Decide(Instant last_contact, Instant now) {
  if (watch_) return Action::kWatch;
  if (!started_ || last_contact != last_contact_) Restart(last_contact, now);
  if (now < next_poll_) return Action::kRelyOnPeers;
  const Duration least =
      JitterWindow() == kMinJitterWindow ? backoff_ : std::max(backoff_, JitterWindow());
  next_poll_ = now + least + std::chrono::duration_cast<Duration>(random_.Unit() * least) / 4;
  backoff_ = std::min(2 * backoff_, kMaxBackoff);
  return Action::kPoll;
}

}  // namespace primroseweir
