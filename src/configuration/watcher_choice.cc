#include "primroseweir/configuration/watcher_choice.h"

#include <algorithm>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {

WatcherChoice::WatcherChoice(const Options& options)
    : options_(options), random_(options.random_seed) {}

void WatcherChoice::SetView(const std::set<Seat>& live_in_data_centre, std::size_t keys) {
  keys_ = std::max<std::size_t>(keys, 1);
  watch_ = MayWatch(live_in_data_centre);
}

bool WatcherChoice::MayWatch(const std::set<Seat>& live) const {
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
  if (rank >= kWatchers) return false;
  const std::size_t group = others + 1;
  const double share = static_cast<double>(std::min(group, kWatchers)) / static_cast<double>(group);
  const double watches = static_cast<double>(options_.seats) * share * static_cast<double>(keys_);
  return watches <= kMostWatches;
}

Duration WatcherChoice::Spread() const {
  const double fleet = static_cast<double>(options_.seats) / 2;
  const std::chrono::duration<double> needed(fleet * static_cast<double>(keys_) / kMostPolledReads);
  return std::max<Duration>(kShortestSpread, std::chrono::duration_cast<Duration>(needed));
}

Duration WatcherChoice::Jitter() {
  return std::chrono::duration_cast<Duration>(random_.Unit() * Spread());
}

void WatcherChoice::Restart(Instant last_heard, Instant now) {
  // A new instance polls at once, unless the fleet is so large that a common start of all instances
  // would overload the service.
  const bool first = !started_;
  const bool small = Spread() == kShortestSpread;
  started_ = true;
  heard_ = last_heard;
  backoff_ = kShortestBackoff;
  next_poll_ = first && last_heard == Instant() ? now + (small ? Duration() : Jitter())
                                                : last_heard + kSilence + Jitter();
}

WatcherChoice::Action WatcherChoice::Decide(Instant last_heard, Instant now) {
  if (watch_) return Action::kWatch;
  if (!started_ || last_heard != heard_) Restart(last_heard, now);
  if (now < next_poll_) return Action::kRely;
  const Duration least = Spread() == kShortestSpread ? backoff_ : std::max(backoff_, Spread());
  next_poll_ = now + least + std::chrono::duration_cast<Duration>(random_.Unit() * least) / 4;
  backoff_ = std::min(2 * backoff_, kLongestBackoff);
  return Action::kPoll;
}

}  // namespace primroseweir
