// Crowds of misbehaving callers at the ports of primroseweir-entry.
#include <sys/resource.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <list>
#include <string>
#include <utility>

#include "support/crowd.h"
#include "support/site.h"

namespace primroseweir::testing {
namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = kKilobyte * 1024;
constexpr std::size_t kLargePiece = 64 * kKilobyte;
// The smallest machine has 160 MB.
constexpr std::size_t kMaxMemoryBytes = 160 * kMegabyte;
// Small, so that a small crowd can use all of them.
constexpr std::size_t kMaxDescriptors = 400;

SitePlan OneEntryPlan() {
  SitePlan plan;
  plan.name = "entry-crowds";
  plan.data_centres = {"krems"};
  ServicePlan reads;
  reads.name = "ice-board";
  reads.prefix = "ib";
  reads.upstreams = 2;
  ServicePlan bookings = reads;
  bookings.name = "booking-ledger";
  bookings.prefix = "bl";
  bookings.idempotent = false;
  plan.services = {reads, bookings};
  return plan;
}

// One entry instance with few descriptors. Checks what must hold under any crowd.
class CrowdedEntry : public Site {
 public:
  CrowdedEntry() : Site(OneEntryPlan()) {
    const rlimit limit{kMaxDescriptors, kMaxDescriptors};
    REQUIRE(prlimit(entry(0).pid(), RLIMIT_NOFILE, &limit, nullptr) == 0);
    REQUIRE(WaitUntil([this] { return OrdinaryStatus() == 200; }, std::chrono::seconds(15)));
    calm_bytes_ = entry(0).ResidentBytes();
  }

  // Adds a crowd that stays until the end of the test.
  Crowd& AddCrowd(const SocketAddress& address, int size) {
    return crowds_.emplace_back(address, size, [this] { Observe(); });
  }

  // Checks the bounds and that an ordinary caller and an operator are served while the crowd stays,
  // and prints what was measured.
  void CheckHolds() {
    Observe();
    const int status = entry(0).Running() ? OrdinaryStatus() : 0;
    const auto page = Admin(0, "/status");
    const int admin_status = page.ok() ? page->head.status : 0;
    Observe();
    std::cout << "crowd: alive=" << entry(0).Running() << " ordinary=" << status
              << " admin=" << admin_status << " calm_mb=" << calm_bytes_ / kMegabyte
              << " peak_mb=" << entry(0).MaxResidentBytes() / kMegabyte
              << " bound_mb=" << kMaxMemoryBytes / kMegabyte << " descriptors=" << max_descriptors_
              << " bound=" << kMaxDescriptors << std::endl;
    CHECK(entry(0).Running());
    CHECK(entry(0).MaxResidentBytes() < kMaxMemoryBytes);
    CHECK(max_descriptors_ < kMaxDescriptors);
    CHECK(status == 200);
    CHECK(admin_status == 200);
  }

  int OrdinaryStatus() const {
    standins::HttpHead head;
    head.method = "GET";
    head.target = "/ice-board/read/a";
    head.fields = {{"Host", "desk"}, {"Primroseweir-Deadline-Ms", "20000"}};
    const auto response = standins::Fetch(CallerAddress(0), head, "", std::chrono::seconds(20));
    return response.ok() ? response->head.status : 0;
  }

  SocketAddress PeerAddress() const {
    auto address = CallerAddress(0);
    address.port = 8081;
    return address;
  }

 private:
  void Observe() {
    std::error_code error;
    const std::filesystem::directory_iterator descriptors(
        "/proc/" + std::to_string(entry(0).pid()) + "/fd", error);
    if (!error) {
      max_descriptors_ =
          std::max(max_descriptors_,
                   static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors))));
    }
  }

  std::uint64_t calm_bytes_ = 0;
  std::size_t max_descriptors_ = 0;
  std::list<Crowd> crowds_;
};

std::string HeadOf(const std::string& target, const std::string& framing) {
  return "POST " + target + " HTTP/1.1\r\nHost: desk\r\nPrimroseweir-Deadline-Ms: 60000\r\n" +
         framing + "\r\n\r\n";
}

// Returns a request with a body of `size` bytes that lacks its last byte.
std::string ByteShort(const std::string& target, std::size_t size) {
  return HeadOf(target, "Content-Length: " + std::to_string(size)) + std::string(size - 1, 'x');
}

std::string Repeat(const std::string& text, int count) {
  std::string result;
  for (int i = 0; i < count; ++i) {
    result += text;
  }
  return result;
}

// Returns `start` followed by short header fields up to `size` bytes, without the empty line.
std::string ManyFields(const std::string& start, std::size_t size) {
  auto head = start;
  while (head.size() + 7 <= size) {
    head += "a:b\r\n";
  }
  return head;
}

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
