#include "primroseweir/limits/admission_controller.h"

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <mutex>
#include <thread>
#include <vector>

#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Reference model of the adaptive limit for one thread.
struct NaiveLimit {
  std::uint32_t limit;
  std::uint32_t maximum;
  std::uint32_t in_flight = 0;
  Instant last_decrease_at = Instant{} - std::chrono::hours(1);
  Instant last_increase_at = Instant{} - std::chrono::hours(1);

  bool TryAcquire() {
    if (in_flight >= limit) return false;
    ++in_flight;
    return true;
  }

  void Release(AdmissionController::Signal signal, Instant now) {
    const bool is_limit_reached = in_flight >= limit;
    const bool may_adapt = now - last_decrease_at >= AdmissionController::kAdaptInterval;
    if (signal == AdmissionController::Signal::kOverload && may_adapt) {
      limit = std::max(limit - (limit + 9) / 10, 1U);
      last_decrease_at = now;
    } else if (signal == AdmissionController::Signal::kGood && is_limit_reached && may_adapt &&
               now - last_increase_at >= AdmissionController::kAdaptInterval) {
      limit = std::min(limit + 1, maximum);
      last_increase_at = now;
    }
    --in_flight;
  }
};

// Guards against a limit that is not lowered under overload, or that is raised while it is not
// reached.
TEST_CASE("the adaptive limit agrees with a single-threaded model") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    AdmissionController admission;
    admission.SetCapacity({60, 0, 10});
    NaiveLimit naive{12, 60};
    Instant now{};
    for (int step = 0; step < 5000; ++step) {
      now += milliseconds(random.UniformBelow(30));
      if (naive.in_flight == 0 || random.UniformBelow(5) < 3) {
        REQUIRE(admission.TryAcquire() == naive.TryAcquire());
      } else {
        const auto signal =
            static_cast<AdmissionController::Signal>(random.UniformBelow(40) < 38  ? 1
                                                     : random.UniformBelow(2) == 0 ? 0
                                                                                   : 2);
        admission.Release(signal, milliseconds(10), now);
        naive.Release(signal, now);
      }
      REQUIRE(admission.limit() == naive.limit);
      REQUIRE(admission.in_flight() == naive.in_flight);
    }
  }
}

// Guards against a queue that serves a refreshable call before a non-idempotent one.
TEST_CASE("waiting calls are served by priority") {
  AdmissionController admission(std::chrono::hours(1));
  admission.SetCapacity({1, 0, 1});
  REQUIRE(admission.TryAcquire());
  std::mutex mutex;
  std::vector<Priority> served;
  std::vector<std::thread> threads;
  std::atomic<std::uint32_t> attempts{0};
  const auto wait_for_permit = [&](Priority priority) {
    const Instant now = MonotonicNow();
    const bool was_served = admission.Wait({priority, now + seconds(20), true}, now, [&](Instant) {
      const bool acquired = admission.TryAcquireFromQueue();
      attempts.fetch_add(1);
      return acquired;
    });
    const std::lock_guard<std::mutex> lock(mutex);
    if (was_served) served.push_back(priority);
    admission.Release(AdmissionController::Signal::kNeutral, Duration::zero(), now);
  };
  std::uint32_t queued = 0;
  for (const Priority priority :
       {Priority::kRefreshable, Priority::kNormal, Priority::kNonIdempotent, Priority::kRefreshable,
        Priority::kNonIdempotent}) {
    threads.emplace_back(wait_for_permit, priority);
    ++queued;
    // Each call tries once after it was queued. A permit that is released during that attempt may
    // be acquired out of order, so the next call waits for the attempt to end.
    while (attempts.load() != queued) std::this_thread::yield();
  }
  admission.Release(AdmissionController::Signal::kNeutral, Duration::zero(), MonotonicNow());
  for (auto& thread : threads) thread.join();
  CHECK(served.size() == 5);
  CHECK(std::is_sorted(served.begin(), served.end()));
}

// Guards against an expected wait that is too short, so that a call is queued although it can't be
// served before its deadline.
TEST_CASE("the expected wait is computed from limit, queue and mean held time") {
  AdmissionController admission;
  admission.SetCapacity({2, 0, 1});
  CHECK(admission.ExpectedWait(Priority::kNormal) == Duration::zero());
  REQUIRE(admission.TryAcquire());
  admission.Release(AdmissionController::Signal::kGood, milliseconds(100), Instant{});
  CHECK(admission.ExpectedWait(Priority::kNormal) == milliseconds(50));
}

// Guards against a lost wakeup: the permit is released after a call failed to acquire it and before
// the call is queued.
TEST_CASE("a permit that was released before the call was queued is acquired") {
  AdmissionController admission(std::chrono::hours(1));
  admission.SetCapacity({1, 0, 1});
  REQUIRE(admission.TryAcquire());
  REQUIRE_FALSE(admission.TryAcquire());
  admission.Release(AdmissionController::Signal::kNeutral, Duration::zero(), Instant{});
  const Instant now = MonotonicNow();
  CHECK(admission.Wait({Priority::kNormal, now + seconds(1), true}, now,
                       [&](Instant) { return admission.TryAcquireFromQueue(); }));
}

// Guards against a lost signal: the signalled call can't use the freed permit, and the next call is
// not signalled.
TEST_CASE("a call that can't use a freed permit forwards the signal") {
  AdmissionController admission(std::chrono::hours(1));
  admission.SetCapacity({1, 0, 1});
  REQUIRE(admission.TryAcquire());
  std::atomic<bool> selective_may_start{false};
  std::thread selective([&] {
    const Instant now = MonotonicNow();
    const AdmissionController::WaitRequest wait_request{Priority::kNonIdempotent, now + seconds(20),
                                                        false};
    admission.Wait(wait_request, now, [&](Instant) { return selective_may_start.load(); });
  });
  while (admission.waiting() != 1) std::this_thread::yield();
  std::atomic<bool> served{false};
  std::thread other([&] {
    const Instant now = MonotonicNow();
    const AdmissionController::WaitRequest wait_request{Priority::kRefreshable, now + seconds(20),
                                                        true};
    served =
        admission.Wait(wait_request, now, [&](Instant) { return admission.TryAcquireFromQueue(); });
  });
  while (admission.waiting() != 2) std::this_thread::yield();
  admission.Release(AdmissionController::Signal::kNeutral, Duration::zero(), MonotonicNow());
  other.join();
  CHECK(served.load());
  selective_may_start = true;
  admission.Wake();
  selective.join();
}

// Guards against a call that waits for one particular upstream and blocks all others.
TEST_CASE("a call that does not block others lets them acquire permits") {
  AdmissionController admission(std::chrono::hours(1));
  admission.SetCapacity({2, 0, 1});
  std::atomic<bool> may_start{false};
  std::thread selective([&] {
    const Instant now = MonotonicNow();
    admission.Wait({Priority::kNormal, now + seconds(20), false}, now,
                   [&](Instant) { return may_start.load(); });
  });
  while (admission.waiting() != 1) std::this_thread::yield();
  CHECK(admission.TryAcquire());
  may_start = true;
  admission.Wake();
  selective.join();
}

// Guards against long downloads from a data centre that is being taken out of service which use up
// the limit.
TEST_CASE("calls at upstreams that take no new calls don't count against the limit",
          "[data-centre-out]") {
  AdmissionController admission;
  admission.SetCapacity({1, 0, 1});
  REQUIRE(admission.TryAcquire());
  REQUIRE_FALSE(admission.TryAcquire());
  admission.SetCapacity({1, 0, 1, 1});
  CHECK(admission.TryAcquire());
  CHECK_FALSE(admission.TryAcquire());
}

}  // namespace
}  // namespace primroseweir
