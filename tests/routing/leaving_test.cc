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

Instant Start() { return Instant{} + seconds(100); }

void Open(Router* router, Instant now) {
  for (const auto& state : router->Upstreams()) state->window().Merge(Epoch(5), 6, now);
  std::set<Seat> live;
  router->SetLiveSeats({Seat(0), Seat(1), Seat(2)}, now);
  router->Merge(router->Observations(now), now);
}

// The upstreams that the router uses when it places as many calls as it can.
std::multiset<std::string> Used(Router* router, Instant now) {
  std::vector<UpstreamLease> leases;
  std::multiset<std::string> used;
  while (true) {
    auto lease = router->TryAcquire(MakeRequest(now + seconds(1)), now);
    if (!lease.ok()) return used;
    used.insert(lease->record().id.value());
    leases.push_back(std::move(*lease));
  }
}

UpstreamAvailability UseOf(Router* router, const std::string& id, Instant now) {
  const auto explanation = router->Explain(ServiceName(test::kService), now);
  for (const auto& upstream : explanation->upstreams) {
    if (upstream.id == UpstreamId(id)) return upstream.availability;
  }
  return UpstreamAvailability::kUsed;
}

std::vector<UpstreamRecord> TwoCentres() {
  return {MakeRecord("k-1", "krems"), MakeRecord("k-2", "krems"), MakeRecord("m-1", "melk")};
}

// Guards against new work for a data centre that is out, and against cut calls: those in flight
// finish.
TEST_CASE("a data centre that is out gets no new calls", "[data-centre-out]") {
  RouterFleet fleet(3, 6);
  const Instant now = Start();
  fleet.Apply(MakeSnapshot(TwoCentres()), now);
  for (std::size_t i = 0; i < 3; ++i) Open(&fleet[i], now);
  auto running = fleet[0].TryAcquire(MakeRequest(now + seconds(1)), now);
  REQUIRE(running.ok());
  fleet.Apply(MakeSnapshot(TwoCentres(), {kKrems}), now);
  for (std::size_t i = 0; i < 3; ++i) {
    const auto used = Used(&fleet[i], now);
    CHECK_FALSE(used.empty());
    CHECK(used.count("m-1") == used.size());
    CHECK(UseOf(&fleet[i], "k-1", now) == UpstreamAvailability::kDataCentreOut);
  }
  running->Finish(Answered(milliseconds(10)), now + seconds(60));
}

// Guards against an instance that keeps one data centre in service on its own: taking out the last
// one is obeyed.
TEST_CASE("taking out the last data centre is obeyed", "[data-centre-out]") {
  RouterFleet fleet(1, 2);
  const Instant now = Start();
  fleet.Apply(MakeSnapshot(TwoCentres(), {kKrems, kMelk}), now);
  const auto lease = fleet[0].TryAcquire(MakeRequest(now + seconds(1)), now);
  CHECK(lease.status().code() == absl::StatusCode::kUnavailable);
}

// Guards against full load on a data centre that returns: each of its upstreams starts at window 1,
// also for an instance that was paused or cut off and saw only the end of a quick change.
TEST_CASE("a returned data centre is cold", "[data-centre-out]") {
  for (const bool skips : {false, true}) {
    RouterFleet fleet(3, 6);
    Instant now = Start();
    fleet.Apply(MakeSnapshot(TwoCentres()), now);
    for (std::size_t i = 0; i < 3; ++i) Open(&fleet[i], now);
    for (std::size_t i = 0; i < 3; ++i) {
      if (i != 2 || !skips) fleet[i].Apply(MakeSnapshot(TwoCentres(), {kKrems}), now);
    }
    now += milliseconds(300);
    fleet.Apply(MakeSnapshot(TwoCentres()), now);
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
TEST_CASE("a return that instances learn one by one restarts nothing", "[data-centre-out]") {
  RouterFleet fleet(3, 6);
  Instant now = Start();
  fleet.Apply(MakeSnapshot(TwoCentres()), now);
  for (std::size_t i = 0; i < 3; ++i) Open(&fleet[i], now);
  fleet.Apply(MakeSnapshot(TwoCentres(), {kKrems}), now);
  fleet.Gossip(now);
  const Epoch out_epoch = fleet[0].Upstreams()[0]->window().pair().epoch;
  CHECK(out_epoch > Epoch(5));
  for (std::size_t i = 0; i < 3; ++i) {
    now += seconds(1);
    fleet[i].Apply(MakeSnapshot(TwoCentres()), now);
    fleet.Gossip(now);
  }
  CHECK(fleet[0].Upstreams()[0]->window().pair().epoch == out_epoch);
}

// Guards against calls to a service whose dependency runs nowhere.
TEST_CASE("a service without its dependency answers early", "[data-centre-out][not-run]") {
  RouterFleet fleet(1, 2);
  const Instant now = Start();
  auto snapshot = MakeSnapshot({MakeRecord("k-1")});
  const ServiceName middle("middle");
  const ServiceName outer("outer");
  snapshot->services.push_back({middle, {ServiceName("gone")}, ServiceCalls::kIdempotent});
  snapshot->services.push_back({ServiceName("gone"), {}, ServiceCalls::kIdempotent});
  snapshot->services.push_back({outer, {middle}, ServiceCalls::kIdempotent});
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

// Guards against work for an upstream that says that it leaves while the list still calls it live,
// at this instance and at its peers.
TEST_CASE("the upstream's word counts although the list says live", "[upstream-leaving]") {
  RouterFleet fleet(3, 6);
  Instant now = Start();
  const auto snapshot = MakeSnapshot({MakeRecord("k-1"), MakeRecord("k-2")});
  fleet.Apply(snapshot, now);
  for (std::size_t i = 0; i < 3; ++i) Open(&fleet[i], now);
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
      CHECK(Used(&fleet[i], now).count("k-1") == 0);
      CHECK(UseOf(&fleet[i], "k-1", now) == UpstreamAvailability::kLeavingSelfReported);
    }
    // The list repeats that it is live, and the peers repeat what they know.
    now += seconds(1);
    fleet.Apply(snapshot, now);
    fleet.Gossip(now);
  }
}

// Guards against work for an upstream that only the list calls leaving.
TEST_CASE("the list counts although the upstream says nothing", "[upstream-leaving]") {
  RouterFleet fleet(1, 2);
  const Instant now = Start();
  UpstreamRecord leaving = MakeRecord("k-1");
  fleet.Apply(MakeSnapshot({leaving, MakeRecord("k-2")}), now);
  Open(&fleet[0], now);
  leaving.state = ListedState::kLeaving;
  fleet.Apply(MakeSnapshot({leaving, MakeRecord("k-2")}), now);
  CHECK(Used(&fleet[0], now).count("k-1") == 0);
  CHECK(UseOf(&fleet[0], "k-1", now) == UpstreamAvailability::kLeavingListed);
}

// Guards against a mark that outlives its process, also when a peer with a lagging list keeps
// telling of the old one, and against a newly listed process that gets full load.
TEST_CASE("a newly listed upstream is used again and starts cold", "[upstream-leaving]") {
  RouterFleet fleet(3, 6);
  Instant now = Start();
  const auto with = MakeSnapshot({MakeRecord("k-1")});
  fleet.Apply(with, now);
  for (std::size_t i = 0; i < 3; ++i) Open(&fleet[i], now);
  auto lease = fleet[0].TryAcquire(MakeRequest(now + seconds(1)), now);
  REQUIRE(lease.ok());
  lease->Finish(LeavingResponse(), now);
  fleet.Gossip(now);
  for (std::size_t i = 0; i < 3; ++i) CHECK(Used(&fleet[i], now).empty());
  // Routers 0 and 1 see the id gone and back; router 2 still has the old list.
  now += seconds(1);
  for (std::size_t i = 0; i < 2; ++i) fleet[i].Apply(MakeSnapshot({}), now);
  fleet.Gossip(now);
  now += seconds(1);
  for (std::size_t i = 0; i < 2; ++i) fleet[i].Apply(with, now);
  for (int round = 0; round < 3; ++round) fleet.Gossip(now);
  std::vector<UpstreamLease> leases;
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK_FALSE(fleet[i].Upstreams()[0]->leaving());
    auto again = fleet[i].TryAcquire(MakeRequest(now + seconds(1)), now);
    if (again.ok()) leases.push_back(std::move(*again));
  }
  CHECK(leases.size() == 1);
}

// Guards against observations that a changed address carries over to another process.
TEST_CASE("a changed address is a new process", "[cold-start]") {
  RouterFleet fleet(1, 2);
  Instant now = Start();
  UpstreamRecord record = MakeRecord("k-1");
  fleet.Apply(MakeSnapshot({record}), now);
  Open(&fleet[0], now);
  REQUIRE(fleet[0].Upstreams()[0]->window().open());
  record.slots = 8;
  fleet.Apply(MakeSnapshot({record}), now);
  CHECK(fleet[0].Upstreams()[0]->window().open());
  record.address.port = 7002;
  fleet.Apply(MakeSnapshot({record}), now);
  CHECK_FALSE(fleet[0].Upstreams()[0]->window().open());
  CHECK(fleet[0].Upstreams()[0]->window().pair().epoch > Epoch(5));
}

}  // namespace
}  // namespace primroseweir
