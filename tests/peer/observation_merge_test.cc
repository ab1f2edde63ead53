#include "primroseweir/peer/observation_merge.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <tuple>
#include <vector>

#include "support/property.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;

// Generates observations from small ranges, so that equal epochs, windows and ages are frequent.
UpstreamObservation ArbitraryObservation() {
  UpstreamObservation observation;
  observation.id = UpstreamId("ib-1");
  observation.epoch = Epoch(*rc::gen::inRange<std::uint64_t>(0, 4));
  observation.window = *rc::gen::inRange<std::uint32_t>(1, 5);
  observation.leaving = *rc::gen::arbitrary<bool>();
  if (*rc::gen::arbitrary<bool>()) {
    observation.report =
        LoadReport{*rc::gen::inRange<std::uint32_t>(0, 3), milliseconds(*rc::gen::inRange(0, 3)),
                   milliseconds(*rc::gen::inRange(0, 3))};
  }
  return observation;
}

auto Fields(const UpstreamObservation& o) {
  const LoadReport report = o.report.value_or(LoadReport{});
  return std::make_tuple(o.id, o.epoch, o.window, o.leaving, o.report.has_value(), report.in_flight,
                         report.latency, report.age);
}

// Reference implementation: applies the merge rules to the whole set at once instead of in pairs.
UpstreamObservation ReferenceMerge(const std::vector<UpstreamObservation>& all) {
  UpstreamObservation merged;
  merged.id = all.front().id;
  for (const auto& o : all) merged.epoch = std::max(merged.epoch, o.epoch);
  for (const auto& o : all) {
    if (o.epoch != merged.epoch) continue;
    merged.window = std::max(merged.window, o.window);
    merged.leaving = merged.leaving || o.leaving;
  }
  std::vector<LoadReport> reports;
  for (const auto& o : all) {
    if (o.report) reports.push_back(*o.report);
  }
  std::sort(reports.begin(), reports.end(), [](const LoadReport& a, const LoadReport& b) {
    if (a.age != b.age) return a.age < b.age;
    if (a.in_flight != b.in_flight) return a.in_flight > b.in_flight;
    return a.latency > b.latency;
  });
  if (!reports.empty()) merged.report = reports.front();
  return merged;
}

// Guards against instances that received the same observations but hold different windows.
TEST_CASE("merging observations is commutative, associative and idempotent", "[cold-start]") {
  CHECK(CheckProperty("commutative", [] {
    const auto a = ArbitraryObservation();
    const auto b = ArbitraryObservation();
    RC_ASSERT(Fields(MergeObservations(a, b)) == Fields(MergeObservations(b, a)));
  }));
  CHECK(CheckProperty("associative", [] {
    const auto a = ArbitraryObservation();
    const auto b = ArbitraryObservation();
    const auto c = ArbitraryObservation();
    RC_ASSERT(Fields(MergeObservations(MergeObservations(a, b), c)) ==
              Fields(MergeObservations(a, MergeObservations(b, c))));
  }));
  CHECK(CheckProperty("idempotent", [] {
    const auto a = ArbitraryObservation();
    const auto b = ArbitraryObservation();
    const auto merged = MergeObservations(a, b);
    RC_ASSERT(Fields(MergeObservations(merged, a)) == Fields(merged));
    RC_ASSERT(Fields(MergeObservations(merged, merged)) == Fields(merged));
  }));
}

// Guards against a window of an earlier epoch that is carried over into a later one, which would
// send a cold upstream the load of a warm one.
TEST_CASE("pairwise merging gives the same result as merging the whole set at once",
          "[cold-start]") {
  CHECK(CheckProperty("same as the reference merge", [] {
    const int count = *rc::gen::inRange(1, 8);
    std::vector<UpstreamObservation> all;
    for (int i = 0; i < count; ++i) all.push_back(ArbitraryObservation());
    UpstreamObservation merged = all.front();
    for (const auto& observation : all) merged = MergeObservations(merged, observation);
    RC_ASSERT(Fields(merged) == Fields(ReferenceMerge(all)));
  }));
}

}  // namespace
}  // namespace primroseweir
