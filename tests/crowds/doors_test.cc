// What each door does with each shape of crowd.
#include <catch2/catch.hpp>
#include <string>

#include "platform/crowded_site.h"
#include "support/crowd_shapes.h"

namespace primroseweir::testing {
namespace {

struct Door {
  SocketAddress (PlatformSite::*address)(int instance) const;
  const char* path;
};

constexpr Door kUpload{&PlatformSite::CallerAddress, "/upload/x"};
constexpr Door kNoRoute{&PlatformSite::CallerAddress, "/none/x"};
constexpr Door kReadiness{&PlatformSite::ReadinessAddress, "/primroseweir/readiness"};
constexpr Door kDirectory{&PlatformSite::DirectoryAddress, "/primroseweir/resolve?name=desk"};
constexpr Door kSnapshot{&PlatformSite::SnapshotAddress, "/published"};
constexpr Door kMetrics{&PlatformSite::MetricsAddress, "/metrics"};

void CheckHoldsUnder(void (*send)(const CrowdTarget& target), const Door& door) {
  CrowdedSite site;
  const auto address = (site.*door.address)(0);
  send({[&](int size) -> Crowd& { return site.AddCrowd(address, size); }, door.path,
        site.limits().body_bytes, site.limits().head_bytes});
  site.CheckHolds();
}

// Guards against bodies that are held whole for all callers together, at doors that have a use for
// them or not.
TEST_CASE("bodies a byte short in one piece at an upload route", "[crowd-upload-one-piece]") {
  CheckHoldsUnder(SendBodiesInOnePiece, kUpload);
}
TEST_CASE("bodies a byte short in one piece at a path without a route",
          "[crowd-no-route-one-piece]") {
  CheckHoldsUnder(SendBodiesInOnePiece, kNoRoute);
}
TEST_CASE("bodies a byte short in one piece at readiness", "[crowd-readiness-one-piece]") {
  CheckHoldsUnder(SendBodiesInOnePiece, kReadiness);
}
TEST_CASE("bodies a byte short in one piece at the address question",
          "[crowd-directory-one-piece]") {
  CheckHoldsUnder(SendBodiesInOnePiece, kDirectory);
}
TEST_CASE("bodies a byte short in one piece at the port between instances",
          "[crowd-snapshot-one-piece]") {
  CheckHoldsUnder(SendBodiesInOnePiece, kSnapshot);
}
TEST_CASE("bodies a byte short in one piece at the metrics port", "[crowd-metrics-one-piece]") {
  CheckHoldsUnder(SendBodiesInOnePiece, kMetrics);
}

// Guards against buffers that grow by more than what arrived.
TEST_CASE("bodies a byte short in small pieces at an upload route", "[crowd-upload-small-pieces]") {
  CheckHoldsUnder(SendBodiesInSmallPieces, kUpload);
}
TEST_CASE("bodies a byte short in small pieces at a path without a route",
          "[crowd-no-route-small-pieces]") {
  CheckHoldsUnder(SendBodiesInSmallPieces, kNoRoute);
}
TEST_CASE("bodies a byte short in small pieces at readiness", "[crowd-readiness-small-pieces]") {
  CheckHoldsUnder(SendBodiesInSmallPieces, kReadiness);
}
TEST_CASE("bodies a byte short in small pieces at the address question",
          "[crowd-directory-small-pieces]") {
  CheckHoldsUnder(SendBodiesInSmallPieces, kDirectory);
}
TEST_CASE("bodies a byte short in small pieces at the port between instances",
          "[crowd-snapshot-small-pieces]") {
  CheckHoldsUnder(SendBodiesInSmallPieces, kSnapshot);
}
TEST_CASE("bodies a byte short in small pieces at the metrics port",
          "[crowd-metrics-small-pieces]") {
  CheckHoldsUnder(SendBodiesInSmallPieces, kMetrics);
}

// Guards against bodies without a stated length that are not counted before they are complete.
TEST_CASE("bodies in chunks without their end at an upload route", "[crowd-upload-chunks]") {
  CheckHoldsUnder(SendBodiesInChunks, kUpload);
}
TEST_CASE("bodies in chunks without their end at a path without a route",
          "[crowd-no-route-chunks]") {
  CheckHoldsUnder(SendBodiesInChunks, kNoRoute);
}
TEST_CASE("bodies in chunks without their end at readiness", "[crowd-readiness-chunks]") {
  CheckHoldsUnder(SendBodiesInChunks, kReadiness);
}
TEST_CASE("bodies in chunks without their end at the address question",
          "[crowd-directory-chunks]") {
  CheckHoldsUnder(SendBodiesInChunks, kDirectory);
}
TEST_CASE("bodies in chunks without their end at the port between instances",
          "[crowd-snapshot-chunks]") {
  CheckHoldsUnder(SendBodiesInChunks, kSnapshot);
}
TEST_CASE("bodies in chunks without their end at the metrics port", "[crowd-metrics-chunks]") {
  CheckHoldsUnder(SendBodiesInChunks, kMetrics);
}

// Guards against reading of bodies that are rejected anyway.
TEST_CASE("bodies far over the limit at an upload route", "[crowd-upload-too-large]") {
  CheckHoldsUnder(SendBodiesTooLarge, kUpload);
}
TEST_CASE("bodies far over the limit at a path without a route", "[crowd-no-route-too-large]") {
  CheckHoldsUnder(SendBodiesTooLarge, kNoRoute);
}
TEST_CASE("bodies far over the limit at readiness", "[crowd-readiness-too-large]") {
  CheckHoldsUnder(SendBodiesTooLarge, kReadiness);
}
TEST_CASE("bodies far over the limit at the address question", "[crowd-directory-too-large]") {
  CheckHoldsUnder(SendBodiesTooLarge, kDirectory);
}
TEST_CASE("bodies far over the limit at the port between instances", "[crowd-snapshot-too-large]") {
  CheckHoldsUnder(SendBodiesTooLarge, kSnapshot);
}
TEST_CASE("bodies far over the limit at the metrics port", "[crowd-metrics-too-large]") {
  CheckHoldsUnder(SendBodiesTooLarge, kMetrics);
}

// Guards against heads that need many times their size once they are parsed.
TEST_CASE("heads of many short fields at an upload route", "[crowd-upload-fields]") {
  CheckHoldsUnder(SendManyFields, kUpload);
}
TEST_CASE("heads of many short fields at a path without a route", "[crowd-no-route-fields]") {
  CheckHoldsUnder(SendManyFields, kNoRoute);
}
TEST_CASE("heads of many short fields at readiness", "[crowd-readiness-fields]") {
  CheckHoldsUnder(SendManyFields, kReadiness);
}
TEST_CASE("heads of many short fields at the address question", "[crowd-directory-fields]") {
  CheckHoldsUnder(SendManyFields, kDirectory);
}
TEST_CASE("heads of many short fields at the port between instances", "[crowd-snapshot-fields]") {
  CheckHoldsUnder(SendManyFields, kSnapshot);
}
TEST_CASE("heads of many short fields at the metrics port", "[crowd-metrics-fields]") {
  CheckHoldsUnder(SendManyFields, kMetrics);
}

// Guards against connections whose end is not noticed, or which stay for a request that never ends.
TEST_CASE("callers that stop half-way at an upload route", "[crowd-upload-half-way]") {
  CheckHoldsUnder(StopHalfWay, kUpload);
}
TEST_CASE("callers that stop half-way at a path without a route", "[crowd-no-route-half-way]") {
  CheckHoldsUnder(StopHalfWay, kNoRoute);
}
TEST_CASE("callers that stop half-way at readiness", "[crowd-readiness-half-way]") {
  CheckHoldsUnder(StopHalfWay, kReadiness);
}
TEST_CASE("callers that stop half-way at the address question", "[crowd-directory-half-way]") {
  CheckHoldsUnder(StopHalfWay, kDirectory);
}
TEST_CASE("callers that stop half-way at the port between instances", "[crowd-snapshot-half-way]") {
  CheckHoldsUnder(StopHalfWay, kSnapshot);
}
TEST_CASE("callers that stop half-way at the metrics port", "[crowd-metrics-half-way]") {
  CheckHoldsUnder(StopHalfWay, kMetrics);
}

// Guards against responses that are queued without bound, and against connections that keep the
// event loop busy alone.
TEST_CASE("thousands of requests ahead at an upload route", "[crowd-upload-ahead]") {
  CheckHoldsUnder(SendRequestsAhead, kUpload);
}
TEST_CASE("thousands of requests ahead at a path without a route", "[crowd-no-route-ahead]") {
  CheckHoldsUnder(SendRequestsAhead, kNoRoute);
}
TEST_CASE("thousands of requests ahead at readiness", "[crowd-readiness-ahead]") {
  CheckHoldsUnder(SendRequestsAhead, kReadiness);
}
TEST_CASE("thousands of requests ahead at the address question", "[crowd-directory-ahead]") {
  CheckHoldsUnder(SendRequestsAhead, kDirectory);
}
TEST_CASE("thousands of requests ahead at the port between instances", "[crowd-snapshot-ahead]") {
  CheckHoldsUnder(SendRequestsAhead, kSnapshot);
}
TEST_CASE("thousands of requests ahead at the metrics port", "[crowd-metrics-ahead]") {
  CheckHoldsUnder(SendRequestsAhead, kMetrics);
}

}  // namespace
}  // namespace primroseweir::testing
