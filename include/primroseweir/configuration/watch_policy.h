#ifndef PRIMROSEWEIR_CONFIGURATION_WATCH_POLICY_H_
#define PRIMROSEWEIR_CONFIGURATION_WATCH_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <set>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

// Decides whether this instance watches the configuration service (long polls), polls it, or relies
// on its peers. Not thread-safe.
//
// The load on the service stays bounded under any network partition, since no rule needs a view of
// the whole fleet: an instance watches only if a fleet of `seat_count` instances that each see as
// few live seats as this one would hold at most kMaxWatches watches. Otherwise it polls.
class WatchPolicy {
 public:
  enum class Action { kRelyOnPeers, kWatch, kPoll };

  // Instances that watch in each data centre.
  static constexpr std::size_t kWatchersPerDataCentre = 3;
  // Pending watches of the whole fleet; half of the 2,000 reads/s that the service serves.
  static constexpr double kMaxWatches = 1'000;
  // Reads/s by polls over a fleet of seats / 2 instances, the largest planned one.
  static constexpr double kMaxPolledReadsPerSecond = 900;
  // Time without contact after which an instance that does not watch polls.
  static constexpr Duration kContactTimeout = std::chrono::seconds(10);
  static constexpr Duration kMinJitterWindow = std::chrono::milliseconds(2'500);
  static constexpr Duration kMinBackoff = std::chrono::seconds(1);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(30);

  struct Options {
    DataCentre data_centre;
    Seat seat;
    // Number of seats among which the fleet's fixed shares are divided; at least 1.
    std::uint64_t seat_count = 1;
    std::uint64_t random_seed = 0;
  };

  explicit WatchPolicy(const Options& options);

  // Sets the live seats of this instance's data centre, including its own, and the number of keys
  // that are read. O(n) in the seats.
  void SetLiveSeatsAndKeys(const std::set<Seat>& live_in_data_centre, std::size_t key_count);

  // Returns what to do now. Returns kPoll once for each poll that is due and schedules the next
  // one. `last_contact` is the time at which the platform or a peer last confirmed the current
  // revision.
  Action Decide(Instant last_contact, Instant now);

  // Returns the window over which instances spread polls that become due together, as after a
  // network partition: wide enough for at most kMaxPolledReadsPerSecond.
  Duration JitterWindow() const;

 private:
  bool MayWatch(const std::set<Seat>& live) const;
  // Returns a random duration from zero to JitterWindow().
  Duration Jitter();
  void ResetSchedule(Instant last_contact, Instant now);

  const Options options_;
  Random random_;
  std::size_t key_count_ = 1;
  bool should_watch_ = false;
  bool has_schedule_ = false;
  Instant last_contact_;
  Duration backoff_ = kMinBackoff;
  Instant next_poll_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CONFIGURATION_WATCH_POLICY_H_
