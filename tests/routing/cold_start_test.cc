#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "primroseweir/base/random.h"
#include "support/routing_fakes.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Answered;
using test::Ended;
using test::MakeRecord;
using test::MakeRequest;
using test::MakeSnapshot;
using test::RouterFleet;

std::vector<UpstreamRecord> MakeRecords(int count) {
  std::vector<UpstreamRecord> records;
  for (int i = 0; i < count; ++i) records.push_back(MakeRecord("ib-" + std::to_string(i)));
  return records;
}

// Simulates a fleet in steps of 10 ms: each router of `callers` sends as many calls as it may, each
// call takes 10 ms, and a gossip round takes place every 200 ms. Checks at each step that calls
// stay within the warm-up windows.
class FleetDriver {
 public:
  explicit FleetDriver(RouterFleet* fleet, Instant now) : fleet_(fleet), now_(now) {}

  void Run(int steps, const std::vector<std::size_t>& callers) {
    for (int i = 0; i < steps; ++i, ++step_) {
      if (step_ % 20 == 0) fleet_->Gossip(now_);
      for (const std::size_t caller : callers) Send(caller);
      CheckWindows();
      now_ += milliseconds(10);
      FinishAll();
    }
  }

  bool AllOpen() {
    for (std::size_t i = 0; i < fleet_->size(); ++i) {
      for (const auto& state : (*fleet_)[i].Upstreams()) {
        if (!state->window().is_open()) return false;
      }
    }
    return true;
  }

  Instant now() const { return now_; }
  Instant* mutable_now() { return &now_; }

 private:
  void Send(std::size_t caller) {
    while (true) {
      auto lease = (*fleet_)[caller].TryAcquire(MakeRequest(now_ + seconds(1)), now_);
      if (!lease.ok()) return;
      ++in_flight_[lease->record().id][fleet_->side(caller)];
      leases_.push_back(std::move(*lease));
    }
  }

  void FinishAll() {
    for (auto& lease : leases_) lease.Finish(Answered(milliseconds(10)), now_);
    leases_.clear();
    in_flight_.clear();
  }

  // On each side of a network partition, the calls at a cold upstream must not exceed the largest
  // window that a router of that side knows.
  void CheckWindows() {
    std::map<UpstreamId, std::map<int, std::uint32_t>> max_window;
    std::map<UpstreamId, std::map<int, bool>> open;
    for (std::size_t i = 0; i < fleet_->size(); ++i) {
      for (const auto& state : (*fleet_)[i].Upstreams()) {
        auto& window = max_window[state->record().id][fleet_->side(i)];
        window = std::max(window, state->window().epoch_window().window);
        open[state->record().id][fleet_->side(i)] |= state->window().is_open();
      }
    }
    for (const auto& [id, sides] : in_flight_) {
      for (const auto& [side, calls] : sides) {
        if (!open[id][side]) REQUIRE(calls <= max_window[id][side]);
      }
    }
  }

  RouterFleet* fleet_;
  Instant now_;
  int step_ = 0;
  std::vector<UpstreamLease> leases_;
  std::map<UpstreamId, std::map<int, std::uint32_t>> in_flight_;
};

std::vector<std::size_t> AllInstances(const RouterFleet& fleet) {
  std::vector<std::size_t> all;
  for (std::size_t i = 0; i < fleet.size(); ++i) all.push_back(i);
  return all;
}

// Guards against a fleet that overloads cold upstreams after everything restarted at once, and
// against one that never opens their windows.
TEST_CASE("a fleet restarted at once warms up within its windows", "[cold-start]") {
  RouterFleet fleet(7, 14);
  FleetDriver driver(&fleet, Instant{} + seconds(100));
  fleet.Apply(MakeSnapshot(MakeRecords(6)), driver.now());
  fleet.UpdateLiveSeats(driver.now());
  driver.Run(600, AllInstances(fleet));
  CHECK(driver.AllOpen());
}

// Guards against an upstream that receives more than one window of calls from each side of a
// network partition.
TEST_CASE("calls of each side of a network partition stay within the window", "[cold-start]") {
  RouterFleet fleet(6, 12);
  FleetDriver driver(&fleet, Instant{} + seconds(100));
  for (std::size_t i = 0; i < 3; ++i) fleet.SetSide(i, 1);
  fleet.Apply(MakeSnapshot(MakeRecords(4)), driver.now());
  fleet.UpdateLiveSeats(driver.now());
  driver.Run(600, AllInstances(fleet));
  CHECK(driver.AllOpen());
}

// Guards against twice the window of calls while a rolling replacement doubles the fleet.
TEST_CASE("calls of a fleet of twice the size stay within the window", "[cold-start]") {
  RouterFleet fleet(14, 14);
  FleetDriver driver(&fleet, Instant{} + seconds(100));
  fleet.Apply(MakeSnapshot(MakeRecords(4)), driver.now());
  fleet.UpdateLiveSeats(driver.now());
  driver.Run(600, AllInstances(fleet));
  CHECK(driver.AllOpen());
}

// Guards against upstreams that stay cold because their owners have no callers: when only one
// instance has callers, every upstream must become usable within a few seconds.
TEST_CASE("a service that only one instance calls warms up", "[cold-start]") {
  RouterFleet fleet(7, 14);
  FleetDriver driver(&fleet, Instant{} + seconds(100));
  fleet.Apply(MakeSnapshot(MakeRecords(1)), driver.now());
  fleet.UpdateLiveSeats(driver.now());
  for (std::size_t caller = 0; caller < 7; ++caller) {
    for (std::size_t i = 0; i < 7; ++i) fleet.Restart(i);
    fleet.Apply(MakeSnapshot(MakeRecords(1)), driver.now());
    fleet.UpdateLiveSeats(driver.now());
    driver.Run(500, {caller});
    CHECK(driver.AllOpen());
  }
}

void OpenAll(RouterFleet* fleet, Instant now) {
  for (std::size_t i = 0; i < fleet->size(); ++i) {
    for (const auto& state : (*fleet)[i].Upstreams()) state->window().Merge(Epoch(5), 6, now);
    (*fleet)[i].Merge({}, now);
    (*fleet)[i].SetLiveSeats({Seat(i)}, now);
  }
  fleet->UpdateLiveSeats(now);
}

std::size_t AcquireAll(Router* router, Instant now, std::vector<UpstreamLease>* leases) {
  const std::size_t previous_count = leases->size();
  while (true) {
    auto lease = router->TryAcquire(MakeRequest(now + seconds(1)), now);
    if (!lease.ok()) return leases->size() - previous_count;
    leases->push_back(std::move(*lease));
  }
}

// Guards against full load on an upstream that crashed and restarted: the failed connection of one
// instance must make it cold for all.
TEST_CASE("a crashed upstream starts at window 1 for the whole fleet", "[cold-start]") {
  RouterFleet fleet(5, 10);
  Instant now = Instant{} + seconds(100);
  fleet.Apply(MakeSnapshot(MakeRecords(1)), now);
  OpenAll(&fleet, now);
  std::vector<UpstreamObservation> urgent;
  fleet[2].SetUrgentSender([&](const UpstreamObservation& o) { urgent.push_back(o); });
  auto lease = fleet[2].TryAcquire(MakeRequest(now + seconds(1)), now);
  REQUIRE(lease.ok());
  now += milliseconds(5);
  lease->Finish(Ended(AttemptEnd::kConnectFailed), now);
  REQUIRE(urgent.size() == 1);
  CHECK(urgent[0].window == 1);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].Merge(urgent, now);
  std::vector<UpstreamLease> leases;
  // Two instances may detect the crash at once, and each of them resets the window to its own. No
  // share may be used before kClaimSettleTime has passed.
  for (std::size_t i = 0; i < fleet.size(); ++i) AcquireAll(&fleet[i], now, &leases);
  CHECK(leases.empty());
  now += WarmUpWindow::kClaimSettleTime;
  for (std::size_t i = 0; i < fleet.size(); ++i) AcquireAll(&fleet[i], now, &leases);
  CHECK(leases.size() == 1);
}

// Guards against an instance that resumes after a pause and overloads upstreams that restarted
// meanwhile, because its table still shows them as warm.
TEST_CASE("a paused instance that resumes with a stale table sends at most one call per upstream",
          "[cold-start]") {
  RouterFleet fleet(5, 10);
  Instant now = Instant{} + seconds(100);
  fleet.Apply(MakeSnapshot(MakeRecords(3)), now);
  OpenAll(&fleet, now);
  now += seconds(30);
  std::vector<UpstreamObservation> meanwhile;
  for (const auto& record : MakeRecords(3)) {
    UpstreamObservation observation;
    observation.id = record.id;
    observation.epoch = Epoch(9);
    meanwhile.push_back(observation);
  }
  std::vector<UpstreamLease> leases;
  CHECK(AcquireAll(&fleet[0], now, &leases) <= 3);
  leases.clear();
  fleet[0].Merge(meanwhile, now);
  for (std::size_t i = 1; i < fleet.size(); ++i) fleet[i].Merge(meanwhile, now);
  for (std::size_t i = 0; i < fleet.size(); ++i) AcquireAll(&fleet[i], now, &leases);
  CHECK(leases.size() <= 3);
}

// Guards against a new instance that treats warm upstreams as cold, makes them cold for the others,
// or treats cold ones as warm.
TEST_CASE("a new instance neither makes warm upstreams cold nor overloads cold ones",
          "[cold-start]") {
  RouterFleet fleet(5, 10);
  Instant now = Instant{} + seconds(100);
  fleet.Apply(MakeSnapshot(MakeRecords(2)), now);
  OpenAll(&fleet, now);
  fleet.Restart(0);
  fleet[0].Apply(MakeSnapshot(MakeRecords(2)), now);
  fleet.UpdateLiveSeats(now);
  std::vector<UpstreamLease> leases;
  // The instance has no observations yet and keeps to its shares of window 1.
  CHECK(AcquireAll(&fleet[0], now, &leases) <= 2);
  leases.clear();
  fleet.Gossip(now);
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    for (const auto& state : fleet[i].Upstreams()) CHECK(state->window().is_open());
  }
}

// Guards against warm upstreams that turn cold for the whole fleet because they refuse calls beyond
// their capacity.
TEST_CASE("overload alone makes no upstream cold", "[cold-start]") {
  RouterFleet fleet(3, 6);
  Instant now = Instant{} + seconds(100);
  fleet.Apply(MakeSnapshot(MakeRecords(2)), now);
  OpenAll(&fleet, now);
  Random random(1);
  for (int step = 0; step < 5000; ++step) {
    now += milliseconds(2);
    auto lease = fleet[step % 3].TryAcquire(MakeRequest(now + seconds(1)), now);
    if (!lease.ok()) continue;
    CallResult result = Answered(milliseconds(10 + random.UniformBelow(20)));
    // The upstream has all slots busy and a queue, and refuses two of three calls.
    if (random.UniformBelow(3) > 0) result.outcome = AttemptEnd::kRefused;
    result.report = LoadReport{12, milliseconds(20), Duration::zero()};
    lease->Finish(result, now + result.time_to_head);
    fleet.Gossip(now);
  }
  for (const auto& state : fleet[0].Upstreams()) {
    CHECK(state->window().is_open());
    CHECK(state->window().epoch_window().epoch == Epoch(5));
  }
}

}  // namespace
}  // namespace primroseweir
