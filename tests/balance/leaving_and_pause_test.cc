// Tests of upstreams that state that they leave or ask for a pause.
#include <catch2/catch.hpp>
#include <string>

#include "balance_fixture.h"
#include "primroseweir/balance/retry_policy.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// ---- leaving ----

// Guards against calls, retries and probes of an upstream after it stated that it leaves.
TEST_CASE("a leaving upstream gets no calls and no probes", "[balance][upstream-leaving]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  fixture.Apply();
  fixture.balancer.SetLeaving(&fixture.At("a"), fixture.now);
  for (int i = 0; i < 50; ++i) {
    const auto pick = fixture.Pick();
    REQUIRE(pick.upstream != nullptr);
    CHECK(pick.upstream->record().id == UpstreamId("b"));
    CHECK(pick.to_probe.size() <= 1);
  }
  fixture.At("a").MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, fixture.now);
  CHECK(fixture.balancer.DueProbes(fixture.now).empty());
  CHECK(fixture.balancer.PossiblyFreeUpstreams(ServiceName("s"), fixture.now).size() == 1);
}

// Guards against a leaving upstream that is used again because its entry changed, or expired during
// an outage of the platform and is listed again.
TEST_CASE("a leaving upstream stays so while its process is listed",
          "[balance][upstream-leaving]") {
  BalanceFixture fixture;
  fixture.Add("a").started_ms = 5;
  fixture.Apply();
  fixture.balancer.SetLeaving(&fixture.At("a"), fixture.now);
  fixture.records[0].slots = 8;
  fixture.Apply();
  CHECK(fixture.PickId().empty());
  const auto records = std::exchange(fixture.records, {});
  fixture.Apply();
  fixture.now += seconds(30);
  fixture.records = records;
  fixture.Apply();
  CHECK(fixture.PickId().empty());
}

// Guards against an upstream that is lost for good: its id and address are used again.
TEST_CASE("a new process is used under the id or address of one that left",
          "[balance][upstream-leaving]") {
  for (const bool is_unlisted_meanwhile : {false, true}) {
    BalanceFixture fixture;
    fixture.Add("a").started_ms = 5;
    fixture.Apply();
    fixture.balancer.SetLeaving(&fixture.At("a"), fixture.now);
    if (is_unlisted_meanwhile) {
      const auto records = std::exchange(fixture.records, {});
      fixture.Apply();
      fixture.records = records;
    }
    fixture.records[0].started_ms = 6;
    fixture.Apply();
    CHECK(fixture.PickId() == "a");
    // Another upstream at the address.
    fixture.balancer.SetLeaving(&fixture.At("a"), fixture.now);
    fixture.records[0].id = UpstreamId("b");
    fixture.Apply();
    CHECK(fixture.PickId() == "b");
  }
}

// Guards against an entry without a start time that can never be used again.
TEST_CASE("an upstream without a start time is used again when it is listed anew",
          "[balance][upstream-leaving]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Apply();
  fixture.balancer.SetLeaving(&fixture.At("a"), fixture.now);
  fixture.Apply();
  CHECK(fixture.PickId().empty());
  const auto records = std::exchange(fixture.records, {});
  fixture.Apply();
  fixture.records = records;
  fixture.Apply();
  CHECK(fixture.PickId() == "a");
}

// ---- pause ----

TEST_CASE("the duration of a pause is parsed", "[balance]") {
  const auto parse = &UpstreamPause::ParseDuration;
  CHECK(parse("2") == seconds(2));
  CHECK(parse("0.25") == milliseconds(250));
  CHECK(parse("86400") == UpstreamPause::kMaxPause);
  CHECK(parse(std::string(400, '9')) == UpstreamPause::kMaxPause);
  for (const char* text : {"", "0", "0.0", "-1", "soon", ".", "1.2.3", "1e3", "nan", "inf", "+1",
                           " 1", "0x10", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    INFO(text);
    CHECK_FALSE(parse(text).has_value());
  }
}

// Guards against requests of any kind that reach an upstream during the pause that it asked for.
TEST_CASE("a paused upstream gets no calls and no probes", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  fixture.Apply();
  fixture.At("a").pause().Start(seconds(3), fixture.now);
  // A shorter pause does not end the present one.
  fixture.At("a").pause().Start(milliseconds(100), fixture.now);
  fixture.now += milliseconds(2999);
  CHECK(fixture.PickId() == "b");
  CHECK(fixture.balancer.PossiblyFreeUpstreams(ServiceName("s"), fixture.now).size() == 1);
  fixture.At("a").MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, fixture.now);
  CHECK(fixture.balancer.DueProbes(fixture.now).empty());
  fixture.now += milliseconds(1);
  CHECK(fixture.balancer.DueProbes(fixture.now).size() == 1);
}

// Guards against a share of a paused upstream that overloads the others.
TEST_CASE("the calls of a paused upstream fill the others only up to their slots", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  fixture.Apply();
  fixture.At("a").pause().Start(seconds(3), fixture.now);
  for (int i = 0; i < 4; ++i) {
    const auto pick = fixture.Pick();
    REQUIRE(pick.upstream != nullptr);
    fixture.balancer.RecordStart(pick.upstream.get(), fixture.now);
  }
  CHECK(fixture.At("b").in_flight() == 4);
  CHECK(fixture.Pick().failure == LoadBalancer::PickFailure::kFull);
}

// Guards against all calls that return to an upstream at the moment at which its pause ends.
TEST_CASE("calls return gradually after a pause", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Apply();
  fixture.At("a").pause().Start(seconds(3), fixture.now);
  const auto count_started = [&fixture] {
    int started = 0;
    for (auto pick = fixture.Pick(); pick.upstream != nullptr; pick = fixture.Pick()) {
      fixture.balancer.RecordStart(pick.upstream.get(), fixture.now);
      ++started;
    }
    return started;
  };
  CHECK(count_started() == 0);
  fixture.now += seconds(3);
  CHECK(count_started() == 1);
  fixture.now += UpstreamPause::kReturnTime / 2;
  CHECK(count_started() == 2);
  fixture.now += UpstreamPause::kReturnTime / 2;
  CHECK(count_started() == 1);
  CHECK(fixture.At("a").in_flight() == 4);
}

// Guards against calls that are held back after a refusal that asks for no pause.
TEST_CASE("a pause of no length leaves the calls of the upstream as they are", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Apply();
  fixture.At("a").pause().Start(Duration::zero(), fixture.now);
  for (int i = 0; i < 4; ++i) {
    const auto pick = fixture.Pick();
    REQUIRE(pick.upstream != nullptr);
    fixture.balancer.RecordStart(pick.upstream.get(), fixture.now);
  }
}

// Guards against upstreams of a returned data centre that are not probed because a paused upstream
// counts as available.
TEST_CASE("a returned data centre is probed while the only other upstream is paused", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b", "there");
  fixture.data_centres_out = {DataCentre("there")};
  fixture.Apply();
  fixture.data_centres_out.clear();
  fixture.Apply();
  CHECK(fixture.PickId() == "a");
  CHECK(fixture.balancer.DueProbes(fixture.now).empty());
  fixture.At("a").pause().Start(seconds(3), fixture.now);
  const auto due = fixture.balancer.DueProbes(fixture.now);
  REQUIRE(due.size() == 1);
  CHECK(due[0]->record().id == UpstreamId("b"));
}

// Guards against a pause that a changed entry ends, or that binds a new process.
TEST_CASE("a pause holds for the process that asked for it", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a").started_ms = 5;
  fixture.Apply();
  fixture.At("a").pause().Start(seconds(3), fixture.now);
  fixture.records[0].slots = 8;
  fixture.Apply();
  CHECK(fixture.PickId().empty());
  fixture.records[0].started_ms = 6;
  fixture.Apply();
  CHECK(fixture.PickId() == "a");
}

TEST_CASE("the end of the pauses is known when all usable upstreams are paused", "[balance]") {
  BalanceFixture fixture;
  fixture.Add("a");
  fixture.Add("b");
  fixture.Add("c").state = ListedState::kLeaving;
  fixture.Apply();
  const ServiceName service("s");
  CHECK_FALSE(fixture.balancer.EndOfPauses(service, fixture.now).has_value());
  fixture.At("a").pause().Start(seconds(3), fixture.now);
  CHECK_FALSE(fixture.balancer.EndOfPauses(service, fixture.now).has_value());
  fixture.At("b").pause().Start(seconds(2), fixture.now);
  CHECK(fixture.balancer.EndOfPauses(service, fixture.now) == fixture.now + seconds(2));
  CHECK_FALSE(fixture.balancer.EndOfPauses(ServiceName("none"), fixture.now).has_value());
  // A caller is told the time that is left, although it may not wait that long.
  CHECK(RetryPolicy::RetryAfterPause(seconds(2), 0) == seconds(2));
  CHECK(RetryPolicy::RetryAfterPause(seconds(2), 0.99) <= seconds(2) + RetryPolicy::kNoRoomJitter);
}

}  // namespace
}  // namespace primroseweir
