#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/limits/crash_guard.h"
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

constexpr std::uint64_t kCrashingRequest = 1;
constexpr int kInstances = 5;
constexpr int kUpstreams = 12;

// A fleet that executes calls in rounds. All calls of a round are in flight together, and an
// upstream that executes the crashing request loses all its calls. Strikes reach the peers at the
// end of the round.
class CrashingFleet {
 public:
  explicit CrashingFleet(std::uint64_t seed) : fleet_(kInstances, 2 * kInstances), random_(seed) {
    std::vector<UpstreamRecord> records;
    for (int i = 0; i < kUpstreams; ++i) records.push_back(MakeRecord("u-" + std::to_string(i)));
    fleet_.Apply(MakeSnapshot(records), now_);
    for (int i = 0; i < kInstances; ++i) {
      for (const auto& state : fleet_[i].Upstreams()) state->window().Merge(Epoch(1), 6, now_);
    }
    fleet_.UpdateLiveSeats(now_);
    fleet_.Gossip(now_);
    for (int i = 0; i < kInstances; ++i) {
      fleet_[i].crash_guard().SetSender([this](const CrashStrike& s) { strikes_.push_back(s); });
    }
  }

  // Sends each request through a random instance. Returns the requests that must be sent again:
  // those that were lost or found no upstream in this round. Records refused requests.
  std::set<std::uint64_t> RunRound(const std::set<std::uint64_t>& requests) {
    std::vector<Attempt> attempts;
    std::set<std::uint64_t> to_resend;
    for (const std::uint64_t request : requests) {
      Router& router = fleet_[random_.UniformBelow(kInstances)];
      auto lease = router.TryAcquire(MakeRequest(now_ + seconds(1), request), now_);
      if (lease.ok()) {
        attempts.push_back({request, &router, std::move(*lease)});
      } else if (lease.status().code() == absl::StatusCode::kFailedPrecondition) {
        refused_.insert(request);
      } else {
        to_resend.insert(request);
      }
    }
    const std::set<UpstreamId> crashed = CollectCrashed(attempts);
    now_ += milliseconds(5);
    for (Attempt& attempt : attempts) FinishAttempt(&attempt, crashed, &to_resend);
    DistributeStrikes();
    return to_resend;
  }

  const std::set<std::uint64_t>& refused() const { return refused_; }
  const std::set<UpstreamId>& all_crashed() const { return all_crashed_; }

 private:
  struct Attempt {
    std::uint64_t request;
    Router* router;
    UpstreamLease lease;
  };

  std::set<UpstreamId> CollectCrashed(const std::vector<Attempt>& attempts) {
    std::set<UpstreamId> crashed;
    for (const Attempt& attempt : attempts) {
      if (attempt.request == kCrashingRequest) crashed.insert(attempt.lease.record().id);
    }
    all_crashed_.insert(crashed.begin(), crashed.end());
    return crashed;
  }

  void FinishAttempt(Attempt* attempt, const std::set<UpstreamId>& crashed,
                     std::set<std::uint64_t>* to_resend) {
    const UpstreamId id = attempt->lease.record().id;
    if (crashed.count(id) == 0) {
      attempt->lease.Finish(Answered(milliseconds(5)), now_);
      return;
    }
    attempt->router->crash_guard().AddStrike(attempt->request, id, now_);
    attempt->lease.Finish(Ended(AttemptEnd::kConnectionLost), now_);
    to_resend->insert(attempt->request);
  }

  void DistributeStrikes() {
    for (int i = 0; i < kInstances; ++i) fleet_[i].crash_guard().Merge(strikes_, now_);
    strikes_.clear();
  }

  Instant now_ = Instant{} + seconds(100);
  RouterFleet fleet_;
  Random random_;
  std::vector<CrashStrike> strikes_;
  std::set<std::uint64_t> refused_;
  std::set<UpstreamId> all_crashed_;
};

// Guards against a request that crashes one upstream after another because its caller sends it
// again through other instances, and against the quarantine of requests that were in flight beside
// it.
TEST_CASE("a crashing request is refused and the requests beside it are not", "[not-run]") {
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    CrashingFleet fleet(seed);
    std::set<std::uint64_t> harmless;
    for (std::uint64_t request = 2; request < 30; ++request) harmless.insert(request);
    std::set<std::uint64_t> unfinished = harmless;
    unfinished.insert(kCrashingRequest);
    for (int round = 0; round < 60; ++round) {
      unfinished = fleet.RunRound(unfinished);
      // The caller of the crashing request retries in every round.
      unfinished.insert(kCrashingRequest);
    }
    CHECK(fleet.all_crashed().size() <= 2);
    CHECK(fleet.refused() == std::set<std::uint64_t>{kCrashingRequest});
    CHECK(unfinished == std::set<std::uint64_t>{kCrashingRequest});
  }
}

// Guards against a suspect that is executed twice at the same time at one instance.
TEST_CASE("a request with a strike is executed once at a time", "[not-run]") {
  RouterFleet fleet(1, 2);
  const Instant now = Instant{} + seconds(100);
  fleet.Apply(MakeSnapshot({MakeRecord("a"), MakeRecord("b"), MakeRecord("c")}), now);
  for (const auto& state : fleet[0].Upstreams()) state->window().Merge(Epoch(1), 6, now);
  fleet.UpdateLiveSeats(now);
  fleet[0].crash_guard().AddStrike(7, UpstreamId("a"), now);
  fleet[0].Merge(fleet[0].Observations(now), now);
  auto first = fleet[0].TryAcquire(MakeRequest(now + seconds(1), 7), now);
  REQUIRE(first.ok());
  CHECK(first->record().id != UpstreamId("a"));
  CHECK_FALSE(fleet[0].TryAcquire(MakeRequest(now + seconds(1), 7), now).ok());
  CHECK(fleet[0].TryAcquire(MakeRequest(now + seconds(1), 8), now).ok());
  first->Finish(Answered(milliseconds(1)), now);
  CHECK(fleet[0].TryAcquire(MakeRequest(now + seconds(1), 7), now).ok());
}

}  // namespace
}  // namespace primroseweir
