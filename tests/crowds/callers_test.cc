// Crowds that read slowly, and crowds that connect without a request.
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "platform/crowded_site.h"
#include "support/crowd_requests.h"

namespace primroseweir::testing {
namespace {

constexpr int kReaders = 300;

// More than the callers, their upstream connections and those of a crowd of uploads.
CrowdedSite::Limits ManyReaders() {
  CrowdedSite::Limits limits;
  limits.descriptors = 1200;
  limits.upstream_slots = 400;
  return limits;
}

void ReadSlowly(Crowd* readers) {
  for (int i = 0; i < 30; ++i) {
    readers->ReadByte();
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
}

// Guards against parts of responses that are held for each caller that does not read, while they
// are buffered before they are forwarded and after that.
TEST_CASE("slow readers of large responses", "[crowd-slow-downloads]") {
  CrowdedSite site(ManyReaders());
  auto& readers = site.AddCrowd(site.CallerAddress(0), kReaders);
  readers.Send(GetRequest("/read/large"), kLargePiece);
  ReadSlowly(&readers);
  site.CheckHolds();
}

// Guards the same for responses that are not repeated, while bodies a byte short hold the memory.
TEST_CASE("slow readers of large responses beside bodies a byte short",
          "[crowd-slow-downloads-bodies]") {
  CrowdedSite site(ManyReaders());
  site.AddCrowd(site.CallerAddress(0), 60)
      .Send(ByteShort("/read/x", site.limits().body_bytes), kLargePiece);
  auto& readers = site.AddCrowd(site.CallerAddress(0), kReaders);
  readers.Send(GetRequest("/book/large"), kLargePiece);
  ReadSlowly(&readers);
  site.CheckHolds();
}

// Guards against large responses that are held until their turn on their connection.
TEST_CASE("slow readers with requests for large responses ahead", "[crowd-downloads-ahead]") {
  CrowdedSite site(ManyReaders());
  auto& readers = site.AddCrowd(site.CallerAddress(0), 60);
  readers.Send(Repeat(GetRequest("/read/large"), 20), kLargePiece);
  ReadSlowly(&readers);
  site.CheckHolds();
}

// Guards against descriptors of connections that have ended before they were accepted or used.
TEST_CASE("callers that connect and reset at once", "[crowd-connect-reset]") {
  CrowdedSite site;
  for (const auto& address :
       {site.CallerAddress(0), site.ReadinessAddress(0), site.DirectoryAddress(0),
        site.SnapshotAddress(0), site.MetricsAddress(0)}) {
    ConnectAndReset(address, 100, 50, [&] { site.Observe(); });
  }
  site.CheckHolds();
}

}  // namespace
}  // namespace primroseweir::testing
