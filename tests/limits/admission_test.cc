#include "primroseweir/limits/admission.h"

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

// The adaptive limit by its rules, one step at a time.
struct NaiveLimit {
  std::uint32_t limit;
  std::uint32_t maximum;
  std::uint32_t in_flight = 0;
  Instant decreased = Instant{} - std::chrono::hours(1);
  Instant increased = Instant{} - std::chrono::hours(1);

  bool Enter() {
    if (in_flight >= limit) return false;
    ++in_flight;
    return true;
  }

  void Release(Admission::Signal signal, Instant now) {
    const bool bound = in_flight >= limit;
    const bool calm = now - decreased >= Admission::kAdaptInterval;
    if (signal == Admission::Signal::kOverload && calm) {
      limit = std::max(limit - (limit + 9) / 10, 1U);
      decreased = now;
    } else if (signal == Admission::Signal::kGood && bound && calm &&
               now - increased >= Admission::kAdaptInterval) {
      limit = std::min(limit + 1, maximum);
      increased = now;
    }
    --in_flight;
  }
};

// Guards against a limit that does not shrink under overload, or that grows while it doesn't bind.
TEST_CASE("the adaptive limit agrees with a naive version") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    Admission admission;
    admission.SetCapacity({60, 0, 10});
    NaiveLimit naive{12, 60};
    Instant now{};
    for (int step = 0; step < 5000; ++step) {
      now += milliseconds(random.Below(30));
      if (naive.in_flight == 0 || random.Below(5) < 3) {
        REQUIRE(admission.TryAcquire() == naive.Enter());
      } else {
        const auto signal = static_cast<Admission::Signal>(random.Below(40) < 38  ? 1
                                                           : random.Below(2) == 0 ? 0
                                                                                  : 2);
        admission.Release(signal, milliseconds(10), now);
        naive.Release(signal, now);
      }
      REQUIRE(admission.limit() == naive.limit);
      REQUIRE(admission.in_flight() == naive.in_flight);
    }
  }
}

// Guards against a queue that serves a refreshable call before a booking.
TEST_CASE("waiting calls are served by priority") {
  Admission admission(std::chrono::hours(1));
  admission.SetCapacity({1, 0, 1});
  REQUIRE(admission.TryAcquire());
  std::mutex mutex;
  std::vector<Priority> served;
  std::vector<std::thread> threads;
  std::atomic<std::uint32_t> attempts{0};
  const auto wait = [&](Priority priority) {
    const Instant now = MonotonicNow();
    const bool entered = admission.Wait({priority, now + seconds(20), true}, now, [&](Instant) {
      const bool placed = admission.TryAcquireFromQueue();
      attempts.fetch_add(1);
      return placed;
    });
    const std::lock_guard<std::mutex> lock(mutex);
    if (entered) served.push_back(priority);
    admission.Release(Admission::Signal::kNeutral, Duration::zero(), now);
  };
  std::uint32_t queued = 0;
  for (const Priority priority :
       {Priority::kRefreshable, Priority::kNormal, Priority::kNonIdempotent, Priority::kRefreshable,
        Priority::kNonIdempotent}) {
    threads.emplace_back(wait, priority);
    ++queued;
    // Each call tries once after it has queued; a place that becomes free during that attempt may
    // be taken out of order.
    while (attempts.load() != queued) std::this_thread::yield();
  }
  admission.Release(Admission::Signal::kNeutral, Duration::zero(), MonotonicNow());
  for (auto& thread : threads) thread.join();
  CHECK(served.size() == 5);
  CHECK(std::is_sorted(served.begin(), served.end()));
}

// Guards against a call that waits although it can't be served before its deadline.
TEST_CASE("the expected wait follows limit, queue and held time") {
  Admission admission;
  admission.SetCapacity({2, 0, 1});
  CHECK(admission.ExpectedWait(Priority::kNormal) == Duration::zero());
  REQUIRE(admission.TryAcquire());
  admission.Release(Admission::Signal::kGood, milliseconds(100), Instant{});
  CHECK(admission.ExpectedWait(Priority::kNormal) == milliseconds(50));
}

// Guards against a wakeup that is lost because the place became free between a call's failed
// attempt and its joining the queue.
TEST_CASE("a place that became free before the call queued is taken") {
  Admission admission(std::chrono::hours(1));
  admission.SetCapacity({1, 0, 1});
  REQUIRE(admission.TryAcquire());
  REQUIRE_FALSE(admission.TryAcquire());
  admission.Release(Admission::Signal::kNeutral, Duration::zero(), Instant{});
  const Instant now = MonotonicNow();
  CHECK(admission.Wait({Priority::kNormal, now + seconds(1), true}, now,
                       [&](Instant) { return admission.TryAcquireFromQueue(); }));
}

// Guards against a signal that is lost because the call it woke could not use what became free.
TEST_CASE("a call that can't use a freed place passes the signal on") {
  Admission admission(std::chrono::hours(1));
  admission.SetCapacity({1, 0, 1});
  REQUIRE(admission.TryAcquire());
  std::atomic<bool> picky_may{false};
  std::thread picky([&] {
    const Instant now = MonotonicNow();
    const Admission::WaitRequest wait_request{Priority::kNonIdempotent, now + seconds(20), false};
    admission.Wait(wait_request, now, [&](Instant) { return picky_may.load(); });
  });
  while (admission.waiting() != 1) std::this_thread::yield();
  std::atomic<bool> served{false};
  std::thread other([&] {
    const Instant now = MonotonicNow();
    const Admission::WaitRequest wait_request{Priority::kRefreshable, now + seconds(20), true};
    served =
        admission.Wait(wait_request, now, [&](Instant) { return admission.TryAcquireFromQueue(); });
  });
  while (admission.waiting() != 2) std::this_thread::yield();
  admission.Release(Admission::Signal::kNeutral, Duration::zero(), MonotonicNow());
  other.join();
  CHECK(served.load());
  picky_may = true;
  admission.Wake();
  picky.join();
}

// Guards against a call that waits for one certain upstream and holds up all others.
TEST_CASE("a call that bars nobody lets others enter") {
  Admission admission(std::chrono::hours(1));
  admission.SetCapacity({2, 0, 1});
  std::atomic<bool> may{false};
  std::thread picky([&] {
    const Instant now = MonotonicNow();
    admission.Wait({Priority::kNormal, now + seconds(20), false}, now,
                   [&](Instant) { return may.load(); });
  });
  while (admission.waiting() != 1) std::this_thread::yield();
  CHECK(admission.TryAcquire());
  may = true;
  admission.Wake();
  picky.join();
}

// Guards against long downloads at a data centre that leaves: they must not hold the limit.
TEST_CASE("stranded calls don't count against the limit", "[data-centre-out]") {
  Admission admission;
  admission.SetCapacity({1, 0, 1});
  REQUIRE(admission.TryAcquire());
  REQUIRE_FALSE(admission.TryAcquire());
  admission.SetCapacity({1, 0, 1, 1});
  CHECK(admission.TryAcquire());
  CHECK_FALSE(admission.TryAcquire());
}

}  // namespace
}  // namespace primroseweir
