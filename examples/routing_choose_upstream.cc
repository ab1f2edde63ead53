// Picks upstreams for calls with a Router: applies a configuration, acquires a lease for each call
// and finishes it.
#include <chrono>
#include <iostream>
#include <memory>

#include "primroseweir/base/event_log.h"
#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/routing/call_request.h"
#include "primroseweir/routing/router.h"

using primroseweir::MonotonicNow;

namespace {

std::shared_ptr<const primroseweir::ConfigurationSnapshot> MakeConfiguration() {
  auto snapshot = std::make_shared<primroseweir::ConfigurationSnapshot>();
  snapshot->services.push_back(
      {primroseweir::ServiceName("ice-board"), {}, primroseweir::ServiceCallKind::kIdempotent});
  for (const char* id : {"ib-1", "ib-2"}) {
    primroseweir::UpstreamRecord record;
    record.id = primroseweir::UpstreamId(id);
    record.service = primroseweir::ServiceName("ice-board");
    record.data_centre = primroseweir::DataCentre("krems");
    record.address = {"127.0.0.1", 7001};
    record.slots = 6;
    record.connections = 260;
    snapshot->upstreams.push_back(record);
  }
  return snapshot;
}

}  // namespace

int main() {
  primroseweir::EventLog events("example");
  primroseweir::Router::Options options;
  options.data_centre = primroseweir::DataCentre("krems");
  primroseweir::Router router(options, &events);
  router.Apply(MakeConfiguration(), MonotonicNow());

  primroseweir::CallRequest request;
  request.service = primroseweir::ServiceName("ice-board");
  request.deadline = MonotonicNow() + std::chrono::seconds(1);
  for (int call = 0; call < 4; ++call) {
    auto lease = router.Acquire(request, MonotonicNow());
    if (!lease.ok()) return 1;
    std::cout << "call=" << call << " upstream=" << lease->record().id << "\n";
    primroseweir::CallResult result;
    result.time_to_head = std::chrono::milliseconds(2);
    lease->Finish(result, MonotonicNow());
  }
  return 0;
}
