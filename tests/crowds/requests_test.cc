// Crowds that send heads, many requests, or little at all.
#include <catch2/catch.hpp>
#include <string>

#include "platform/crowded_site.h"
#include "support/crowd_requests.h"

namespace primroseweir::testing {
namespace {

constexpr char kReadHead[] =
    "GET /read/x HTTP/1.1\r\nHost: desk\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 60000\r\n";

// Guards against heads that are legal in size but need many times that size once they are parsed.
TEST_CASE("heads of very many short fields with bodies without end", "[crowd-heads-finished]") {
  CrowdedSite site;
  const auto start =
      "POST /read/x HTTP/1.1\r\nHost: desk\r\nX-Request-Id: crowd\r\nX-Deadline-Ms: 60000\r\n"
      "Content-Length: 100000\r\n";
  site.AddCrowd(site.CallerAddress(0), 150)
      .Send(ManyFields(start, site.limits().head_bytes) + "\r\n" + std::string(70000, 'x'),
            kLargePiece);
  site.CheckHolds();
}

// Guards the same for heads that do not end, which hold their connections for the whole time-out.
TEST_CASE("heads of very many short fields that do not end", "[crowd-heads-unfinished]") {
  CrowdedSite site;
  site.AddCrowd(site.CallerAddress(0), 150)
      .Send(ManyFields(kReadHead, site.limits().head_bytes), kKilobyte);
  site.AddCrowd(site.DirectoryAddress(0), 40)
      .Send(ManyFields("GET / HTTP/1.1\r\n", 16 * kKilobyte), kKilobyte);
  site.CheckHolds();
}

// Guards against a limit on the number of fields that the operators' limits do not name.
TEST_CASE("a head of the full legal size with many short fields is served", "[crowd-calm-head]") {
  CrowdedSite site;
  // Leaves room for the fields that every request has.
  const int fields = 2500;
  std::vector<standins::HeaderField> short_fields;
  for (int i = 0; i < fields; ++i) {
    short_fields.push_back({"a", "b"});
  }
  const auto response = site.Request("GET", "/read/x", "", short_fields);
  CHECK(response.head.status == 200);
  site.CheckHolds();
}

// Guards against responses that are queued without bound, and against connections that keep the
// event loop busy alone.
TEST_CASE("thousands of requests ahead with nothing read", "[crowd-requests-ahead]") {
  CrowdedSite site;
  site.AddCrowd(site.CallerAddress(0), 60)
      .Send(Repeat(std::string(kReadHead) + "\r\n", 5000), kLargePiece);
  site.AddCrowd(site.CallerAddress(0), 60)
      .Send(Repeat("GET /none HTTP/1.1\r\nHost: desk\r\n\r\n", 5000), kLargePiece);
  site.CheckHolds();
}

// Guards the same at the ports of the pages, where a short request has a long response.
TEST_CASE("thousands of requests ahead at the ports of the pages", "[crowd-requests-ahead-pages]") {
  CrowdedSite site;
  site.AddCrowd(site.MetricsAddress(0), 100)
      .Send(Repeat("GET /metrics HTTP/1.1\r\nHost: desk\r\n\r\n", 5000), kLargePiece);
  site.AddCrowd(site.DirectoryAddress(0), 60)
      .Send(Repeat("GET /primroseweir/resolve?name=desk HTTP/1.1\r\nHost: desk\r\n\r\n", 5000),
            kLargePiece);
  site.CheckHolds();
}

// Guards against slow callers that are taken for ordinary ones for good, and against bytes that are
// copied for each new byte.
TEST_CASE("readers and senders of a byte at a time, and half-closed connections",
          "[crowd-byte-at-a-time]") {
  CrowdedSite site;
  const auto request = std::string(kReadHead) + "\r\n";
  site.AddCrowd(site.CallerAddress(0), 50).Send(request.substr(0, request.size() - 1), 1);
  auto& readers = site.AddCrowd(site.CallerAddress(0), 50);
  readers.Send(Repeat(request, 20), kLargePiece);
  for (int i = 0; i < 20; ++i) {
    readers.ReadByte();
  }
  auto& half_closed = site.AddCrowd(site.CallerAddress(0), 40);
  half_closed.Send(request + "GET /read/x HT", kLargePiece);
  half_closed.ShutdownWrite();
  site.CheckHolds();
}

// Guards against connections without a request that use up all descriptors.
TEST_CASE("silent connections at the port for callers", "[crowd-silent-callers]") {
  CrowdedSite site;
  site.AddCrowd(site.CallerAddress(0), 450).Send("", 1);
  site.AddCrowd(site.CallerAddress(0), 50).Send("GET /read/x HT", 1);
  site.CheckHolds();
}

// Guards against limits of each port that together exceed the descriptors of the machine.
TEST_CASE("silent connections at all ports", "[crowd-silent-all-ports]") {
  CrowdedSite site;
  for (const auto& address :
       {site.CallerAddress(0), site.ReadinessAddress(0), site.DirectoryAddress(0),
        site.SnapshotAddress(0), site.MetricsAddress(0)}) {
    site.AddCrowd(address, 100).Send("", 1);
  }
  site.CheckHolds();
}

}  // namespace
}  // namespace primroseweir::testing
