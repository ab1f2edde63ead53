#include "primroseweir/upstream/upstream_state.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/upstream/collapse_detector.h"
#include "primroseweir/upstream/report_cell.h"
#include "support/routing_fakes.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Answered;
using test::Ended;
using test::MakeRecord;
using Detection = CollapseDetector::Detection;

EndedCall Call(AttemptOutcome end, Duration elapsed, double per_slot = 0, bool open = true) {
  return {end, elapsed, per_slot, 3, open};
}

void Learn(CollapseDetector* detector, Instant now) {
  for (int i = 0; i < 50; ++i) {
    detector->Observe(Call(AttemptOutcome::kAnswered, milliseconds(10)), now);
  }
}

// Guards against warm upstreams that are sent back to window 1 by plain overload: refusals of a
// full upstream, and answers that a queue lengthens.
TEST_CASE("overload is not taken for a cold start", "[cold-start]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    CollapseDetector detector;
    Instant now{};
    Learn(&detector, now);
    for (int i = 0; i < 20'000; ++i) {
      now += milliseconds(random.Below(5));
      // Four times the capacity is offered; a full upstream with a queue of two per slot refuses
      // the rest. Half of the reports are too old to count.
      const bool refused = random.Below(4) > 0;
      const bool reported = random.Below(2) == 0;
      const Detection detection = detector.Observe(
          refused
              ? Call(AttemptOutcome::kRefused, milliseconds(1), 3.0)
              : Call(AttemptOutcome::kAnswered, milliseconds(reported ? 30 : 20), reported ? 3 : 0),
          now);
      REQUIRE(detection != Detection::kCollapse);
    }
  }
}

// Guards against a long queue that is taken for a cold start: with six calls per slot an answer
// takes six times as long.
TEST_CASE("a queue that the upstream reports explains slow answers", "[cold-start]") {
  CollapseDetector detector;
  Learn(&detector, Instant{});
  for (int i = 0; i < 50; ++i) {
    const Instant now = Instant{} + seconds(1) + milliseconds(i);
    REQUIRE(detector.Observe(Call(AttemptOutcome::kAnswered, milliseconds(60), 6.0), now) ==
            Detection::kNormal);
  }
}

// Guards against a warm upstream that turned cold with no signal and keeps getting full load.
TEST_CASE("an upstream that turns cold is found", "[cold-start]") {
  for (const AttemptOutcome end :
       {AttemptOutcome::kAnswered, AttemptOutcome::kTimedOut, AttemptOutcome::kCancelled}) {
    CollapseDetector detector;
    Instant now{};
    Learn(&detector, now);
    now += seconds(1);
    int calls = 0;
    while (detector.Observe(Call(end, milliseconds(100), 1.0), now) != Detection::kCollapse) {
      now += milliseconds(5);
      REQUIRE(++calls < 10);
    }
  }
  CollapseDetector idle;
  Learn(&idle, Instant{});
  int refusals = 0;
  // It refuses although it reports free slots.
  while (idle.Observe(Call(AttemptOutcome::kRefused, milliseconds(1), 0.2),
                      Instant{} + seconds(1)) != Detection::kCollapse) {
    REQUIRE(++refusals < 10);
  }
}

// Guards against a crash that is taken for a closed idle connection, and the reverse.
TEST_CASE("crashes are told from single lost connections", "[cold-start]") {
  CollapseDetector detector;
  Instant now{};
  Learn(&detector, now);
  CHECK(detector.Observe(Call(AttemptOutcome::kConnectFailed, milliseconds(1)), now) ==
        Detection::kCollapse);
  now += seconds(1);
  CHECK(detector.Observe(Call(AttemptOutcome::kConnectionLost, milliseconds(1)), now) ==
        Detection::kNone);
  CHECK(detector.Observe(Call(AttemptOutcome::kAnswered, milliseconds(10)), now) ==
        Detection::kNormal);
  CHECK(detector.Observe(Call(AttemptOutcome::kConnectionLost, milliseconds(1)), now) ==
        Detection::kNone);
  CHECK(detector.Observe(Call(AttemptOutcome::kConnectionLost, milliseconds(1)), now) ==
        Detection::kCollapse);
}

// Guards against a slower version of an upstream that stays at window 1 for ever.
TEST_CASE("a cold upstream that is slower for good becomes normal", "[cold-start]") {
  CollapseDetector detector;
  Instant now{};
  Learn(&detector, now);
  int calls = 0;
  while (detector.Observe(Call(AttemptOutcome::kAnswered, milliseconds(500), 0, false), now) !=
         Detection::kNormal) {
    now += milliseconds(500);
    REQUIRE(++calls < 30);
  }
}

// Reports and counts with the whole history kept.
struct NaiveReports {
  struct Sample {
    Instant at;
    std::uint32_t sent;
    std::uint32_t ended;
  };
  std::vector<Sample> samples;
  std::optional<KnownReport> best;

  void Offer(std::uint32_t in_flight, Instant written_at, Sample at_report) {
    if (best && written_at <= best->written_at) return;
    best = KnownReport{in_flight, Duration{}, written_at, at_report.sent, at_report.ended};
  }
};

// Guards against an older report that replaces a newer one, and against counts since the report
// that miss calls: the counts may be those of up to one sample earlier, never of later.
TEST_CASE("the newest report is kept with the counts of its time") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    ReportCell cell;
    NaiveReports naive;
    std::uint32_t sent = 0;
    std::uint32_t ended = 0;
    Instant now = Instant{} + seconds(10);
    for (int step = 0; step < 3000; ++step) {
      now += milliseconds(random.Below(10));
      cell.Sample(sent, ended, now);
      if (ended < sent && random.Below(2) == 0) {
        ++ended;
      } else {
        ++sent;
      }
      naive.samples.push_back({now, sent, ended});
      if (random.Below(4) != 0) continue;
      const Duration age = milliseconds(random.Below(2) == 0 ? 0 : random.Below(150));
      const auto load = static_cast<std::uint32_t>(random.Below(20));
      const auto place = std::find_if(naive.samples.rbegin(), naive.samples.rend(),
                                      [&](const auto& s) { return s.at <= now - age; });
      if (place == naive.samples.rend()) continue;
      cell.Offer({load, Duration{}, age}, sent, ended, now);
      naive.Offer(load, now - age, *place);
      const auto known = cell.Get();
      REQUIRE(known.has_value());
      REQUIRE(known->written_at == naive.best->written_at);
      REQUIRE(known->in_flight == naive.best->in_flight);
      // One sample is at most 20 ms and one step of 10 ms old, with one call per step.
      REQUIRE(known->sent <= naive.best->sent + 5);
      REQUIRE(known->sent + 35 >= naive.best->sent);
    }
  }
}

UpstreamState::Fleet Alone() { return {Seat(0), 1, nullptr}; }

// Guards against a leaving mark that reverts before the list changes, whatever the peers say.
TEST_CASE("the upstream's own word outlasts the peers' opinion", "[upstream-leaving]") {
  Instant now{};
  UpstreamState state(MakeRecord("a"), Alone(), now);
  state.MarkLeaving(now);
  UpstreamObservation live;
  live.id = UpstreamId("a");
  live.epoch = Epoch(100);
  live.window = 6;
  state.Merge(live, now);
  CHECK(state.leaving());
  CHECK(state.Observation(now).leaving);
  CHECK(state.Observation(now).window == 1);
}

// Guards against a newly listed upstream that a peer's mark of the old process keeps out of use.
TEST_CASE("a peer's mark of an older epoch is ignored", "[upstream-leaving]") {
  Instant now{};
  UpstreamState old_process(MakeRecord("a"), Alone(), now);
  old_process.MarkLeaving(now);
  const UpstreamObservation mark = old_process.Observation(now);
  UpstreamState other(MakeRecord("a"), Alone(), now);
  other.Merge(mark, now);
  CHECK(other.leaving());
  UpstreamState new_process(MakeRecord("a"), Alone(), now);
  new_process.window().Merge(mark.epoch.Next(), 1, now);
  new_process.Merge(mark, now);
  CHECK_FALSE(new_process.leaving());
  // The peer that holds the mark merges the new epoch, but its mark stays one of the old epoch.
  old_process.Merge(new_process.Observation(now), now);
  new_process.Merge(old_process.Observation(now), now);
  CHECK_FALSE(new_process.leaving());
}

// Guards against late results from before a collapse that raise the epoch again.
TEST_CASE("calls from before the last change raise no further epoch", "[cold-start]") {
  Instant now = Instant{} + seconds(1);
  UpstreamState state(MakeRecord("a"), Alone(), now);
  state.window().Merge(Epoch(1), 6, now);
  for (int i = 0; i < 6; ++i) REQUIRE(state.TryStart(6, now));
  const Instant started = now;
  now += milliseconds(10);
  CHECK(state.End(Ended(AttemptOutcome::kConnectFailed), started, now) ==
        UpstreamState::Effect::kCollapsed);
  const Epoch raised = state.window().pair().epoch;
  for (int i = 0; i < 5; ++i) state.End(Ended(AttemptOutcome::kConnectionLost), started, now);
  CHECK(state.window().pair().epoch == raised);
}

// Guards against windows that open without being used: a trickle proves nothing about full load.
TEST_CASE("a window grows only when it is used", "[cold-start]") {
  Instant now{};
  UpstreamState state(MakeRecord("a"), Alone(), now);
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(200);
    REQUIRE(state.TryStart(1, now));
    state.End(Answered(milliseconds(2)), now, now + milliseconds(2));
  }
  CHECK(state.window().pair().window == 2);
}

}  // namespace
}  // namespace primroseweir
