#include "bench/routing/routing_bench.h"

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/routing/call_request.h"
#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir::bench {
namespace {

constexpr std::uint64_t kSeatCount = 34;
constexpr std::uint64_t kLiveSeatCount = 17;

std::shared_ptr<ConfigurationSnapshot> MakeSnapshot(std::uint32_t upstreams,
                                                    std::uint32_t services) {
  auto snapshot = std::make_shared<ConfigurationSnapshot>();
  for (std::uint32_t i = 0; i < services; ++i) {
    snapshot->services.push_back(
        {ServiceName("service-" + std::to_string(i)), {}, ServiceCallKind::kIdempotent});
  }
  for (std::uint32_t i = 0; i < upstreams; ++i) {
    UpstreamRecord record;
    record.id = UpstreamId("upstream-" + std::to_string(i));
    record.service = ServiceName("service-" + std::to_string(i % std::max(services, 1U)));
    record.data_centre = DataCentre("krems");
    record.address = {"127.0.0.1", static_cast<std::uint16_t>(1024 + i)};
    record.slots = 6;
    record.connections = 260;
    record.probe_target = "/probe";
    record.probe_cost = std::chrono::milliseconds(6);
    snapshot->upstreams.push_back(std::move(record));
  }
  return snapshot;
}

std::unique_ptr<Router> MakeRouter() {
  Router::Options options;
  options.data_centre = DataCentre("krems");
  options.seat_count = kSeatCount;
  return std::make_unique<Router>(options, nullptr);
}

std::set<Seat> LiveSeats() {
  std::set<Seat> live;
  for (std::uint64_t seat = 0; seat < kLiveSeatCount; ++seat) live.insert(Seat(seat));
  return live;
}

std::vector<UpstreamObservation> WarmObservations(const Router& router, Instant now) {
  auto observations = router.Observations(now);
  for (auto& observation : observations) {
    observation.epoch = Epoch(1);
    observation.window = 6;
  }
  return observations;
}

CallRequest MakeRequest(Instant deadline) {
  CallRequest request;
  request.service = ServiceName("service-0");
  request.deadline = deadline;
  return request;
}

void RunLeases(Router* router, std::uint32_t calls, std::vector<double>* nanoseconds) {
  nanoseconds->reserve(calls);
  CallResult result;
  result.time_to_head = std::chrono::milliseconds(2);
  result.report = LoadReport{3, std::chrono::milliseconds(2), Duration::zero()};
  CallRequest request = MakeRequest(Instant{});
  for (std::uint32_t i = 0; i < calls; ++i) {
    request.fingerprint = i;
    const Instant started_at = MonotonicNow();
    request.deadline = started_at + std::chrono::seconds(10);
    auto lease = router->Acquire(request, started_at);
    if (lease.ok()) lease->Finish(result, started_at + std::chrono::milliseconds(2));
    const Duration elapsed = MonotonicNow() - started_at;
    nanoseconds->push_back(std::chrono::duration<double, std::nano>(elapsed).count());
  }
}

std::size_t HeapBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

double RouterHeapBytes(std::uint32_t upstreams, std::uint32_t services) {
  const auto snapshot = MakeSnapshot(upstreams, services);
  const std::size_t bytes_before = HeapBytes();
  const auto router = MakeRouter();
  router->Apply(snapshot, MonotonicNow());
  router->SetLiveSeats(LiveSeats(), MonotonicNow());
  return static_cast<double>(HeapBytes()) - static_cast<double>(bytes_before);
}

template <typename Operation>
double MeasureMilliseconds(const Operation& operation) {
  const Instant started_at = MonotonicNow();
  operation();
  return std::chrono::duration<double, std::milli>(MonotonicNow() - started_at).count();
}

}  // namespace

LeaseTime MeasureLeases(std::uint32_t upstreams, std::uint32_t threads, std::uint32_t calls) {
  const auto router = MakeRouter();
  const Instant now = MonotonicNow();
  router->Apply(MakeSnapshot(upstreams, 1), now);
  router->SetLiveSeats(LiveSeats(), now);
  router->Merge(WarmObservations(*router, now), now);
  std::vector<std::vector<double>> times(threads);
  std::vector<std::thread> running;
  for (auto& samples : times) running.emplace_back(RunLeases, router.get(), calls, &samples);
  for (auto& thread : running) thread.join();
  std::vector<double> all;
  for (const auto& samples : times) all.insert(all.end(), samples.begin(), samples.end());
  std::sort(all.begin(), all.end());
  LeaseTime time{upstreams, threads, 0, 0};
  for (const double sample : all) time.mean_nanoseconds += sample / static_cast<double>(all.size());
  time.percentile_99_nanoseconds = all[all.size() * 99 / 100];
  return time;
}

TableCost MeasureTables(std::uint32_t upstreams, std::uint32_t services) {
  TableCost cost;
  const double empty_router_bytes = RouterHeapBytes(0, 0);
  const double services_only_bytes = RouterHeapBytes(0, services);
  const double total_bytes = RouterHeapBytes(upstreams, services);
  cost.bytes_per_service = (services_only_bytes - empty_router_bytes) / services;
  cost.bytes_per_upstream = (total_bytes - services_only_bytes) / upstreams;
  cost.total_megabytes = total_bytes / 1e6;
  const auto router = MakeRouter();
  const auto snapshot = MakeSnapshot(upstreams, services);
  router->Apply(snapshot, MonotonicNow());
  cost.live_seats_milliseconds =
      MeasureMilliseconds([&] { router->SetLiveSeats(LiveSeats(), MonotonicNow()); });
  const auto warm_observations = WarmObservations(*router, MonotonicNow());
  cost.merge_milliseconds =
      MeasureMilliseconds([&] { router->Merge(warm_observations, MonotonicNow()); });
  cost.apply_milliseconds = MeasureMilliseconds([&] { router->Apply(snapshot, MonotonicNow()); });
  return cost;
}

double MeasureRefusals(std::uint32_t calls) {
  const auto router = MakeRouter();
  const Instant now = MonotonicNow();
  router->Apply(MakeSnapshot(1, 1), now);
  // The first call, held for 1 s, provides the mean time from which the expected wait is computed.
  // The second one occupies the whole window of the cold upstream.
  const Instant deadline = now + std::chrono::seconds(10);
  CallResult result;
  auto first_lease = router->Acquire(MakeRequest(deadline), now);
  if (first_lease.ok()) first_lease->Finish(result, now + std::chrono::seconds(1));
  const auto occupying_lease = router->Acquire(MakeRequest(deadline), now);
  const CallRequest late_request = MakeRequest(now + std::chrono::milliseconds(10));
  const double elapsed = MeasureMilliseconds([&] {
    for (std::uint32_t i = 0; i < calls; ++i) (void)router->Acquire(late_request, now);
  });
  return elapsed * 1e6 / calls;
}

}  // namespace primroseweir::bench
