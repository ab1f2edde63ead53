#include "primroseweir/routing/load_balancing_policy.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/routing/detail/load_estimate.h"
#include "primroseweir/routing/slot_ownership.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<Candidate> EqualCandidates(std::size_t count) {
  std::vector<Candidate> candidates(count);
  for (std::size_t i = 0; i < count; ++i) {
    candidates[i].index = static_cast<std::uint32_t>(i);
    candidates[i].slots = 6;
    candidates[i].latency = milliseconds(8);
  }
  return candidates;
}

// Guards against a policy that returns a position outside the candidates.
TEST_CASE("every policy picks one of the candidates") {
  Random random(7);
  for (const std::string& name : LoadBalancingPolicyNames()) {
    const auto policy = MakeLoadBalancingPolicy(name);
    REQUIRE(policy != nullptr);
    CHECK(policy->name() == name);
    for (std::size_t count = 1; count <= 8; ++count) {
      for (int round = 0; round < 50; ++round) {
        CHECK(policy->Pick(EqualCandidates(count), &random, Instant()) < count);
      }
    }
  }
  CHECK(MakeLoadBalancingPolicy("unknown") == nullptr);
}

// Guards against collisions with other instances while this instance has a free owned slot.
TEST_CASE("owned-and-fast picks an upstream with a free owned slot first") {
  Random random(7);
  auto candidates = EqualCandidates(5);
  candidates[3].owned_slots = 2;
  candidates[3].local_in_flight = 1;
  const auto policy = MakeLoadBalancingPolicy("owned-and-fast");
  for (int round = 0; round < 20; ++round) {
    CHECK(policy->Pick(candidates, &random, Instant()) == 3);
  }
  candidates[3].local_in_flight = 2;
  CHECK(policy->Pick(candidates, &random, Instant()) != 3);
}

// Guards against calls that wait at a straggler because this instance owns slots there.
TEST_CASE("owned slots of a slow upstream are avoided until its latency is old") {
  Random random(7);
  auto candidates = EqualCandidates(5);
  candidates[3].owned_slots = 2;
  candidates[3].latency = milliseconds(40);
  const auto policy = MakeLoadBalancingPolicy("owned-and-fast");
  CHECK(policy->Pick(candidates, &random, Instant()) != 3);
  candidates[3].latency_age = seconds(10);
  CHECK(policy->Pick(candidates, &random, Instant()) == 3);
}

// Guards against a slot with two owners and against a slot without any.
TEST_CASE("slot ownership divides all slots evenly among the live seats") {
  std::vector<OwnableUpstream> upstreams;
  for (int i = 0; i < 20; ++i) upstreams.push_back({UpstreamId("u" + std::to_string(i)), 6});
  const std::set<Seat> seats = {Seat(0), Seat(3), Seat(4), Seat(9), Seat(11), Seat(20), Seat(33)};
  std::vector<std::uint32_t> total(upstreams.size(), 0);
  for (const Seat seat : seats) {
    const auto owned = OwnedSlots(upstreams, seats, seat);
    std::uint32_t own = 0;
    for (std::size_t i = 0; i < owned.size(); ++i) {
      total[i] += owned[i];
      own += owned[i];
    }
    CHECK(own >= 120 / seats.size());
    CHECK(own <= 120 / seats.size() + 1);
  }
  for (const std::uint32_t slots : total) CHECK(slots == 6);
  for (const std::uint32_t slots : OwnedSlots(upstreams, seats, Seat(1))) CHECK(slots == 0);
}

// Guards against an old report that outweighs the counts of this instance.
TEST_CASE("the load estimate decays towards the mean as the report ages") {
  auto candidates = EqualCandidates(2);
  candidates[0].has_report = true;
  candidates[0].reported_in_flight = 12;
  candidates[1].has_report = true;
  const double mean = detail::MeanOthersPerSlot(candidates);
  CHECK(mean == Approx(1.0));
  CHECK(detail::EstimatedInFlight(candidates[0], mean) == Approx(12.0));
  candidates[0].report_age = seconds(2);
  CHECK(detail::EstimatedInFlight(candidates[0], mean) == Approx(6.0).margin(0.01));
}

}  // namespace
}  // namespace primroseweir
