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

EndedCall Call(AttemptEnd outcome, Duration elapsed, double per_slot = 0,
               bool is_window_open = true) {
  return {outcome, elapsed, per_slot, 3, is_window_open};
}

void RecordNormalResponses(CollapseDetector* detector, Instant now) {
  for (int i = 0; i < 50; ++i) {
    detector->Observe(Call(AttemptEnd::kResponded, milliseconds(10)), now);
  }
}

// Guards against warm upstreams that overload alone resets to window 1: a full upstream refuses
// calls, and a queue delays responses.
TEST_CASE("overload is not detected as a collapse", "[cold-start]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    CollapseDetector detector;
    Instant now{};
    RecordNormalResponses(&detector, now);
    for (int i = 0; i < 20'000; ++i) {
      now += milliseconds(random.UniformBelow(5));
      // The offered load is four times the capacity; a full upstream with a queue of two calls per
      // slot refuses the rest. Half of the reports are too old to count.
      const bool refused = random.UniformBelow(4) > 0;
      const bool reported = random.UniformBelow(2) == 0;
      const Detection detection = detector.Observe(
          refused
              ? Call(AttemptEnd::kRefused, milliseconds(1), 3.0)
              : Call(AttemptEnd::kResponded, milliseconds(reported ? 30 : 20), reported ? 3 : 0),
          now);
      REQUIRE(detection != Detection::kCollapse);
    }
  }
}

// Guards against a long queue that is taken for a collapse: with six calls per slot a response
// takes six times as long.
TEST_CASE("slow responses in proportion to the queue that the upstream reports are normal",
          "[cold-start]") {
  CollapseDetector detector;
  RecordNormalResponses(&detector, Instant{});
  for (int i = 0; i < 50; ++i) {
    const Instant now = Instant{} + seconds(1) + milliseconds(i);
    REQUIRE(detector.Observe(Call(AttemptEnd::kResponded, milliseconds(60), 6.0), now) ==
            Detection::kNormal);
  }
}

// Guards against a warm upstream that turned cold without a crash and still receives full load.
TEST_CASE("an upstream that turns cold is detected within 10 calls", "[cold-start]") {
  for (const AttemptEnd outcome :
       {AttemptEnd::kResponded, AttemptEnd::kTimedOut, AttemptEnd::kCancelled}) {
    CollapseDetector detector;
    Instant now{};
    RecordNormalResponses(&detector, now);
    now += seconds(1);
    int calls = 0;
    while (detector.Observe(Call(outcome, milliseconds(100), 1.0), now) != Detection::kCollapse) {
      now += milliseconds(5);
      REQUIRE(++calls < 10);
    }
  }
  CollapseDetector refusing;
  RecordNormalResponses(&refusing, Instant{});
  int refusals = 0;
  // The upstream refuses calls although it reports free slots.
  while (refusing.Observe(Call(AttemptEnd::kRefused, milliseconds(1), 0.2),
                          Instant{} + seconds(1)) != Detection::kCollapse) {
    REQUIRE(++refusals < 10);
  }
}

// Guards against a crash that is taken for a closed idle connection, and the reverse.
TEST_CASE("a crash is distinguished from a single lost connection", "[cold-start]") {
  CollapseDetector detector;
  Instant now{};
  RecordNormalResponses(&detector, now);
  CHECK(detector.Observe(Call(AttemptEnd::kConnectFailed, milliseconds(1)), now) ==
        Detection::kCollapse);
  now += seconds(1);
  CHECK(detector.Observe(Call(AttemptEnd::kConnectionLost, milliseconds(1)), now) ==
        Detection::kNone);
  CHECK(detector.Observe(Call(AttemptEnd::kResponded, milliseconds(10)), now) ==
        Detection::kNormal);
  CHECK(detector.Observe(Call(AttemptEnd::kConnectionLost, milliseconds(1)), now) ==
        Detection::kNone);
  CHECK(detector.Observe(Call(AttemptEnd::kConnectionLost, milliseconds(1)), now) ==
        Detection::kCollapse);
}

// Guards against an upstream that stays at window 1 because a new version is permanently slower.
TEST_CASE("the latency of a cold upstream that is permanently slower becomes normal",
          "[cold-start]") {
  CollapseDetector detector;
  Instant now{};
  RecordNormalResponses(&detector, now);
  int calls = 0;
  while (detector.Observe(Call(AttemptEnd::kResponded, milliseconds(500), 0, false), now) !=
         Detection::kNormal) {
    now += milliseconds(500);
    REQUIRE(++calls < 30);
  }
}

// Reference model: keeps the newest report and all counts.
struct NaiveReports {
  struct Sample {
    Instant at;
    std::uint32_t sent;
    std::uint32_t ended;
  };
  std::vector<Sample> samples;
  std::optional<KnownReport> newest;

  void StoreIfNewer(std::uint32_t in_flight, Instant written_at, Sample at_report) {
    if (newest && written_at <= newest->written_at) return;
    newest = KnownReport{in_flight, Duration{}, written_at, at_report.sent, at_report.ended};
  }
};

// Guards against an older report that replaces a newer one, and against counts that are later than
// the report, so that calls since the report are missed. The counts may be those of up to one
// sample earlier.
TEST_CASE("the newest report is kept with the counts at the time it was written") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    ReportCell cell;
    NaiveReports naive;
    std::uint32_t sent = 0;
    std::uint32_t ended = 0;
    Instant now = Instant{} + seconds(10);
    for (int step = 0; step < 3000; ++step) {
      now += milliseconds(random.UniformBelow(10));
      cell.RecordCounts(sent, ended, now);
      if (ended < sent && random.UniformBelow(2) == 0) {
        ++ended;
      } else {
        ++sent;
      }
      naive.samples.push_back({now, sent, ended});
      if (random.UniformBelow(4) != 0) continue;
      const Duration age = milliseconds(random.UniformBelow(2) == 0 ? 0 : random.UniformBelow(150));
      const auto load = static_cast<std::uint32_t>(random.UniformBelow(20));
      const auto at_written = std::find_if(naive.samples.rbegin(), naive.samples.rend(),
                                           [&](const auto& s) { return s.at <= now - age; });
      if (at_written == naive.samples.rend()) continue;
      cell.StoreIfNewer({load, Duration{}, age}, sent, ended, now);
      naive.StoreIfNewer(load, now - age, *at_written);
      const auto known = cell.Get();
      REQUIRE(known.has_value());
      REQUIRE(known->written_at == naive.newest->written_at);
      REQUIRE(known->in_flight == naive.newest->in_flight);
      // A sample is at most 20 ms and one step of 10 ms old, with at most one call per step.
      REQUIRE(known->sent <= naive.newest->sent + 5);
      REQUIRE(known->sent + 35 >= naive.newest->sent);
    }
  }
}

UpstreamState::SeatFleet SingleSeatFleet() { return {Seat(0), 1, nullptr}; }

// Guards against a leaving mark that is removed before the list changes, because peers report the
// upstream as live.
TEST_CASE("a leaving mark of the upstream itself outlasts observations of peers",
          "[upstream-leaving]") {
  Instant now{};
  UpstreamState state(MakeRecord("a"), SingleSeatFleet(), now);
  state.MarkLeaving(now);
  UpstreamObservation peer_observation;
  peer_observation.id = UpstreamId("a");
  peer_observation.epoch = Epoch(100);
  peer_observation.window = 6;
  state.Merge(peer_observation, now);
  CHECK(state.is_leaving());
  CHECK(state.Observation(now).leaving);
  CHECK(state.Observation(now).window == 1);
}

// Guards against a newly listed upstream that is kept out of use by a peer's leaving mark of the
// old process.
TEST_CASE("a peer's leaving mark of an older epoch is ignored", "[upstream-leaving]") {
  Instant now{};
  UpstreamState old_process(MakeRecord("a"), SingleSeatFleet(), now);
  old_process.MarkLeaving(now);
  const UpstreamObservation mark = old_process.Observation(now);
  UpstreamState other(MakeRecord("a"), SingleSeatFleet(), now);
  other.Merge(mark, now);
  CHECK(other.is_leaving());
  UpstreamState new_process(MakeRecord("a"), SingleSeatFleet(), now);
  new_process.window().Merge(mark.epoch.Next(), 1, now);
  new_process.Merge(mark, now);
  CHECK_FALSE(new_process.is_leaving());
  // The peer with the mark merges the new epoch, but its mark keeps the old epoch.
  old_process.Merge(new_process.Observation(now), now);
  new_process.Merge(old_process.Observation(now), now);
  CHECK_FALSE(new_process.is_leaving());
}

// Guards against results of calls from before a collapse that reset the window again.
TEST_CASE("calls from before the last change begin no further epoch", "[cold-start]") {
  Instant now = Instant{} + seconds(1);
  UpstreamState state(MakeRecord("a"), SingleSeatFleet(), now);
  state.window().Merge(Epoch(1), 6, now);
  for (int i = 0; i < 6; ++i) REQUIRE(state.TryStart(6, now));
  const Instant started = now;
  now += milliseconds(10);
  CHECK(state.End(Ended(AttemptEnd::kConnectFailed), started, now) ==
        UpstreamState::Effect::kCollapsed);
  const Epoch epoch_after_collapse = state.window().epoch_window().epoch;
  for (int i = 0; i < 5; ++i) state.End(Ended(AttemptEnd::kConnectionLost), started, now);
  CHECK(state.window().epoch_window().epoch == epoch_after_collapse);
}

// Guards against windows that open although they are not used: a few calls give no evidence about
// full load.
TEST_CASE("a window grows only when its share is fully used", "[cold-start]") {
  Instant now{};
  UpstreamState state(MakeRecord("a"), SingleSeatFleet(), now);
  for (int i = 0; i < 20; ++i) {
    now += milliseconds(200);
    REQUIRE(state.TryStart(1, now));
    state.End(Answered(milliseconds(2)), now, now + milliseconds(2));
  }
  CHECK(state.window().epoch_window().window == 2);
}

}  // namespace
}  // namespace primroseweir
