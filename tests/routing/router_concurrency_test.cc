#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "primroseweir/limits/admission_controller.h"
#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/routing/service_limits.h"
#include "support/routing_fakes.h"

namespace primroseweir {
namespace {

using test::MakeRecord;
using test::MakeRequest;
using test::MakeSnapshot;

constexpr int kThreads = 8;
constexpr int kCallsPerThread = 3000;

CallResult ResultOfCall(int i) {
  CallResult result = test::Answered(std::chrono::microseconds(50));
  if (i % 97 == 0) result.outcome = AttemptEnd::kRefused;
  if (i % 101 == 0) result.outcome = AttemptEnd::kCancelled;
  result.report = LoadReport{2, std::chrono::microseconds(50), Duration::zero()};
  return result;
}

void RunCalls(Router* router, std::atomic<int>* done) {
  for (int i = 0; i < kCallsPerThread; ++i) {
    const Instant now = MonotonicNow();
    CallRequest request = MakeRequest(now + std::chrono::milliseconds(50), i % 50);
    request.priority = static_cast<Priority>(i % 3);
    auto lease = router->Acquire(request, now);
    if (lease.ok()) lease->Finish(ResultOfCall(i), MonotonicNow());
    done->fetch_add(1);
  }
}

// Guards against data races and lost counts when tables are replaced while calls are in flight. Run
// it under ThreadSanitizer (tools/check_threads.sh).
TEST_CASE("counts stay correct when tables are replaced during calls") {
  Router::Options options;
  options.data_centre = DataCentre("krems");
  options.seat_count = 4;
  Router router(options, nullptr);
  const auto all_in_service =
      MakeSnapshot({MakeRecord("a"), MakeRecord("b", "melk"), MakeRecord("c")});
  const auto melk_out =
      MakeSnapshot({MakeRecord("a"), MakeRecord("b", "melk")}, {DataCentre("melk")});
  router.Apply(all_in_service, MonotonicNow());
  std::atomic<int> done{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < kThreads; ++i) callers.emplace_back(RunCalls, &router, &done);
  for (int i = 0; done.load() < kThreads * kCallsPerThread; ++i) {
    const Instant now = MonotonicNow();
    router.Apply(i % 2 == 0 ? melk_out : all_in_service, now);
    router.SetLiveSeats({Seat(0), Seat(i % 4)}, now);
    router.Merge(router.Observations(now), now);
    router.crash_guard().AddStrike(7, UpstreamId("a"), now);
    (void)router.Explain(ServiceName(test::kService), now);
  }
  for (auto& caller : callers) caller.join();
  const auto explanation = router.Explain(ServiceName(test::kService), MonotonicNow());
  REQUIRE(explanation.ok());
  CHECK(explanation->in_flight == 0);
  CHECK(explanation->waiting == 0);
  for (const auto& upstream : explanation->upstreams) CHECK(upstream.in_flight == 0);
}

// Guards against a table that is freed while a reader walks over it: entry instances ended or hung
// at their start when the configuration changed while gossip read the upstreams.
TEST_CASE("the upstreams are read whole while tables are replaced") {
  Router::Options options;
  options.data_centre = DataCentre("krems");
  options.seat_count = 4;
  Router router(options, nullptr);
  constexpr int kUpstreams = 200;
  std::vector<UpstreamRecord> records;
  for (int i = 0; i < kUpstreams; ++i) records.push_back(MakeRecord("u" + std::to_string(i)));
  const auto all = MakeSnapshot(records);
  records.resize(1);
  const auto one = MakeSnapshot(records);
  router.Apply(all, MonotonicNow());
  std::atomic<bool> is_done{false};
  std::atomic<int> torn{0};
  const auto read = [&] {
    while (!is_done) {
      const auto upstreams = router.Upstreams().size();
      const auto observations = router.Observations(MonotonicNow()).size();
      for (const auto count : {upstreams, observations}) {
        torn += count == 1 || count == kUpstreams ? 0 : 1;
      }
    }
  };
  std::vector<std::thread> readers;
  for (int i = 0; i < 2; ++i) readers.emplace_back(read);
  for (int i = 0; i < 300; ++i) router.Apply(i % 2 == 0 ? one : all, MonotonicNow());
  is_done = true;
  for (auto& reader : readers) reader.join();
  CHECK(torn == 0);
}

// Guards against a lost wakeup when a lease ends. The recheck interval is one hour, so that a call
// that misses its wakeup waits until its deadline.
TEST_CASE("each end of a lease wakes a waiting call") {
  AdmissionController admission(std::chrono::hours(1));
  admission.SetCapacity({1, 0, 1});
  std::atomic<int> served{0};
  std::atomic<int> admitted_calls{0};
  std::atomic<bool> limit_exceeded{false};
  const auto run = [&](int priority) {
    for (int i = 0; i < 2000; ++i) {
      bool admitted = admission.TryAcquire();
      const Instant now = MonotonicNow();
      if (!admitted) {
        const AdmissionController::WaitRequest wait_request{static_cast<Priority>(priority),
                                                            now + std::chrono::seconds(20), true};
        admitted = admission.Wait(wait_request, now,
                                  [&](Instant) { return admission.TryAcquireFromQueue(); });
      }
      if (!admitted) continue;
      if (admitted_calls.fetch_add(1) != 0) limit_exceeded.store(true);
      served.fetch_add(1);
      admitted_calls.fetch_sub(1);
      admission.Release(AdmissionController::Signal::kNeutral, Duration::zero(), now);
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) threads.emplace_back(run, i % 3);
  for (auto& thread : threads) thread.join();
  CHECK(served.load() == kThreads * 2000);
  CHECK_FALSE(limit_exceeded.load());
  CHECK(admission.waiting() == 0);
}

// Guards against calls that keep waiting after a new table gave them an upstream, and against a
// waiting call that is still routed by the table that was current when it began to wait.
TEST_CASE("a waiting call is routed by the new table", "[data-centre-out]") {
  Router::Options options;
  options.data_centre = DataCentre("krems");
  Router router(options, nullptr);
  Instant now = MonotonicNow();
  router.Apply(MakeSnapshot({MakeRecord("a", "krems", 1)}), now);
  auto held_lease = router.Acquire(MakeRequest(now + std::chrono::seconds(10)), now);
  REQUIRE(held_lease.ok());
  UpstreamId used_upstream;
  std::thread waiting([&] {
    const Instant begun = MonotonicNow();
    auto lease = router.Acquire(MakeRequest(begun + std::chrono::seconds(10)), begun);
    if (lease.ok()) used_upstream = lease->record().id;
  });
  while (router.Explain(ServiceName(test::kService), now)->waiting == 0) std::this_thread::yield();
  const auto krems_out = MakeSnapshot({MakeRecord("a", "krems", 1), MakeRecord("b", "melk", 1)},
                                      {DataCentre("krems")});
  router.Apply(krems_out, MonotonicNow());
  waiting.join();
  CHECK(used_upstream == UpstreamId("b"));
}

}  // namespace
}  // namespace primroseweir
