#ifndef PRIMROSEWEIR_CONFIGURATION_WATCH_POLICY_H_
#define PRIMROSEWEIR_CONFIGURATION_WATCH_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <set>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Decides whether this instance watches the configuration service, polls it, or relies on its peers
// (docs/design.md, section 7.10). Not safe for several threads.
//
// The load on the service stays bounded however the fleet splits, since no rule relies on a view of
// the whole fleet: an instance watches only when a fleet of `seats` instances that all see as few
// neighbours as it does would hold no more than kMaxWatches; else it polls.
class WatchPolicy {
 public:
  enum class Action { kRelyOnPeers, kWatch, kPoll };

  // Watchers in each data centre.
  static constexpr std::size_t kWatchersPerDataCentre = 3;
  // Waiting watches over all readers; half of the 2,000 reads a second that the service serves.
  static constexpr double kMaxWatches = 1'000;
  // Reads a second of polls over a fleet of seats / 2, the largest planned one.
  static constexpr double kMaxPolledReads = 900;
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(10);
  static constexpr Duration kMinJitterWindow = std::chrono::milliseconds(2'500);
  static constexpr Duration kMinBackoff = std::chrono::seconds(1);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(30);

  struct Options {
    DataCentre data_centre;
    Seat seat;
    // Number of seats in the fleet's fixed shares; at least 1.
    std::uint64_t seats = 1;
    std::uint64_t random_seed = 0;
  };

  explicit WatchPolicy(const Options& options);

  // Takes over the live seats of this instance's data centre, its own included, and the number of
  // keys that are read. O(n) in the seats.
  void SetView(const std::set<Seat>& live_in_data_centre, std::size_t keys);

  // What to do now. kPoll is answered once for each poll that is due. `last_contact` is the time at
  // which the present revision was last heard, from the platform or a peer.
  Action Decide(Instant last_contact, Instant now);

  // Time over which the polls of all instances are spread when they become due together, as after a
  // network split: long enough that they make no more than kMaxPolledReads.
  Duration JitterWindow() const;

 private:
  bool MayWatch(const std::set<Seat>& live) const;
  // Zero up to Spread().
  Duration Jitter();
  void Restart(Instant last_contact, Instant now);

  const Options options_;
  Random random_;
  std::size_t keys_ = 1;
  bool watch_ = false;
  bool started_ = false;
  Instant last_contact_;
  Duration backoff_ = kMinBackoff;
  Instant next_poll_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_WATCH_POLICY_H_
