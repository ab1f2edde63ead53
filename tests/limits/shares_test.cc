#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "primroseweir/base/random.h"
#include "primroseweir/limits/connection_share.h"
#include "primroseweir/limits/hedge_policy.h"
#include "primroseweir/limits/probe_budget.h"
#include "primroseweir/limits/retry_budget.h"

namespace primroseweir {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against shares that add up to more or less than the upstream's connections.
TEST_CASE("connection shares of all seats add up to the upstream's limit") {
  for (const std::uint64_t seats : {1U, 13U, 34U, 300U}) {
    for (const std::uint32_t connections : {0U, 1U, 7U, 220U, 260U}) {
      std::uint64_t sum = 0;
      std::uint32_t min_limit = UINT32_MAX;
      std::uint32_t max_limit = 0;
      for (std::uint64_t seat = 0; seat < seats; ++seat) {
        const ConnectionShare share("ib-1", Seat(seat), seats, connections);
        sum += share.limit();
        min_limit = std::min(min_limit, share.limit());
        max_limit = std::max(max_limit, share.limit());
      }
      CHECK(sum == connections);
      CHECK(max_limit - min_limit <= 1);
    }
  }
}

// Reference model: counts open connections and keeps the time of each unresponsive one.
struct NaiveShare {
  std::size_t limit;
  std::size_t open = 0;
  std::vector<Instant> unresponsive_since;

  std::size_t OpenCount(Instant now) const {
    const auto unresponsive_count = std::count_if(
        unresponsive_since.begin(), unresponsive_since.end(),
        [now](Instant since) { return now - since < ConnectionShare::kUnresponsiveHoldTime; });
    return open + static_cast<std::size_t>(unresponsive_count);
  }
};

// Guards against an unresponsive connection that is not counted for long enough: the upstream may
// still hold it open.
TEST_CASE("connection share agrees with a model that keeps a list") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    ConnectionShare share("ib-1", Seat(0), 1, 5);
    NaiveShare naive{5, 0, {}};
    Instant now{};
    for (int step = 0; step < 2000; ++step) {
      now += milliseconds(random.UniformBelow(8000));
      const std::uint64_t action = random.UniformBelow(4);
      if (action <= 1) {
        const bool allowed = naive.OpenCount(now) < naive.limit;
        REQUIRE(share.TryOpen(now) == allowed);
        if (allowed) ++naive.open;
      } else if (naive.open > 0 && action == 2) {
        share.Release();
        --naive.open;
      } else if (naive.open > 0) {
        share.ReleaseUnresponsive(now);
        --naive.open;
        naive.unresponsive_since.push_back(now);
      }
      REQUIRE(share.open_count(now) == naive.OpenCount(now));
    }
  }
}

// Reference model: a token bucket with a capacity of one token in floating point, which starts
// empty.
struct NaiveBucket {
  double rate;
  double tokens = 0;
  Instant last{};

  bool TryAcquire(Instant now) {
    const double elapsed = std::chrono::duration<double>(now - last).count();
    tokens = std::min(1.0, tokens + elapsed * rate);
    last = now;
    if (tokens < 1.0 - 1e-9) return false;
    tokens = 0;
    return true;
  }
};

// Guards against probes beyond the budget of one seat.
TEST_CASE("probe budget agrees with a floating-point token bucket", "[probe-budget]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    const std::uint32_t slots = 1 + static_cast<std::uint32_t>(random.UniformBelow(8));
    const std::uint64_t seats = 1 + random.UniformBelow(34);
    ProbeBudget budget({slots, milliseconds(6)}, seats, Instant{});
    NaiveBucket naive{0.01 * slots / 0.006 / static_cast<double>(seats)};
    Instant now{};
    for (int step = 0; step < 5000; ++step) {
      now += milliseconds(random.UniformBelow(300));
      REQUIRE(budget.TryAcquire(now) == naive.TryAcquire(now));
    }
  }
}

// Guards against a fleet that exceeds the budget because it has many seats, all seats restart at
// once, or seats are replaced one after the other (rolling replacement). The bound holds for all
// seats together: in a window of length W at most budget*W + seats probes. It needs no view of the
// membership, so a network partition does not change it.
TEST_CASE("the fleet's probes stay within the budget", "[probe-budget]") {
  constexpr std::uint64_t kSeats = 34;
  constexpr double kBudgetPerSecond = 0.01 * 6 / 0.006;
  for (const bool restarts : {false, true}) {
    Instant now{};
    std::vector<std::unique_ptr<ProbeBudget>> fleet(kSeats);
    const auto start_seat = [&](std::uint64_t seat) {
      const ProbeBudget::Upstream upstream{6, milliseconds(6)};
      fleet[seat] = std::make_unique<ProbeBudget>(upstream, kSeats, now);
    };
    for (std::uint64_t seat = 0; seat < kSeats; ++seat) start_seat(seat);
    std::deque<Instant> probes;
    std::size_t total = 0;
    Random random(7);
    for (int step = 0; step < 60'000; ++step) {
      now += milliseconds(1);
      if (restarts && step % 20'000 == 0) {
        for (std::uint64_t seat = 0; seat < kSeats; ++seat) start_seat(seat);
      }
      if (restarts && step % 100 == 0) start_seat(random.UniformBelow(kSeats));
      for (const auto& budget : fleet) {
        if (!budget->TryAcquire(now)) continue;
        probes.push_back(now);
        ++total;
      }
      while (!probes.empty() && now - probes.front() > seconds(1)) probes.pop_front();
      REQUIRE(static_cast<double>(probes.size()) <= kBudgetPerSecond + kSeats);
    }
    CHECK(static_cast<double>(total) <= kBudgetPerSecond * 60 + kSeats);
    // Restarts only reduce the number of probes; without them the budget is used.
    if (!restarts) CHECK(static_cast<double>(total) > 0.8 * kBudgetPerSecond * 60);
  }
}

// Guards against a fleet that probes all upstreams at the moment of its restart.
TEST_CASE("a restarted instance sends no probe before its first interval ends", "[probe-budget]") {
  ProbeBudget budget({6, milliseconds(6)}, 1, Instant{});
  CHECK_FALSE(budget.TryAcquire(Instant{}));
  CHECK_FALSE(budget.TryAcquire(Instant{} + milliseconds(99)));
  CHECK(budget.TryAcquire(Instant{} + milliseconds(100)));
  CHECK_FALSE(budget.TryAcquire(Instant{} + milliseconds(199)));
}

// Guards against probes of upstreams without a probe cost, whose budget can't be computed.
TEST_CASE("no probe is allowed for an upstream without a probe cost", "[probe-budget]") {
  ProbeBudget budget({6, Duration::zero()}, 1, Instant{});
  CHECK_FALSE(budget.TryAcquire(Instant{} + std::chrono::hours(1)));
}

// Guards against retries that multiply the load: at most a tenth of the first attempts, and at most
// 10 accumulated.
TEST_CASE("retry budget agrees with a model that counts tenths") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    RetryBudget budget;
    std::uint32_t tenths = 0;
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0;
    const std::uint64_t bias = 2 + random.UniformBelow(30);
    for (int step = 0; step < 20'000; ++step) {
      if (random.UniformBelow(bias) > 0) {
        budget.RecordFirstAttempt();
        tenths = std::min(tenths + 1, 100U);
        ++attempts;
      } else {
        const bool allowed = tenths >= 10;
        REQUIRE(budget.TryAcquire() == allowed);
        if (allowed) tenths -= 10;
        retries += allowed ? 1 : 0;
      }
      REQUIRE(budget.available() == tenths / 10);
      REQUIRE(retries * 10 <= attempts);
    }
  }
}

Duration NaivePercentile(std::vector<Duration> times, double percentile) {
  std::sort(times.begin(), times.end());
  const auto index = static_cast<std::size_t>(static_cast<double>(times.size()) * percentile);
  return times[std::min(index, times.size() - 1)];
}

// Guards against a hedge delay that is not the 90th percentile. The histogram may round up by one
// bucket (a quarter).
TEST_CASE("hedge delay agrees with the percentile of a sorted list") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    HedgePolicy policy;
    std::vector<Duration> times;
    for (int i = 0; i < 4096; ++i) {
      const Duration time = microseconds(
          static_cast<std::int64_t>(random.Exponential(1000.0 * static_cast<double>(seed))) + 10);
      times.push_back(time);
      policy.Record(time);
    }
    const auto delay = policy.Delay({true, true, 0});
    REQUIRE(delay.has_value());
    const Duration exact = NaivePercentile(times, HedgePolicy::kPercentile);
    CHECK(*delay >= exact * 9 / 10);
    CHECK(*delay <= exact * 14 / 10);
  }
}

// Guards against hedges of calls that are not idempotent GETs, of nested calls, and before enough
// calls were recorded.
TEST_CASE("only idempotent GETs that are not nested are hedged") {
  HedgePolicy policy;
  for (std::uint32_t i = 1; i < HedgePolicy::kMinCalls; ++i) policy.Record(milliseconds(2));
  CHECK_FALSE(policy.Delay({true, true, 0}).has_value());
  policy.Record(milliseconds(2));
  CHECK(policy.Delay({true, true, 0}).has_value());
  CHECK_FALSE(policy.Delay({false, true, 0}).has_value());
  CHECK_FALSE(policy.Delay({true, false, 0}).has_value());
  CHECK_FALSE(policy.Delay({true, true, 1}).has_value());
}

}  // namespace
}  // namespace primroseweir
