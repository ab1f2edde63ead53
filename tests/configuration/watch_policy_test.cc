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

// How far the instances of the simulated fleet reach each other.
enum class Split { kTogether, kHalves, kAlone };

// What the platform answers.
enum class Platform { kCurrentReportAge, kStale };

// A fleet over seven data centres without a network: instances of one group hear a revision from
// each other as long as one of them watches or polled.
class Fleet {
 public:
  Fleet(std::size_t instances, Split split) : heard_(instances, kStart), watches_(instances) {
    for (std::size_t i = 0; i < instances; ++i) {
      groups_.push_back(split == Split::kTogether ? 0 : split == Split::kHalves ? i / 7 % 2 : i);
      WatchPolicy::Options options;
      options.data_centre = DataCentre("dc-" + std::to_string(i % kDataCentres));
      options.seat = Seat(i);
      options.seats = 2 * instances;
      options.random_seed = i;
      choices_.push_back(std::make_unique<WatchPolicy>(options));
    }
    for (std::size_t i = 0; i < instances; ++i) choices_[i]->SetView(View(i), kKeys);
  }

  struct Load {
    double highest = 0;
    double mean = 0;
    std::size_t watching = 0;
  };

  // Runs for 120 s; answers the waiting watches plus the reads of polls, per second.
  Load Run(Platform platform) {
    Load load;
    std::size_t in_second = 0;
    for (int step = 0; step < 1'200; ++step) {
      in_second += Step(kStart + step * kStep, platform);
      if (step % 10 != 9) continue;
      load.watching = static_cast<std::size_t>(std::count(watches_.begin(), watches_.end(), true));
      const double reads = static_cast<double>(in_second + kKeys * load.watching);
      load.highest = std::max(load.highest, reads);
      load.mean += reads / 120;
      in_second = 0;
    }
    return load;
  }

 private:
  std::set<Seat> View(std::size_t of) const {
    std::set<Seat> seats;
    for (std::size_t i = 0; i < choices_.size(); ++i) {
      if (groups_[i] == groups_[of] && i % kDataCentres == of % kDataCentres) seats.insert(Seat(i));
    }
    return seats;
  }

  // Answers the reads of polls.
  std::size_t Step(Instant now, Platform platform) {
    std::size_t reads = 0;
    std::set<std::size_t> informed;
    for (std::size_t i = 0; i < choices_.size(); ++i) {
      const Action action = choices_[i]->Decide(heard_[i], now);
      watches_[i] = action == Action::kWatch;
      if (action == Action::kPoll) reads += kKeys;
      if (action != Action::kRelyOnPeers && platform == Platform::kCurrentReportAge)
        informed.insert(groups_[i]);
    }
    for (std::size_t i = 0; i < choices_.size(); ++i) {
      if (informed.count(groups_[i]) > 0) heard_[i] = now;
    }
    return reads;
  }

  std::vector<std::unique_ptr<WatchPolicy>> choices_;
  std::vector<std::size_t> groups_;
  std::vector<Instant> heard_;
  std::vector<bool> watches_;
};

// Guards against a fleet that overloads the configuration service when gossip fails or the network
// splits: each instance would then take itself to be a watcher.
TEST_CASE("reads stay under 2,000 a second and grow more slowly than the fleet") {
  for (const Platform platform : {Platform::kCurrentReportAge, Platform::kStale}) {
    for (const Split split : {Split::kTogether, Split::kHalves, Split::kAlone}) {
      std::vector<Fleet::Load> loads;
      for (const std::size_t instances : {17U, 170U, 1'700U}) {
        loads.push_back(Fleet(instances, split).Run(platform));
        INFO(instances << " instances, split " << static_cast<int>(split) << ", platform "
                       << static_cast<int>(platform) << ": highest " << loads.back().highest
                       << ", mean " << loads.back().mean << ", watching " << loads.back().watching);
        CHECK(loads.back().highest < 2'000);
      }
      CHECK(loads[1].mean < 10 * loads[0].mean);
      CHECK(loads[2].mean < 10 * loads[1].mean);
    }
  }
}

// Guards against too few or too many watchers in a data centre.
TEST_CASE("the first three seats of a data centre watch") {
  const std::set<Seat> live = {Seat(1), Seat(4), Seat(9), Seat(12), Seat(20), Seat(33)};
  std::size_t watching = 0;
  for (const Seat seat : live) {
    WatchPolicy policy({DataCentre("krems"), seat, 34, 1});
    policy.SetView(live, kKeys);
    watching += policy.Decide(kStart, kStart) == Action::kWatch ? 1 : 0;
  }
  CHECK(watching == WatchPolicy::kWatchersPerDataCentre);
}

// An instance that does not watch: six others stand before it with certainty at these seats.
WatchPolicy Follower() {
  const std::set<Seat> live = {Seat(1), Seat(2), Seat(3), Seat(4), Seat(5), Seat(6), Seat(7)};
  for (const Seat seat : live) {
    WatchPolicy policy({DataCentre("krems"), seat, 34, 1});
    policy.SetView(live, kKeys);
    if (policy.Decide(kStart, kStart) != Action::kWatch) return policy;
  }
  FAIL("every seat watches");
  return WatchPolicy({});
}

// Guards against an instance that is cut off from its peers and never asks the platform.
TEST_CASE("an instance polls after 10 s of silence with growing pauses") {
  WatchPolicy policy = Follower();
  std::vector<Duration> polls;
  for (Duration t{}; t < seconds(200); t += kStep) {
    if (policy.Decide(kStart, kStart + t) == Action::kPoll) polls.push_back(t);
  }
  REQUIRE(polls.size() > 6);
  CHECK(polls[0] >= seconds(10));
  CHECK(polls[0] <= seconds(10) + WatchPolicy::kMinJitterWindow + kStep);
  for (std::size_t i = 1; i < polls.size(); ++i) {
    const Duration pause = polls[i] - polls[i - 1];
    CHECK(pause >= WatchPolicy::kMinBackoff);
    CHECK(pause <= WatchPolicy::kMaxBackoff * 5 / 4 + kStep);
  }
  CHECK(polls.back() - polls[polls.size() - 2] >= WatchPolicy::kMaxBackoff);
}

TEST_CASE("hearing a revision ends the polls") {
  WatchPolicy policy = Follower();
  const Instant late = kStart + seconds(60);
  policy.Decide(kStart, kStart);
  CHECK(policy.Decide(kStart, late) == Action::kPoll);
  CHECK(policy.Decide(late, late + seconds(1)) == Action::kRelyOnPeers);
  CHECK(policy.Decide(late, late + seconds(9)) == Action::kRelyOnPeers);
  CHECK(policy.Decide(late, late + seconds(13)) == Action::kPoll);
}

// Guards against a new instance that serves for seconds without any configuration.
TEST_CASE("a new instance that does not watch polls at once") {
  WatchPolicy policy({DataCentre("krems"), Seat(3), 238, 1});
  policy.SetView({Seat(3)}, kKeys);
  CHECK(policy.Decide(Instant(), kStart) == Action::kPoll);
}

}  // namespace
}  // namespace primroseweir
