#ifndef PRIMROSEWEIR_TESTS_ENTRY_CROWDS_CROWDED_ENTRY_H_
#define PRIMROSEWEIR_TESTS_ENTRY_CROWDS_CROWDED_ENTRY_H_

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
#include "support/crowd_requests.h"
#include "support/site.h"

namespace primroseweir::testing {

// The smallest machine has 160 MB.
constexpr std::size_t kMaxMemoryBytes = 160 * kMegabyte;
// Small, so that a small crowd can use all of them.
constexpr std::size_t kMaxDescriptors = 400;

inline SitePlan OneEntryPlan() {
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

  // Observes the process once.
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

  SocketAddress PeerAddress() const {
    auto address = CallerAddress(0);
    address.port = 8081;
    return address;
  }

 private:
  std::uint64_t calm_bytes_ = 0;
  std::size_t max_descriptors_ = 0;
  std::list<Crowd> crowds_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_ENTRY_CROWDS_CROWDED_ENTRY_H_
