#include "primroseweir/balance/load_balancer.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "balance_fixture.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against calls at upstreams whose neighbours slow them down for a few tenths of a second.
TEST_CASE("an upstream with a fresh report of a slowdown is avoided until the report is old",
          "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  fixture.Apply();
  fixture.Report("a", 0, 5);
  fixture.Report("b", 2, 1);
  CHECK(fixture.PickId() == "b");
  fixture.now += seconds(2);
  fixture.Report("b", 2, 1);
  CHECK(fixture.PickId() == "a");
}

// Guards against choices on reports that no longer tell anything, which cost 13% of the credit.
TEST_CASE("a choice on old reports names the upstreams to probe", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  fixture.Add("c");
  fixture.Apply();
  CHECK(fixture.Pick().to_probe.size() == LoadBalancer::kMaxProbesPerCall);
  fixture.Report("a", 0, 1);
  fixture.Report("b", 0, 1);
  fixture.Report("c", 0, 1);
  CHECK(fixture.Pick().to_probe.empty());
  fixture.now += LoadBalancer::kMaxReportAge;
  CHECK(fixture.Pick().to_probe.size() == LoadBalancer::kMaxProbesPerCall);
}

// Guards against calls that come too late at slow upstreams, and against filling those under load:
// they would stay full for long after they are fast again.
TEST_CASE("an upstream beyond the acceptable time is not chosen", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Apply();
  fixture.Report("a", 0, 5);
  LoadBalancer::PickArgs args;
  args.service = ServiceName("s");
  args.latency_limit = milliseconds(250);
  CHECK(fixture.balancer.Pick(args, fixture.now).failure ==
        LoadBalancer::PickFailure::kOnlySlowRoom);
  args.latency_limit = milliseconds(600);
  CHECK(fixture.balancer.Pick(args, fixture.now).upstream != nullptr);
  fixture.Add("b");
  fixture.Apply();
  fixture.Report("b", 4, 1);
  args.latency_limit = milliseconds(250);
  CHECK(fixture.balancer.Pick(args, fixture.now).failure == LoadBalancer::PickFailure::kFull);
}

// Guards against calls that wait although another instance's calls have left a slot free.
TEST_CASE("full upstreams with old reports are named for probes", "[balance]") {
  BalanceFixture fixture;
  for (const char* id : {"a", "b", "c", "d", "e"}) {
    fixture.Add(id);
  }
  fixture.Apply();
  for (const char* id : {"e", "d", "c", "b", "a"}) {
    fixture.Report(id, 4, 1);
    fixture.now += milliseconds(1);
  }
  REQUIRE(fixture.Pick().failure == LoadBalancer::PickFailure::kFull);
  CHECK(fixture.balancer.PossiblyFree(ServiceName("s"), fixture.now).empty());
  fixture.now += LoadBalancer::kMaxReportAge;
  const auto asked = fixture.balancer.PossiblyFree(ServiceName("s"), fixture.now);
  REQUIRE(asked.size() == LoadBalancer::kMaxProbesWhileWaiting);
  CHECK(asked[0]->record().id.value() == "e");
  fixture.Report("e", 3, 1);
  CHECK(fixture.PickId() == "e");
}

// Guards against a new connection for each call where upstreams are many.
TEST_CASE("between equals the upstream with a connection at hand is chosen", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  fixture.Apply();
  fixture.At("b").SetConnected(true);
  for (int i = 0; i < 20; ++i) {
    CHECK(fixture.PickId() == "b");
  }
  fixture.At("b").SetPeerInFlight(3);
  CHECK(fixture.PickId() == "a");
}

// Guards against capacity that operators add and nobody uses: at a low load calls kept to the
// upstreams that an instance was connected to (retina-gw quiet-1: some that joined got nothing).
TEST_CASE("an upstream that joins gets a call from each instance that has calls", "[balance]") {
  BalanceFixture f;
  for (const char* id : {"a", "b", "c"}) {
    f.Add(id);
  }
  f.Apply();
  for (const char* id : {"a", "b", "c"}) {
    f.At(id).SetConnected(true);
    f.Report(id, 0, 1);
  }
  f.Add("new");
  f.Apply();
  int calls = 0;
  while (f.At("new").is_new() && calls < 100) {
    const auto pick = f.Pick();
    REQUIRE(pick.upstream != nullptr);
    f.balancer.RecordStart(pick.upstream.get(), f.now);
    f.balancer.RecordEnd(pick.upstream.get(), UpstreamOutcome::kAnswered, f.now, 1, f.now);
    ++calls;
  }
  CHECK(calls < 100);
  // From then on it is one of those without a connection.
  for (int i = 0; i < 100; ++i) {
    CHECK(f.PickId() != "new");
  }
}

// Load pattern: few calls of one instance to hundreds of upstreams. Guards against two new
// connections a call: calls that are spread evenly find each connection closed again.
TEST_CASE("an instance keeps to the upstreams it is connected to", "[balance]") {
  BalanceFixture fixture;
  constexpr int kUpstreams = 300;
  for (int i = 0; i < kUpstreams; ++i) {
    fixture.Add("u" + std::to_string(i));
  }
  fixture.Apply();
  std::set<std::string> used;
  std::vector<std::string> running;
  // Twenty calls at a time, each for a second of which others are sent meanwhile.
  for (int call = 0; call < 2000; ++call) {
    const auto id = fixture.PickId();
    REQUIRE(!id.empty());
    used.insert(id);
    fixture.At(id).SetConnected(false);
    fixture.balancer.RecordStart(&fixture.At(id), fixture.now);
    running.push_back(id);
    fixture.now += milliseconds(50);
    if (running.size() > 20) {
      const auto ended = running.front();
      running.erase(running.begin());
      fixture.balancer.RecordEnd(&fixture.At(ended), UpstreamOutcome::kAnswered,
                                 fixture.now - milliseconds(1000), 1, fixture.now);
      fixture.At(ended).SetConnected(true);
    }
  }
  // Half as many again as run at a time.
  CHECK(used.size() <= 30);
}

// Guards against more calls at an upstream than it has slots: some never answer what they can't
// queue.
TEST_CASE("calls of other instances count against an upstream's slots", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Apply();
  fixture.At("a").SetPeerInFlight(3);
  REQUIRE(fixture.PickId() == "a");
  fixture.balancer.RecordStart(&fixture.At("a"), fixture.now);
  CHECK(fixture.Pick().failure == LoadBalancer::PickFailure::kFull);
  fixture.At("a").SetPeerInFlight(2);
  CHECK(fixture.PickId() == "a");
}

// Guards against large answers and bodies between data centres, which are expensive.
TEST_CASE("downloads and uploads stay in their data centre while it has an upstream", "[balance]") {
  const auto kind = GENERATE(CallKind::kDownload, CallKind::kUpload);
  BalanceFixture fixture;
  fixture.Add("near");
  fixture.Add("far", "there");
  fixture.Apply();
  for (int i = 0; i < 20; ++i) {
    CHECK(fixture.PickId(kind) == "near");
  }
  // A fast upstream elsewhere does not outweigh the bytes, unlike for other calls.
  fixture.Report("near", 0, 3);
  fixture.Report("far", 0, 1);
  CHECK(fixture.PickId(kind) == "near");
  CHECK(fixture.PickId(CallKind::kNonIdempotent) == "far");
  fixture.At("near").SetPeerInFlight(4);
  LoadBalancer::PickArgs args;
  args.service = ServiceName("s");
  args.kind = kind;
  args.local_only = true;
  CHECK(fixture.balancer.Pick(args, fixture.now).failure == LoadBalancer::PickFailure::kFull);
  args.local_only = false;
  CHECK(fixture.balancer.Pick(args, fixture.now).upstream->record().id.value() == "far");
  fixture.list.erase(fixture.list.begin());
  fixture.Apply();
  args.local_only = true;
  CHECK(fixture.balancer.Pick(args, fixture.now).upstream->record().id.value() == "far");
}

// Guards against calls to upstreams that leave, are gone, or stand in a data centre that is out.
TEST_CASE("only listed upstreams in service are chosen", "[balance][upstream-leaving]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b", "there");
  fixture.Apply();
  fixture.list[0].state = ListedState::kLeaving;
  fixture.Apply();
  CHECK(fixture.PickId() == "b");
  fixture.out.insert(DataCentre("there"));
  fixture.Apply();
  CHECK(fixture.Pick().failure == LoadBalancer::PickFailure::kNoUpstream);
}

// Guards against a flood at upstreams that turned cold while their data centre was out.
TEST_CASE("upstreams of a returned data centre are probed before they get calls",
          "[balance][data-centre-out]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.out.insert(DataCentre("here"));
  fixture.Apply();
  CHECK(fixture.balancer.DueProbes(fixture.now).empty());
  fixture.out.clear();
  fixture.Apply();
  CHECK(fixture.PickId() == "");
  const auto due = fixture.balancer.DueProbes(fixture.now);
  REQUIRE(due.size() == 1);
  fixture.balancer.ClearSuspect(due[0].get(), seconds(2), fixture.now);
  CHECK(due[0]->is_cold(fixture.now));
  fixture.now += seconds(2);
  CHECK(fixture.PickId() == "a");
}

// Guards against the refusal of the first calls of an instance that had none while all upstreams
// came back into service (soak seed 3112).
TEST_CASE("a call that finds only doubted upstreams names them for probes", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  fixture.Add("c");
  fixture.Apply();
  for (const char* id : {"a", "b", "c"}) {
    fixture.At(id).MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, fixture.now);
  }
  LoadBalancer::PickArgs args;
  args.service = ServiceName("s");
  CHECK(fixture.balancer.Pick(args, fixture.now).to_probe.empty());
  args.may_probe = true;
  CHECK(fixture.balancer.Pick(args, fixture.now).to_probe.size() ==
        LoadBalancer::kMaxProbesPerCall);
  CHECK(fixture.balancer.Pick(args, fixture.now).to_probe.size() == 1);
  CHECK(fixture.balancer.Pick(args, fixture.now).to_probe.empty());
}

// Guards against probes from each of a hundred instances of which a few have callers.
TEST_CASE("doubted upstreams are probed only for services with calls", "[balance][probe-budget]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Apply();
  fixture.At("a").MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, fixture.now);
  CHECK(fixture.balancer.DueProbes(fixture.now).empty());
  CHECK(fixture.PickId() == "");
  CHECK(fixture.balancer.DueProbes(fixture.now).size() == 1);
  fixture.now += LoadBalancer::kServiceIdleTime + milliseconds(1);
  CHECK(fixture.balancer.DueProbes(fixture.now).empty());
}

// Load pattern: a data centre with a hundred upstreams returns to hundreds of instances. Guards
// against a new connection from each instance to each of them (49,000 on trouble-1 of
// donaueis-gw-large).
TEST_CASE("an instance with few calls probes few upstreams of a returned data centre",
          "[balance][probe-budget]") {
  BalanceFixture fixture;
  fixture.Add("near");
  for (int i = 0; i < 100; ++i) {
    fixture.Add("r" + std::to_string(i), "there");
  }
  fixture.out.insert(DataCentre("there"));
  fixture.Apply();
  fixture.out.clear();
  fixture.Apply();
  REQUIRE(fixture.PickId() == "near");
  CHECK(fixture.balancer.DueProbes(fixture.now).empty());
  for (int i = 0; i < 12; ++i) {
    fixture.balancer.RecordStart(&fixture.At("near"), fixture.now);
  }
  CHECK(fixture.balancer.DueProbes(fixture.now).size() == 12 / LoadBalancer::kCallsPerProbe);
  // One to which a connection failed is probed at once: its last request may have crashed it.
  fixture.At("r99").MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, fixture.now);
  fixture.now += BalancedUpstream::kProbeInterval;
  const auto due = fixture.balancer.DueProbes(fixture.now);
  CHECK(due.size() == 1 + 12 / LoadBalancer::kCallsPerProbe);
  CHECK(due.back()->record().id.value() == "r99");
}

// Guards against calls to the next process at an address that was reused.
TEST_CASE("a misdirected upstream gets no calls until its entry changes", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Apply();
  fixture.At("a").SetMisdirected();
  CHECK(fixture.PickId() == "");
  fixture.Apply();
  CHECK(fixture.PickId() == "");
  fixture.list[0].started_ms = 7;
  fixture.Apply();
  CHECK(fixture.PickId() == "a");
}

// Guards against upstreams that are never used again because their health answers are wrong.
TEST_CASE("an upstream that only its health answers call ill is tried again", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Apply();
  fixture.At("a").MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, fixture.now);
  for (int i = 0; i < BalancedUpstream::kMaxIgnoredProbes; ++i) {
    CHECK(fixture.PickId() == "");
    fixture.At("a").RecordUnhealthyProbe();
  }
  CHECK(fixture.PickId() == "a");
}

// Guards against slow upstreams that are chosen again and again: a second attempt answers first,
// and the one that showed the slowness is cancelled.
TEST_CASE("an upstream that was overtaken by a second attempt counts as slow", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  fixture.Apply();
  const auto cancel = [&fixture](const char* id, Duration after) {
    auto& upstream = fixture.At(id);
    fixture.balancer.RecordStart(&upstream, fixture.now - after);
    fixture.balancer.RecordEnd(&upstream, UpstreamOutcome::kCancelled, fixture.now - after, 1,
                               fixture.now);
  };
  const auto latency_estimate = fixture.balancer.LatencyEstimate(ServiceName("s"));
  cancel("b", latency_estimate * 3);
  CHECK(fixture.At("b").slowness(fixture.now) > 1.2);
  CHECK(fixture.PickId() == "a");
  // A caller that left early shows nothing.
  cancel("a", latency_estimate / 2);
  CHECK(fixture.At("a").slowness(fixture.now) == 1);
}

// Guards against upstreams that are avoided for seconds because of a neighbour that slowed them
// down for some milliseconds.
TEST_CASE("a slowdown that the upstream states is not remembered as its own", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Apply();
  const auto latency_estimate = fixture.balancer.LatencyEstimate(ServiceName("s"));
  auto& upstream = fixture.At("a");
  fixture.balancer.RecordStart(&upstream, fixture.now - latency_estimate * 4);
  fixture.Report("a", 1, 4);
  fixture.balancer.RecordEnd(&upstream, UpstreamOutcome::kAnswered,
                             fixture.now - latency_estimate * 4, 1, fixture.now);
  fixture.now += seconds(1);
  CHECK(upstream.slowness(fixture.now) < 1.1);
}

// Guards against calls that pile up at an upstream that has become slow while no answer shows it.
TEST_CASE("an upstream with an overdue attempt counts as slow before the attempt ends",
          "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Apply();
  const auto latency_estimate = fixture.balancer.LatencyEstimate(ServiceName("s"));
  auto& upstream = fixture.At("a");
  fixture.balancer.RecordStart(&upstream, fixture.now);
  fixture.balancer.RecordUnanswered(&upstream, fixture.now - latency_estimate, fixture.now);
  CHECK(upstream.slowness(fixture.now) == 1);
  fixture.balancer.RecordUnanswered(&upstream, fixture.now - latency_estimate * 2, fixture.now);
  CHECK(upstream.slowness(fixture.now) > 1.1);
}

// Guards against upstreams that fail a part of their calls while they look well.
TEST_CASE("an upstream that fails is avoided and tried again later", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  fixture.Apply();
  for (int i = 0; i < 6; ++i) {
    auto& upstream = fixture.At("a");
    fixture.balancer.RecordStart(&upstream, fixture.now);
    fixture.balancer.RecordEnd(&upstream, UpstreamOutcome::kFailed, fixture.now - milliseconds(50),
                               1, fixture.now);
  }
  fixture.At("b").SetPeerInFlight(1);
  CHECK(fixture.PickId() == "b");
  fixture.now += seconds(20);
  CHECK(fixture.PickId() == "a");
}

}  // namespace
}  // namespace primroseweir
