#include "primroseweir/routing/router.h"

#include <catch2/catch.hpp>
#include <memory>

#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/routing/call_request.h"
#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {
namespace {

UpstreamRecord MakeRecord(const std::string& id, const std::string& data_centre) {
  UpstreamRecord record;
  record.id = UpstreamId(id);
  record.service = ServiceName("ice-board");
  record.data_centre = DataCentre(data_centre);
  record.slots = 2;
  return record;
}

// Guards against calls that are sent to another data centre while the router's own one has free
// upstreams.
TEST_CASE("router prefers its own data centre") {
  Router::Options options;
  options.data_centre = DataCentre("krems");
  Router router(options, nullptr);
  auto snapshot = std::make_shared<ConfigurationSnapshot>();
  snapshot->services.push_back({ServiceName("ice-board"), {}, ServiceCallKind::kIdempotent});
  snapshot->upstreams = {MakeRecord("far", "melk"), MakeRecord("near", "krems")};
  const Instant now{};
  router.Apply(snapshot, now);
  CallRequest request;
  request.service = ServiceName("ice-board");
  auto lease = router.TryAcquire(request, now);
  REQUIRE(lease.ok());
  CHECK(lease->record().id == UpstreamId("near"));
  CHECK(lease->state().in_flight() == 1);
  lease->Finish({}, now);
  CHECK(router.Upstreams().size() == 2);
}

}  // namespace
}  // namespace primroseweir
