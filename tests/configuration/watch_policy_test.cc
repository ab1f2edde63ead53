#include "primroseweir/configuration/watch_policy.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Action = WatchPolicy::Action;

constexpr std::size_t kDataCentres = 7;
// text, declarations, instances and one part for each data centre.
constexpr std::size_t kKeys = 3 + kDataCentres;
constexpr Duration kStep = milliseconds(100);
const Instant kStart(seconds(1'000));

// Which instances of the simulated fleet can reach each other: all, those of the same half, or
// none.
enum class Split { kConnected, kHalves, kIsolated };

// Whether the platform returns the current revision or a stale one.
enum class Platform { kUpToDate, kStale };

// Simulates a fleet over seven data centres without a network. All instances of a group get contact
// in each step in which one of them watches or polls an up-to-date platform.
class Fleet {
 public:
  Fleet(std::size_t instances, Split split)
      : last_contacts_(instances, kStart), is_watching_(instances) {
    for (std::size_t i = 0; i < instances; ++i) {
      groups_.push_back(split == Split::kConnected ? 0 : split == Split::kHalves ? i / 7 % 2 : i);
      WatchPolicy::Options options;
      options.data_centre = DataCentre("dc-" + std::to_string(i % kDataCentres));
      options.seat = Seat(i);
      options.seat_count = 2 * instances;
      options.random_seed = i;
      policies_.push_back(std::make_unique<WatchPolicy>(options));
    }
    for (std::size_t i = 0; i < instances; ++i)
      policies_[i]->SetLiveSeatsAndKeys(VisibleSeats(i), kKeys);
  }

  struct Load {
    double max_reads = 0;
    double mean_reads = 0;
    std::size_t watching = 0;
  };

  // Simulates 120 s. Returns the pending watches plus the reads by polls, per second.
  Load Run(Platform platform) {
    Load load;
    std::size_t reads_in_second = 0;
    for (int step = 0; step < 1'200; ++step) {
      reads_in_second += Step(kStart + step * kStep, platform);
      if (step % 10 != 9) continue;
      load.watching =
          static_cast<std::size_t>(std::count(is_watching_.begin(), is_watching_.end(), true));
      const double reads = static_cast<double>(reads_in_second + kKeys * load.watching);
      load.max_reads = std::max(load.max_reads, reads);
      load.mean_reads += reads / 120;
      reads_in_second = 0;
    }
    return load;
  }

 private:
  std::set<Seat> VisibleSeats(std::size_t of) const {
    std::set<Seat> seats;
    for (std::size_t i = 0; i < policies_.size(); ++i) {
      if (groups_[i] == groups_[of] && i % kDataCentres == of % kDataCentres) seats.insert(Seat(i));
    }
    return seats;
  }

  // Simulates one step and returns the number of reads by polls.
  std::size_t Step(Instant now, Platform platform) {
    std::size_t reads = 0;
    std::set<std::size_t> informed_groups;
    for (std::size_t i = 0; i < policies_.size(); ++i) {
      const Action action = policies_[i]->Decide(last_contacts_[i], now);
      is_watching_[i] = action == Action::kWatch;
      if (action == Action::kPoll) reads += kKeys;
      if (action != Action::kRelyOnPeers && platform == Platform::kUpToDate)
        informed_groups.insert(groups_[i]);
    }
    for (std::size_t i = 0; i < policies_.size(); ++i) {
      if (informed_groups.count(groups_[i]) > 0) last_contacts_[i] = now;
    }
    return reads;
  }

  std::vector<std::unique_ptr<WatchPolicy>> policies_;
  std::vector<std::size_t> groups_;
  std::vector<Instant> last_contacts_;
  std::vector<bool> is_watching_;
};

// Guards against a fleet that overloads the configuration service when gossip fails or the network
// is partitioned: each instance that sees few others could then decide to watch.
TEST_CASE("reads stay under 2,000 per second and grow more slowly than the fleet") {
  for (const Platform platform : {Platform::kUpToDate, Platform::kStale}) {
    for (const Split split : {Split::kConnected, Split::kHalves, Split::kIsolated}) {
      std::vector<Fleet::Load> loads;
      for (const std::size_t instances : {17U, 170U, 1'700U}) {
        loads.push_back(Fleet(instances, split).Run(platform));
        INFO(instances << " instances, split " << static_cast<int>(split) << ", platform "
                       << static_cast<int>(platform) << ": highest " << loads.back().max_reads
                       << ", mean " << loads.back().mean_reads << ", watching "
                       << loads.back().watching);
        CHECK(loads.back().max_reads < 2'000);
      }
      CHECK(loads[1].mean_reads < 10 * loads[0].mean_reads);
      CHECK(loads[2].mean_reads < 10 * loads[1].mean_reads);
    }
  }
}

// Guards against too few or too many watchers in a data centre.
TEST_CASE("exactly three live seats of a data centre watch") {
  const std::set<Seat> live = {Seat(1), Seat(4), Seat(9), Seat(12), Seat(20), Seat(33)};
  std::size_t watching = 0;
  for (const Seat seat : live) {
    WatchPolicy policy({DataCentre("krems"), seat, 34, 1});
    policy.SetLiveSeatsAndKeys(live, kKeys);
    watching += policy.Decide(kStart, kStart) == Action::kWatch ? 1 : 0;
  }
  CHECK(watching == WatchPolicy::kWatchersPerDataCentre);
}

// Returns the policy of an instance that does not watch: of seven live seats, only three watch.
WatchPolicy MakeNonWatchingPolicy() {
  const std::set<Seat> live = {Seat(1), Seat(2), Seat(3), Seat(4), Seat(5), Seat(6), Seat(7)};
  for (const Seat seat : live) {
    WatchPolicy policy({DataCentre("krems"), seat, 34, 1});
    policy.SetLiveSeatsAndKeys(live, kKeys);
    if (policy.Decide(kStart, kStart) != Action::kWatch) return policy;
  }
  FAIL("all seven seats watch");
  return WatchPolicy({});
}

// Guards against an instance that is cut off from its peers and never polls the platform.
TEST_CASE("an instance polls after 10 s without contact, with increasing back-off") {
  WatchPolicy policy = MakeNonWatchingPolicy();
  std::vector<Duration> polls;
  for (Duration t{}; t < seconds(200); t += kStep) {
    if (policy.Decide(kStart, kStart + t) == Action::kPoll) polls.push_back(t);
  }
  REQUIRE(polls.size() > 6);
  CHECK(polls[0] >= seconds(10));
  CHECK(polls[0] <= seconds(10) + WatchPolicy::kMinJitterWindow + kStep);
  for (std::size_t i = 1; i < polls.size(); ++i) {
    const Duration delay = polls[i] - polls[i - 1];
    CHECK(delay >= WatchPolicy::kMinBackoff);
    CHECK(delay <= WatchPolicy::kMaxBackoff * 5 / 4 + kStep);
  }
  CHECK(polls.back() - polls[polls.size() - 2] >= WatchPolicy::kMaxBackoff);
}

TEST_CASE("contact ends polling until the next 10 s without contact") {
  WatchPolicy policy = MakeNonWatchingPolicy();
  const Instant late = kStart + seconds(60);
  policy.Decide(kStart, kStart);
  CHECK(policy.Decide(kStart, late) == Action::kPoll);
  CHECK(policy.Decide(late, late + seconds(1)) == Action::kRelyOnPeers);
  CHECK(policy.Decide(late, late + seconds(9)) == Action::kRelyOnPeers);
  CHECK(policy.Decide(late, late + seconds(13)) == Action::kPoll);
}

// Guards against a new instance that runs for seconds without any configuration.
TEST_CASE("a new instance that does not watch polls immediately") {
  WatchPolicy policy({DataCentre("krems"), Seat(3), 238, 1});
  policy.SetLiveSeatsAndKeys({Seat(3)}, kKeys);
  CHECK(policy.Decide(Instant(), kStart) == Action::kPoll);
}

}  // namespace
}  // namespace primroseweir
