// Crowds that send bodies.
#include <catch2/catch.hpp>
#include <string>

#include "platform/crowded_site.h"
#include "support/crowd_requests.h"

namespace primroseweir::testing {
namespace {

// Guards against bodies that are held whole for all callers together until the memory of the
// machine is used up.
TEST_CASE("bodies a byte short, sent in one piece", "[crowd-bodies-one-piece]") {
  CrowdedSite site;
  site.AddCrowd(site.CallerAddress(0), 60)
      .Send(ByteShort("/read/x", site.limits().body_bytes), site.limits().body_bytes * 2);
  site.CheckHolds();
}

// Guards the same for calls that are not repeated, with bodies that grow side by side.
TEST_CASE("bodies a byte short, sent in small pieces", "[crowd-bodies-small-pieces]") {
  CrowdedSite site;
  site.AddCrowd(site.CallerAddress(0), 60)
      .Send(ByteShort("/book/x", site.limits().body_bytes), kKilobyte * 4);
  site.CheckHolds();
}

// Guards against bodies without a stated length that are not counted before they are complete.
TEST_CASE("bodies a byte short, sent in chunks", "[crowd-bodies-chunks]") {
  CrowdedSite site;
  site.AddCrowd(site.CallerAddress(0), 60)
      .Send(ChunksWithoutEnd("/read/x", site.limits().body_bytes, 4 * kKilobyte), kLargePiece);
  site.CheckHolds();
}

// Guards against parsing that costs more memory for many small chunks than for few large ones.
TEST_CASE("bodies in chunks of one byte", "[crowd-bodies-byte-chunks]") {
  CrowdedSite site;
  site.AddCrowd(site.CallerAddress(0), 100)
      .Send(ChunksWithoutEnd("/book/x", 200 * kKilobyte, 1), kLargePiece);
  site.CheckHolds();
}

// Guards against streamed bodies that hold both their copy for a retry and the slots of upstreams.
TEST_CASE("uploads a byte short", "[crowd-uploads-byte-short]") {
  CrowdedSite site;
  site.AddCrowd(site.CallerAddress(0), 120)
      .Send(ByteShort("/upload/x", site.limits().body_bytes), kLargePiece);
  site.CheckHolds();
}

// Guards against reading of bodies that are rejected anyway.
TEST_CASE("bodies far over the limit, with a length and without end", "[crowd-bodies-too-large]") {
  CrowdedSite site;
  const auto size = site.limits().body_bytes;
  site.AddCrowd(site.CallerAddress(0), 60)
      .Send(ByteShort("/read/x", 8 * size).substr(0, 2 * size), kLargePiece);
  site.AddCrowd(site.CallerAddress(0), 60)
      .Send(ChunksWithoutEnd("/upload/x", 4 * size, 16 * kKilobyte), kLargePiece);
  site.CheckHolds();
}

// Guards against bodies that are held although no route matches.
TEST_CASE("bodies a byte short without a route", "[crowd-bodies-no-route]") {
  CrowdedSite site;
  site.AddCrowd(site.CallerAddress(0), 100)
      .Send(ByteShort("/none/x", site.limits().body_bytes), kLargePiece);
  site.CheckHolds();
}

// Guards against bodies sent to pages that have no use for them; each port had a limit of its own.
TEST_CASE("bodies a byte short at the ports of the pages", "[crowd-bodies-pages]") {
  CrowdedSite site;
  const auto body_bytes = kMegabyte;
  for (const auto& address : {site.ReadinessAddress(0), site.DirectoryAddress(0),
                              site.SnapshotAddress(0), site.MetricsAddress(0)}) {
    site.AddCrowd(address, 40).Send(ByteShort("/primroseweir/readiness", body_bytes), kLargePiece);
  }
  site.CheckHolds();
}

// Guards against a limit for all callers together that a single body of the operators' limit
// exceeds, as 48 MB did, and against two whole copies of it.
TEST_CASE("a body of the full legal size is served on a small machine", "[crowd-calm-large-body]") {
  CrowdedSite::Limits limits;
  limits.memory_megabytes = 160;
  limits.body_bytes = 64 * kMegabyte;
  CrowdedSite site(limits);
  const std::string body(limits.body_bytes, 'x');
  for (const auto* target : {"/read/x", "/book/x", "/upload/x"}) {
    const auto response = site.Request("POST", target, body);
    CHECK(response.head.status == 200);
    CHECK(response.body.find(" " + std::to_string(body.size()) + " bytes") != std::string::npos);
  }
  site.CheckHolds();
}

// Guards against limits on memory that ordinary uploads meet.
TEST_CASE("a hundred uploads at once are served", "[crowd-calm-uploads]") {
  CrowdedSite::Limits limits;
  limits.memory_megabytes = 160;
  CrowdedSite site(limits);
  auto& crowd = site.AddCrowd(site.CallerAddress(0), 100);
  crowd.Send(ByteShort("/upload/x", kMegabyte) + "x", kLargePiece);
  CHECK(crowd.CountResponses(200, std::chrono::seconds(30)) == 100);
  site.CheckHolds();
}

}  // namespace
}  // namespace primroseweir::testing
