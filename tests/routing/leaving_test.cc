#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/routing/explanation.h"
#include "support/routing_fakes.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Answered;
using test::MakeRecord;
using test::MakeRequest;
using test::MakeSnapshot;
using test::RouterFleet;

const DataCentre kKrems("krems");
const DataCentre kMelk("melk");

Instant StartTime() { return Instant{} + seconds(100); }

void OpenWindows(Router* router, Instant now) {
  for (const auto& state : router->Upstreams()) state->window().Merge(Epoch(5), 6, now);
  std::set<Seat> live;
  router->SetLiveSeats({Seat(0), Seat(1), Seat(2)}, now);
  router->Merge(router->Observations(now), now);
}

// Returns the upstreams that get calls while the router acquires as many leases as it can.
std::multiset<std::string> UsedUpstreams(Router* router, Instant now) {
  std::vector<UpstreamLease> leases;
  std::multiset<std::string> used;
  while (true) {
    auto lease = router->TryAcquire(MakeRequest(now + seconds(1)), now);
    if (!lease.ok()) return used;
    used.insert(lease->record().id.value());
    leases.push_back(std::move(*lease));
  }
}

Availability AvailabilityOf(Router* router, const std::string& id, Instant now) {
  const auto explanation = router->Explain(ServiceName(test::kService), now);
  for (const auto& upstream : explanation->upstreams) {
    if (upstream.id == UpstreamId(id)) return upstream.availability;
  }
  return Availability::kUsed;
}

std::vector<UpstreamRecord> RecordsInTwoDataCentres() {
  return {MakeRecord("k-1", "krems"), MakeRecord("k-2", "krems"), MakeRecord("m-1", "melk")};
}

// Guards against new calls to a data centre that is out of service and against aborted ones: calls
// in flight must finish.
TEST_CASE("a data centre that is out gets no new calls", "[data-centre-out]") {
  RouterFleet fleet(3, 6);
  const Instant now = StartTime();
  fleet.Apply(MakeSnapshot(RecordsInTwoDataCentres()), now);
  for (std::size_t i = 0; i < 3; ++i) OpenWindows(&fleet[i], now);
  auto running_lease = fleet[0].TryAcquire(MakeRequest(now + seconds(1)), now);
  REQUIRE(running_lease.ok());
  fleet.Apply(MakeSnapshot(RecordsInTwoDataCentres(), {kKrems}), now);
  for (std::size_t i = 0; i < 3; ++i) {
    const auto used = UsedUpstreams(&fleet[i], now);
    CHECK_FALSE(used.empty());
    CHECK(used.count("m-1") == used.size());
    CHECK(AvailabilityOf(&fleet[i], "k-1", now) == Availability::kDataCentreOut);
  }
  running_lease->Finish(Answered(milliseconds(10)), now + seconds(60));
}

// Guards against an instance that on its own keeps one data centre in service when the last one is
// taken out.
TEST_CASE("no upstream is used after the last data centre is taken out", "[data-centre-out]") {
  RouterFleet fleet(1, 2);
  const Instant now = StartTime();
  fleet.Apply(MakeSnapshot(RecordsInTwoDataCentres(), {kKrems, kMelk}), now);
  const auto lease = fleet[0].TryAcquire(MakeRequest(now + seconds(1)), now);
  CHECK(lease.status().code() == absl::StatusCode::kUnavailable);
}

// Guards against full load on a data centre that returns. Each of its upstreams must start at
// window 1, also at an instance that was paused or cut off and received only the end of a quick
// change.
TEST_CASE("upstreams of a returned data centre start cold", "[data-centre-out]") {
  for (const bool skips_change : {false, true}) {
    RouterFleet fleet(3, 6);
    Instant now = StartTime();
    fleet.Apply(MakeSnapshot(RecordsInTwoDataCentres()), now);
    for (std::size_t i = 0; i < 3; ++i) OpenWindows(&fleet[i], now);
    for (std::size_t i = 0; i < 3; ++i) {
      if (i != 2 || !skips_change)
        fleet[i].Apply(MakeSnapshot(RecordsInTwoDataCentres(), {kKrems}), now);
    }
    now += milliseconds(300);
    fleet.Apply(MakeSnapshot(RecordsInTwoDataCentres()), now);
    fleet.Gossip(now);
    std::vector<UpstreamLease> leases;
    std::size_t at_krems = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      while (true) {
        CallRequest request = MakeRequest(now + seconds(1));
        request.excluded.insert(UpstreamId("m-1"));
        auto lease = fleet[i].TryAcquire(request, now);
        if (!lease.ok()) break;
        ++at_krems;
        leases.push_back(std::move(*lease));
      }
    }
    CHECK(at_krems == 2);
  }
}

// Guards against warm-ups that never end because each instance that learns of the return restarts
// them.
TEST_CASE("instances that learn of a return one by one do not restart the warm-up",
          "[data-centre-out]") {
  RouterFleet fleet(3, 6);
  Instant now = StartTime();
  fleet.Apply(MakeSnapshot(RecordsInTwoDataCentres()), now);
  for (std::size_t i = 0; i < 3; ++i) OpenWindows(&fleet[i], now);
  fleet.Apply(MakeSnapshot(RecordsInTwoDataCentres(), {kKrems}), now);
  fleet.Gossip(now);
  const Epoch out_epoch = fleet[0].Upstreams()[0]->window().epoch_window().epoch;
  CHECK(out_epoch > Epoch(5));
  for (std::size_t i = 0; i < 3; ++i) {
    now += seconds(1);
    fleet[i].Apply(MakeSnapshot(RecordsInTwoDataCentres()), now);
    fleet.Gossip(now);
  }
  CHECK(fleet[0].Upstreams()[0]->window().epoch_window().epoch == out_epoch);
}

// Guards against calls to a service whose dependency has no upstream.
TEST_CASE("calls to a service without its dependency are refused at once",
          "[data-centre-out][not-run]") {
  RouterFleet fleet(1, 2);
  const Instant now = StartTime();
  auto snapshot = MakeSnapshot({MakeRecord("k-1")});
  const ServiceName middle("middle");
  const ServiceName outer("outer");
  snapshot->services.push_back({middle, {ServiceName("gone")}, ServiceCallKind::kIdempotent});
  snapshot->services.push_back({ServiceName("gone"), {}, ServiceCallKind::kIdempotent});
  snapshot->services.push_back({outer, {middle}, ServiceCallKind::kIdempotent});
  for (const ServiceName& service : {middle, outer}) {
    UpstreamRecord record = MakeRecord(service.value() + "-1");
    record.service = service;
    snapshot->upstreams.push_back(record);
  }
  fleet.Apply(snapshot, now);
  for (const ServiceName& service : {middle, outer}) {
    CallRequest request = MakeRequest(now + seconds(1));
    request.service = service;
    CHECK(fleet[0].TryAcquire(request, now).status().code() == absl::StatusCode::kUnavailable);
  }
  CHECK(fleet[0].TryAcquire(MakeRequest(now + seconds(1)), now).ok());
}

CallResult LeavingResponse() {
  CallResult result = Answered(milliseconds(2));
  result.leaving = true;
  return result;
}

// Guards against calls, from this instance or its peers, to an upstream that reports that it is
// leaving while the list still marks it as live.
TEST_CASE("an upstream that reports leaving gets no calls although the list says live",
          "[upstream-leaving]") {
  RouterFleet fleet(3, 6);
  Instant now = StartTime();
  const auto snapshot = MakeSnapshot({MakeRecord("k-1"), MakeRecord("k-2")});
  fleet.Apply(snapshot, now);
  for (std::size_t i = 0; i < 3; ++i) OpenWindows(&fleet[i], now);
  std::vector<UpstreamObservation> urgent;
  fleet[0].SetUrgentSender([&](const UpstreamObservation& o) { urgent.push_back(o); });
  CallRequest request = MakeRequest(now + seconds(1));
  request.excluded.insert(UpstreamId("k-2"));
  auto lease = fleet[0].TryAcquire(request, now);
  REQUIRE(lease.ok());
  lease->Finish(LeavingResponse(), now);
  REQUIRE(urgent.size() == 1);
  CHECK(urgent[0].leaving);
  for (std::size_t i = 1; i < 3; ++i) fleet[i].Merge(urgent, now);
  for (int round = 0; round < 3; ++round) {
    for (std::size_t i = 0; i < 3; ++i) {
      CHECK(UsedUpstreams(&fleet[i], now).count("k-1") == 0);
      CHECK(AvailabilityOf(&fleet[i], "k-1", now) == Availability::kLeavingSelfReported);
    }
    // The list keeps marking the upstream as live, and the peers repeat their observations.
    now += seconds(1);
    fleet.Apply(snapshot, now);
    fleet.Gossip(now);
  }
}

// Guards against calls to an upstream that only the list marks as leaving.
TEST_CASE("an upstream that only the list marks as leaving gets no calls", "[upstream-leaving]") {
  RouterFleet fleet(1, 2);
  const Instant now = StartTime();
  UpstreamRecord leaving = MakeRecord("k-1");
  fleet.Apply(MakeSnapshot({leaving, MakeRecord("k-2")}), now);
  OpenWindows(&fleet[0], now);
  leaving.state = ListedState::kLeaving;
  fleet.Apply(MakeSnapshot({leaving, MakeRecord("k-2")}), now);
  CHECK(UsedUpstreams(&fleet[0], now).count("k-1") == 0);
  CHECK(AvailabilityOf(&fleet[0], "k-1", now) == Availability::kLeavingListed);
}

// Guards against a leaving mark that outlives its process, also when a peer with an outdated list
// keeps sending observations of the old process, and against full load on the newly listed process.
TEST_CASE("a newly listed upstream is used again and starts cold", "[upstream-leaving]") {
  RouterFleet fleet(3, 6);
  Instant now = StartTime();
  const auto with_upstream = MakeSnapshot({MakeRecord("k-1")});
  fleet.Apply(with_upstream, now);
  for (std::size_t i = 0; i < 3; ++i) OpenWindows(&fleet[i], now);
  auto lease = fleet[0].TryAcquire(MakeRequest(now + seconds(1)), now);
  REQUIRE(lease.ok());
  lease->Finish(LeavingResponse(), now);
  fleet.Gossip(now);
  for (std::size_t i = 0; i < 3; ++i) CHECK(UsedUpstreams(&fleet[i], now).empty());
  // Routers 0 and 1 apply lists without and then again with the id; router 2 keeps the old list.
  now += seconds(1);
  for (std::size_t i = 0; i < 2; ++i) fleet[i].Apply(MakeSnapshot({}), now);
  fleet.Gossip(now);
  now += seconds(1);
  for (std::size_t i = 0; i < 2; ++i) fleet[i].Apply(with_upstream, now);
  for (int round = 0; round < 3; ++round) fleet.Gossip(now);
  std::vector<UpstreamLease> leases;
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(fleet[i].Upstreams()[0]->is_leaving());
    auto again = fleet[i].TryAcquire(MakeRequest(now + seconds(1)), now);
    if (again.ok()) leases.push_back(std::move(*again));
  }
  CHECK(leases.size() == 1);
}

// Guards against observations that are kept for another process after the address changed.
TEST_CASE("a changed address counts as a new process", "[cold-start]") {
  RouterFleet fleet(1, 2);
  Instant now = StartTime();
  UpstreamRecord record = MakeRecord("k-1");
  fleet.Apply(MakeSnapshot({record}), now);
  OpenWindows(&fleet[0], now);
  REQUIRE(fleet[0].Upstreams()[0]->window().is_open());
  record.slots = 8;
  fleet.Apply(MakeSnapshot({record}), now);
  CHECK(fleet[0].Upstreams()[0]->window().is_open());
  record.address.port = 7002;
  fleet.Apply(MakeSnapshot({record}), now);
  CHECK_FALSE(fleet[0].Upstreams()[0]->window().is_open());
  CHECK(fleet[0].Upstreams()[0]->window().epoch_window().epoch > Epoch(5));
}

}  // namespace
}  // namespace primroseweir
