// What each door of primroseweir-entry does with each shape of crowd.
#include <catch2/catch.hpp>
#include <string>

#include "crowded_entry.h"
#include "support/crowd_shapes.h"
#include "support/datagram_crowd.h"

namespace primroseweir::testing {
namespace {

struct Door {
  SocketAddress (*address)(const CrowdedEntry& site);
  const char* path;
};

SocketAddress Caller(const CrowdedEntry& site) { return site.CallerAddress(0); }
SocketAddress Admin(const CrowdedEntry& site) { return site.AdminAddress(0); }
SocketAddress Peer(const CrowdedEntry& site) { return site.PeerAddress(); }

constexpr Door kCaller{&Caller, "/booking-ledger/echo"};
constexpr Door kNoRoute{&Caller, "/none/x"};
constexpr Door kAddresses{&Caller, "/primroseweir/addresses"};
constexpr Door kAdmin{&Admin, "/status"};
constexpr Door kPeer{&Peer, "/"};

void CheckHoldsUnder(void (*send)(const CrowdTarget& target), const Door& door) {
  CrowdedEntry site;
  const auto address = door.address(site);
  send({[&](int size) -> Crowd& { return site.AddCrowd(address, size); }, door.path, 4 * kMegabyte,
        16 * kKilobyte});
  site.CheckHolds();
}

// Guards against bodies that are held whole for all callers together.
TEST_CASE("bodies a byte short in one piece at an entry route", "[entry-crowd-caller-one-piece]") {
  CheckHoldsUnder(SendBodiesInOnePiece, kCaller);
}
TEST_CASE("bodies a byte short in one piece at an entry path without a route",
          "[entry-crowd-no-route-one-piece]") {
  CheckHoldsUnder(SendBodiesInOnePiece, kNoRoute);
}
TEST_CASE("bodies a byte short in one piece at the entry's address question",
          "[entry-crowd-ready-one-piece]") {
  CheckHoldsUnder(SendBodiesInOnePiece, kAddresses);
}
TEST_CASE("bodies a byte short in one piece at the admin port",
          "[entry-crowd-admin-port-one-piece]") {
  CheckHoldsUnder(SendBodiesInOnePiece, kAdmin);
}
TEST_CASE("bodies a byte short in one piece at the peer port",
          "[entry-crowd-peer-port-one-piece]") {
  CheckHoldsUnder(SendBodiesInOnePiece, kPeer);
}

// Guards against buffers that grow by more than what arrived.
TEST_CASE("bodies a byte short in small pieces at an entry route",
          "[entry-crowd-caller-small-pieces]") {
  CheckHoldsUnder(SendBodiesInSmallPieces, kCaller);
}
TEST_CASE("bodies a byte short in small pieces at an entry path without a route",
          "[entry-crowd-no-route-small-pieces]") {
  CheckHoldsUnder(SendBodiesInSmallPieces, kNoRoute);
}
TEST_CASE("bodies a byte short in small pieces at the entry's address question",
          "[entry-crowd-ready-small-pieces]") {
  CheckHoldsUnder(SendBodiesInSmallPieces, kAddresses);
}
TEST_CASE("bodies a byte short in small pieces at the admin port",
          "[entry-crowd-admin-port-small-pieces]") {
  CheckHoldsUnder(SendBodiesInSmallPieces, kAdmin);
}
TEST_CASE("bodies a byte short in small pieces at the peer port",
          "[entry-crowd-peer-port-small-pieces]") {
  CheckHoldsUnder(SendBodiesInSmallPieces, kPeer);
}

// Guards against bodies without a stated length that are not counted before they are complete.
TEST_CASE("bodies in chunks without their end at an entry route", "[entry-crowd-caller-chunks]") {
  CheckHoldsUnder(SendBodiesInChunks, kCaller);
}
TEST_CASE("bodies in chunks without their end at an entry path without a route",
          "[entry-crowd-no-route-chunks]") {
  CheckHoldsUnder(SendBodiesInChunks, kNoRoute);
}
TEST_CASE("bodies in chunks without their end at the entry's address question",
          "[entry-crowd-ready-chunks]") {
  CheckHoldsUnder(SendBodiesInChunks, kAddresses);
}
TEST_CASE("bodies in chunks without their end at the admin port",
          "[entry-crowd-admin-port-chunks]") {
  CheckHoldsUnder(SendBodiesInChunks, kAdmin);
}
TEST_CASE("bodies in chunks without their end at the peer port", "[entry-crowd-peer-port-chunks]") {
  CheckHoldsUnder(SendBodiesInChunks, kPeer);
}

// Guards against reading of bodies that are rejected anyway.
TEST_CASE("bodies far over the limit at an entry route", "[entry-crowd-caller-too-large]") {
  CheckHoldsUnder(SendBodiesTooLarge, kCaller);
}
TEST_CASE("bodies far over the limit at an entry path without a route",
          "[entry-crowd-no-route-too-large]") {
  CheckHoldsUnder(SendBodiesTooLarge, kNoRoute);
}
TEST_CASE("bodies far over the limit at the entry's address question",
          "[entry-crowd-ready-too-large]") {
  CheckHoldsUnder(SendBodiesTooLarge, kAddresses);
}
TEST_CASE("bodies far over the limit at the admin port", "[entry-crowd-admin-port-too-large]") {
  CheckHoldsUnder(SendBodiesTooLarge, kAdmin);
}
TEST_CASE("bodies far over the limit at the peer port", "[entry-crowd-peer-port-too-large]") {
  CheckHoldsUnder(SendBodiesTooLarge, kPeer);
}

// Guards against heads that need many times their size once they are parsed.
TEST_CASE("heads of many short fields at an entry route", "[entry-crowd-caller-fields]") {
  CheckHoldsUnder(SendManyFields, kCaller);
}
TEST_CASE("heads of many short fields at an entry path without a route",
          "[entry-crowd-no-route-fields]") {
  CheckHoldsUnder(SendManyFields, kNoRoute);
}
TEST_CASE("heads of many short fields at the entry's address question",
          "[entry-crowd-ready-fields]") {
  CheckHoldsUnder(SendManyFields, kAddresses);
}
TEST_CASE("heads of many short fields at the admin port", "[entry-crowd-admin-port-fields]") {
  CheckHoldsUnder(SendManyFields, kAdmin);
}
TEST_CASE("heads of many short fields at the peer port", "[entry-crowd-peer-port-fields]") {
  CheckHoldsUnder(SendManyFields, kPeer);
}

// Guards against connections whose threads wait for a request that never ends.
TEST_CASE("callers that stop half-way at an entry route", "[entry-crowd-caller-half-way]") {
  CheckHoldsUnder(StopHalfWay, kCaller);
}
TEST_CASE("callers that stop half-way at an entry path without a route",
          "[entry-crowd-no-route-half-way]") {
  CheckHoldsUnder(StopHalfWay, kNoRoute);
}
TEST_CASE("callers that stop half-way at the entry's address question",
          "[entry-crowd-ready-half-way]") {
  CheckHoldsUnder(StopHalfWay, kAddresses);
}
TEST_CASE("callers that stop half-way at the admin port", "[entry-crowd-admin-port-half-way]") {
  CheckHoldsUnder(StopHalfWay, kAdmin);
}
TEST_CASE("callers that stop half-way at the peer port", "[entry-crowd-peer-port-half-way]") {
  CheckHoldsUnder(StopHalfWay, kPeer);
}

// Guards against responses that are queued without bound.
TEST_CASE("thousands of requests ahead at an entry route", "[entry-crowd-caller-ahead]") {
  CheckHoldsUnder(SendRequestsAhead, kCaller);
}
TEST_CASE("thousands of requests ahead at an entry path without a route",
          "[entry-crowd-no-route-ahead]") {
  CheckHoldsUnder(SendRequestsAhead, kNoRoute);
}
TEST_CASE("thousands of requests ahead at the entry's address question",
          "[entry-crowd-ready-ahead]") {
  CheckHoldsUnder(SendRequestsAhead, kAddresses);
}
TEST_CASE("thousands of requests ahead at the admin port", "[entry-crowd-admin-port-ahead]") {
  CheckHoldsUnder(SendRequestsAhead, kAdmin);
}
TEST_CASE("thousands of requests ahead at the peer port", "[entry-crowd-peer-port-ahead]") {
  CheckHoldsUnder(SendRequestsAhead, kPeer);
}

// Guards against descriptors and threads of connections that ended before they were used.
TEST_CASE("callers that connect to an entry and reset at once", "[entry-crowd-connect-reset]") {
  CrowdedEntry site;
  for (const auto& address : {site.CallerAddress(0), site.AdminAddress(0), site.PeerAddress()}) {
    ConnectAndReset(address, 60, 50, [&] { site.Observe(); });
  }
  site.CheckHolds();
}

// Guards against datagrams that are decoded before their signature is checked, and against replies
// to what was not signed.
TEST_CASE("large and malformed datagrams at the peer port", "[entry-crowd-datagrams]") {
  CrowdedEntry site;
  const auto deadline = MonotonicNow() + DatagramSender::kMaxFloodTime;
  const DatagramSender sender(site.network().Host(210, 0));
  const std::string headers[] = {"[", "{\"a\":", std::string("\xdd\0\xff\xff\xff", 5), "\x91"};
  for (int i = 0; i < 8000; ++i) {
    const auto& header = headers[static_cast<std::size_t>(i) % 4];
    const auto size = i % 2 == 0 ? DatagramSender::kMaxBytes : 1200;
    sender.Send(site.PeerAddress(), Repeat(header, static_cast<int>(size / header.size())),
                deadline);
    if (i % 50 == 0) {
      site.Observe();
    }
  }
  site.CheckHolds();
}

}  // namespace
}  // namespace primroseweir::testing
