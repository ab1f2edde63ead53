#include "primroseweir/routing/probe_controller.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "support/routing_fakes.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Answered;
using test::MakeRecord;
using test::MakeSnapshot;
using test::RouterFleet;

// Routers with probe controllers; counts the probes per upstream.
class ProbedFleet {
 public:
  ProbedFleet(std::size_t size, std::uint64_t seats, Instant now) : fleet_(size, seats), now_(now) {
    for (std::size_t i = 0; i < size; ++i) StartRouter(i);
    fleet_.UpdateLiveSeats(now);
  }

  void StartRouter(std::size_t i) {
    fleet_.Restart(i);
    fleet_[i].Apply(MakeSnapshot({MakeRecord("a"), MakeRecord("b")}), now_);
    for (const auto& state : fleet_[i].Upstreams()) state->window().Merge(Epoch(1), 6, now_);
    if (controllers_.size() <= i) controllers_.resize(i + 1);
    controllers_[i] = std::make_unique<ProbeController>(&fleet_[i], [this](UpstreamLease lease) {
      probes_[lease.record().id].push_back(now_);
      CallResult result = Answered(milliseconds(6));
      if (has_reports_) result.report = LoadReport{1, milliseconds(6), Duration::zero()};
      lease.Finish(result, now_);
    });
  }

  void Tick(Duration step) {
    now_ += step;
    for (auto& controller : controllers_) controller->Tick(now_);
  }

  std::size_t ProbesSince(const std::string& upstream, Instant since) {
    std::size_t count = 0;
    for (const Instant probe : probes_[UpstreamId(upstream)]) count += probe > since ? 1 : 0;
    return count;
  }

  void SetReportsInResponses(bool has_reports) { has_reports_ = has_reports; }
  RouterFleet& fleet() { return fleet_; }
  Instant now() const { return now_; }

 private:
  RouterFleet fleet_;
  Instant now_;
  bool has_reports_ = false;
  std::vector<std::unique_ptr<ProbeController>> controllers_;
  std::map<UpstreamId, std::deque<Instant>> probes_;
};

// Guards against probes beyond the budget while the fleet is partitioned, doubled and restarted. In
// a window of length W an upstream may receive at most budget * W + seats probes, with a budget of
// 10 per second.
TEST_CASE("the routers' probes stay within the budget", "[probe-budget]") {
  for (const int restart_every : {0, 7, 50}) {
    ProbedFleet fleet(12, 12, Instant{} + seconds(100));
    for (std::size_t i = 0; i < 6; ++i) fleet.fleet().SetSide(i, 1);
    fleet.fleet().UpdateLiveSeats(fleet.now());
    for (int step = 1; step <= 600; ++step) {
      fleet.Tick(milliseconds(50));
      if (restart_every > 0 && step % restart_every == 0) {
        for (std::size_t i = 0; i < 12; ++i) fleet.StartRouter(i);
      }
      if (step % 20 != 0) continue;
      REQUIRE(fleet.ProbesSince("a", fleet.now() - seconds(1)) <= 10 + 12);
    }
    CHECK(fleet.ProbesSince("a", Instant{}) <= 10 * 30 + 12);
    if (restart_every == 0) CHECK(fleet.ProbesSince("a", Instant{}) > 100);
  }
}

// Guards against probes of upstreams whose load is already known from a report.
TEST_CASE("an upstream with a fresh report is not probed", "[probe-budget]") {
  ProbedFleet fleet(1, 1, Instant{} + seconds(100));
  fleet.SetReportsInResponses(true);
  for (int step = 0; step < 200; ++step) fleet.Tick(milliseconds(50));
  // One probe per upstream each time its report is 500 ms old, instead of ten per second.
  CHECK(fleet.ProbesSince("a", Instant{}) <= 20);
  CHECK(fleet.ProbesSince("a", Instant{}) >= 15);
}

// Guards against probes of upstreams without a configured probe and of those that are not in use.
TEST_CASE("only upstreams in use with a configured probe are probed", "[probe-budget]") {
  RouterFleet fleet(1, 1);
  Instant now = Instant{} + seconds(100);
  UpstreamRecord without_probe = MakeRecord("nameless");
  without_probe.probe_target.clear();
  UpstreamRecord leaving = MakeRecord("leaving");
  leaving.state = ListedState::kLeaving;
  fleet.Apply(
      MakeSnapshot({without_probe, leaving, MakeRecord("out", "melk")}, {DataCentre("melk")}), now);
  ProbeController controller(&fleet[0], [](UpstreamLease) {});
  for (int step = 0; step < 100; ++step) CHECK(controller.Tick(now += milliseconds(50)) == 0);
}

}  // namespace
}  // namespace primroseweir
