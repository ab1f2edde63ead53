#include "primroseweir/limits/crash_guard.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Classification = CrashGuard::Classification;

UpstreamId Upstream(std::uint64_t number) { return UpstreamId("ib-" + std::to_string(number)); }

std::vector<UpstreamId> Upstreams(std::uint64_t count) {
  std::vector<UpstreamId> upstreams;
  for (std::uint64_t i = 0; i < count; ++i) upstreams.push_back(Upstream(i));
  return upstreams;
}

// Reference model that classifies a request from all earlier events.
struct NaiveGuard {
  struct Event {
    std::uint64_t fingerprint;
    std::uint64_t upstream;
    Instant at;
    bool success;
  };
  std::vector<Event> events;

  Classification Check(std::uint64_t fingerprint, Instant now) const {
    std::vector<Event> strikes;
    for (const Event& event : events) {
      if (event.fingerprint != fingerprint) continue;
      if (event.success) {
        strikes.clear();
      } else {
        strikes.push_back(event);
      }
    }
    if (strikes.empty() || now - strikes.back().at >= CrashGuard::kQuarantineTime) {
      return Classification::kClear;
    }
    std::set<std::uint64_t> upstreams;
    for (const Event& strike : strikes) {
      const bool counts = strikes.back().at - strike.at < CrashGuard::kQuarantineTime;
      if (counts) upstreams.insert(strike.upstream);
    }
    return upstreams.size() >= 2 ? Classification::kQuarantined : Classification::kSuspect;
  }
};

// Guards against requests that are refused without strikes on two distinct upstreams since their
// last success, or that are not refused with them.
TEST_CASE("crash classification agrees with a model that keeps all events", "[not-run]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    CrashGuard guard;
    NaiveGuard naive;
    Instant now{};
    for (int step = 0; step < 300; ++step) {
      now += milliseconds(1 + random.UniformBelow(random.UniformBelow(20) == 0 ? 400'000 : 5'000));
      const std::uint64_t fingerprint = 1 + random.UniformBelow(6);
      const std::uint64_t upstream = random.UniformBelow(3);
      if (random.UniformBelow(3) == 0) {
        guard.RecordSuccess(fingerprint, Upstream(upstream), now);
        naive.events.push_back({fingerprint, upstream, now, true});
      } else if (guard.Check(fingerprint, now) != Classification::kQuarantined) {
        guard.AddStrike(fingerprint, Upstream(upstream), now);
        naive.events.push_back({fingerprint, upstream, now, false});
      }
      for (std::uint64_t each = 1; each <= 6; ++each) {
        REQUIRE(guard.Check(each, now) == naive.Check(each, now));
      }
    }
  }
}

// Guards against strikes whose age becomes lower with each instance that forwards them, so that
// they never expire or outlast a success.
TEST_CASE("strikes and successes keep their times when instances forward them", "[not-run]") {
  Instant now{};
  std::vector<CrashGuard> guards(5);
  guards[0].AddStrike(7, Upstream(0), now);
  const auto circulate = [&](Duration time) {
    const Instant end = now + time;
    while (now < end) {
      for (std::size_t i = 0; i < guards.size(); ++i) {
        const auto strikes = guards[i].Strikes(now);
        // Each message takes 20 ms.
        now += milliseconds(20);
        guards[(i + 1) % guards.size()].Merge(strikes, now);
      }
    }
  };
  circulate(seconds(5));
  for (const auto& guard : guards) CHECK(guard.Check(7, now) == Classification::kSuspect);
  guards[2].RecordSuccess(7, Upstream(1), now);
  circulate(seconds(5));
  for (const auto& guard : guards) CHECK(guard.Check(7, now) == Classification::kClear);
  guards[1].AddStrike(8, Upstream(0), now);
  circulate(minutes(11));
  for (const auto& guard : guards) CHECK(guard.Check(8, now) == Classification::kClear);
}

// Guards against requests that are quarantined because they were executed beside the request that
// crashes upstreams: suspects are executed at different upstreams, and all instances assign them
// alike.
TEST_CASE("all instances assign suspects alike and to different upstreams", "[not-run]") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    const Instant now{};
    CrashGuard first;
    CrashGuard second;
    std::vector<std::uint64_t> suspects;
    for (int i = 0; i < 6; ++i) suspects.push_back(1 + random.UniformBelow(1'000'000));
    for (const auto suspect : suspects) first.AddStrike(suspect, Upstream(3), now);
    second.Merge(first.Strikes(now), now);
    std::set<std::string> used;
    for (const auto suspect : suspects) {
      const UpstreamId assigned = first.Assign(suspect, Upstreams(10), now);
      CHECK(assigned == second.Assign(suspect, Upstreams(10), now));
      CHECK(assigned != Upstream(3));
      used.insert(assigned.value());
    }
    CHECK(used.size() == std::set<std::uint64_t>(suspects.begin(), suspects.end()).size());
  }
}

// Guards against a suspect that is executed twice at the same time, and two suspects at one
// upstream.
TEST_CASE("a suspect is executed once at a time and without another suspect", "[not-run]") {
  CrashGuard guard;
  CHECK(guard.TryStart(1, Upstream(0)));
  CHECK_FALSE(guard.TryStart(1, Upstream(1)));
  CHECK_FALSE(guard.TryStart(2, Upstream(0)));
  guard.End(1, Upstream(0));
  CHECK(guard.TryStart(2, Upstream(0)));
}

// Guards against a list of strikes that grows without bound.
TEST_CASE("the fingerprint with the oldest strike is evicted first", "[not-run]") {
  CrashGuard guard;
  Instant now{};
  const std::uint64_t count = CrashGuard::kMaxFingerprints + 100;
  for (std::uint64_t i = 1; i <= count; ++i) {
    now += milliseconds(1);
    guard.AddStrike(i, Upstream(0), now);
  }
  CHECK(guard.Strikes(now).size() == CrashGuard::kMaxFingerprints);
  CHECK(guard.Check(1, now) == Classification::kClear);
  CHECK(guard.Check(count, now) == Classification::kSuspect);
}

// Guards against a turn of seconds: a search of all records for each strike of a forged message.
TEST_CASE("an eviction does not look at all records") {
  CrashGuard guard;
  Instant now(seconds(1000));
  constexpr std::uint64_t kMessages = 20;
  for (std::uint64_t message = 0; message < kMessages; ++message) {
    std::vector<CrashStrike> strikes;
    for (std::uint64_t i = 1; i <= CrashGuard::kMaxMergedStrikes; ++i) {
      strikes.push_back(
          {message * CrashGuard::kMaxMergedStrikes + i, Upstream(0), milliseconds(i), false});
    }
    guard.Merge(strikes, now);
    now += milliseconds(1);
  }
  CHECK(guard.Strikes(now).size() == CrashGuard::kMaxFingerprints);
  CHECK(guard.eviction_steps() <= 2 * kMessages * CrashGuard::kMaxMergedStrikes);
  // Those that expire are looked at once.
  now += CrashGuard::kQuarantineTime;
  const auto steps = guard.eviction_steps();
  guard.AddStrike(1, Upstream(0), now);
  CHECK(guard.eviction_steps() - steps <= CrashGuard::kMaxFingerprints + 1);
  CHECK(guard.Strikes(now).size() == 1);
}

// Guards against forged messages that fill the memory with strikes of one request, or with long
// ids.
TEST_CASE("the strikes taken from one message and for one request are bounded") {
  CrashGuard guard;
  const Instant now(seconds(1000));
  std::vector<CrashStrike> strikes;
  for (std::uint64_t i = 1; i <= CrashGuard::kMaxMergedStrikes + 100; ++i) {
    strikes.push_back({i, Upstream(0), {}, false});
  }
  guard.Merge(strikes, now);
  CHECK(guard.Strikes(now).size() == CrashGuard::kMaxMergedStrikes);

  CrashGuard other;
  strikes.clear();
  for (std::uint64_t i = 0; i < 100; ++i) strikes.push_back({7, Upstream(i), {}, false});
  other.Merge(strikes, now);
  CHECK(other.Strikes(now).size() == CrashGuard::kMaxStrikesPerFingerprint);
  CHECK(other.Check(7, now) == Classification::kQuarantined);
  const std::string long_id(CrashGuard::kMaxUpstreamIdBytes + 1, 'x');
  other.Merge({{8, UpstreamId(long_id), {}, false}}, now);
  CHECK(other.Check(8, now) == Classification::kClear);
}

// Guards against strikes and successes that peers receive too late.
TEST_CASE("strikes and the successes after them are passed to the sender at once", "[not-run]") {
  CrashGuard guard;
  std::vector<CrashStrike> sent;
  guard.SetSender([&](const CrashStrike& strike) { sent.push_back(strike); });
  const Instant now{};
  guard.RecordSuccess(5, Upstream(1), now);
  CHECK(sent.empty());
  guard.AddStrike(5, Upstream(0), now);
  guard.RecordSuccess(5, Upstream(1), now + milliseconds(1));
  REQUIRE(sent.size() == 2);
  CHECK_FALSE(sent[0].succeeded);
  CHECK(sent[1].succeeded);
}

// Guards against a first message to a restarted instance that exceeds a datagram, or that is filled
// by single strikes of ordinary requests so that a quarantined one is left out.
TEST_CASE("the strikes for an instance that starts are bounded, quarantined requests first") {
  CrashGuard guard;
  Instant now(seconds(1000));
  guard.AddStrike(1, Upstream(1), now);
  guard.AddStrike(1, Upstream(2), now);
  for (std::uint64_t ordinary = 10; ordinary < 200; ++ordinary) {
    now += milliseconds(1);
    guard.AddStrike(ordinary, Upstream(3), now);
  }
  constexpr std::size_t kMaxBytes = 1000;
  const auto strikes = guard.StrikesForStart(kMaxBytes, now);
  REQUIRE(strikes.size() > 10);
  CHECK(strikes.size() * (Upstream(3).value().size() + CrashGuard::kStrikeBytes) <= kMaxBytes);
  CHECK(strikes[0].fingerprint == 1);
  CHECK(strikes[1].fingerprint == 1);
  CHECK(strikes[2].fingerprint == 199);
  CrashGuard restarted;
  restarted.Merge(strikes, now);
  CHECK(restarted.Check(1, now) == Classification::kQuarantined);
  CHECK(guard.StrikesForStart(100'000, now).size() == guard.Strikes(now).size());
}

}  // namespace
}  // namespace primroseweir
