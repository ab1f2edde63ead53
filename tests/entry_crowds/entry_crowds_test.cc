// Crowds of misbehaving callers at the ports of primroseweir-entry.
#include <catch2/catch.hpp>

#include "crowded_entry.h"
#include "support/crowd_requests.h"

namespace primroseweir::testing {
namespace {

// Guards against bodies that are held for many callers until the memory is used up, and against
// incomplete ones that hold the slots of upstreams.
TEST_CASE("bodies a byte short at an entry instance", "[entry-crowd-bodies]") {
  CrowdedEntry site;
  site.AddCrowd(site.CallerAddress(0), 80)
      .Send(ByteShort("/booking-ledger/echo", 4 * kMegabyte), kLargePiece);
  site.AddCrowd(site.CallerAddress(0), 40).Send(ByteShort("/none/x", 4 * kMegabyte), 4 * kKilobyte);
  site.CheckHolds();
}

// Guards against heads that hold memory and threads without an end.
TEST_CASE("heads of many short fields without an end at an entry instance", "[entry-crowd-heads]") {
  CrowdedEntry site;
  site.AddCrowd(site.CallerAddress(0), 150)
      .Send(ManyFields("GET /ice-board/read/x HTTP/1.1\r\nHost: desk\r\n", 16 * kKilobyte),
            kKilobyte);
  site.CheckHolds();
}

// Guards against responses that are queued without bound.
TEST_CASE("thousands of requests ahead at an entry instance", "[entry-crowd-requests-ahead]") {
  CrowdedEntry site;
  site.AddCrowd(site.CallerAddress(0), 60)
      .Send(Repeat("GET /primroseweir/addresses HTTP/1.1\r\nHost: desk\r\n\r\n", 5000),
            kLargePiece);
  site.AddCrowd(site.CallerAddress(0), 60)
      .Send(Repeat("GET /none/x HTTP/1.1\r\nHost: desk\r\n\r\n", 5000), kLargePiece);
  site.CheckHolds();
}

// Guards against connections without a request that use up the descriptors or the threads.
TEST_CASE("silent connections at an entry instance", "[entry-crowd-silent]") {
  CrowdedEntry site;
  site.AddCrowd(site.CallerAddress(0), 500).Send("", 1);
  site.CheckHolds();
}

// Guards against slow senders that are taken for ordinary callers for good.
TEST_CASE("senders of a byte at a time at an entry instance", "[entry-crowd-byte-at-a-time]") {
  CrowdedEntry site;
  site.AddCrowd(site.CallerAddress(0), 450).Send("GET /ice-board/read/x HTTP/1.1\r\nHost: desk", 1);
  site.CheckHolds();
}

// Guards against the library of the admin port, which may buffer heads and bodies without bound.
TEST_CASE("heads and bodies without end at the admin port", "[entry-crowd-admin]") {
  CrowdedEntry site;
  site.AddCrowd(site.AdminAddress(0), 40)
      .Send(ManyFields("GET /status HTTP/1.1\r\nHost: desk\r\n", 8 * kMegabyte), kLargePiece);
  site.AddCrowd(site.AdminAddress(0), 40).Send(ByteShort("/status", 4 * kMegabyte), kLargePiece);
  site.AddCrowd(site.AdminAddress(0), 20)
      .Send("GET /" + std::string(8 * kMegabyte, 'x'), kLargePiece);
  site.CheckHolds();
}

// Guards the same at the port between instances.
TEST_CASE("heads and bodies without end at the peer port", "[entry-crowd-peer]") {
  CrowdedEntry site;
  site.AddCrowd(site.PeerAddress(), 40)
      .Send(ManyFields("POST / HTTP/1.1\r\nHost: desk\r\n", 8 * kMegabyte), kLargePiece);
  site.AddCrowd(site.PeerAddress(), 40).Send(ByteShort("/", 4 * kMegabyte), kLargePiece);
  site.AddCrowd(site.PeerAddress(), 20)
      .Send("GET /" + std::string(8 * kMegabyte, 'x'), kLargePiece);
  site.CheckHolds();
}

// Guards against connections at the ports of operators and peers that use up the descriptors.
TEST_CASE("silent connections at the admin and peer ports", "[entry-crowd-silent-ports]") {
  CrowdedEntry site;
  site.AddCrowd(site.AdminAddress(0), 250).Send("", 1);
  site.AddCrowd(site.PeerAddress(), 250).Send("", 1);
  site.CheckHolds();
}

}  // namespace
}  // namespace primroseweir::testing
