#ifndef PRIMROSEWEIR_TESTS_PLATFORM_CROWDED_SITE_H_
#define PRIMROSEWEIR_TESTS_PLATFORM_CROWDED_SITE_H_

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <list>
#include <string>
#include <thread>
#include <utility>

#include "platform/draining_upstream.h"
#include "platform/platform_site.h"
#include "support/crowd.h"
#include "support/crowd_requests.h"

namespace primroseweir::testing {

// One instance on a small machine, with an upstream that reads everything, and the routes /read/
// (idempotent), /book/ (non-idempotent) and /upload/. Checks what must hold under any crowd.
class CrowdedSite : public PlatformSite {
 public:
  struct Limits {
    std::size_t memory_megabytes = 64;
    std::size_t descriptors = 400;
    std::size_t body_bytes = 4 * kMegabyte;
    std::size_t head_bytes = 16 * kKilobyte;
    // Calls that the upstream serves at a time.
    int upstream_slots = 200;
  };

  CrowdedSite() : CrowdedSite(Limits()) {}
  explicit CrowdedSite(const Limits& limits)
      : PlatformSite(1, kStorePort,
                     {{"memoryMb", limits.memory_megabytes}, {"maxFds", limits.descriptors}}),
        limits_(limits),
        upstream_("u1", Address(200, 9000)) {
    const Json entry = {{"service", "all"},
                        {"address", Address(200, 9000).ToString()},
                        {"zone", "dc0"},
                        {"version", "v1"},
                        {"maxConcurrency", limits.upstream_slots},
                        {"state", "ready"},
                        {"coldMs", 0},
                        {"born", 1700000000000},
                        {"sequence", 1}};
    SendCommand("/put", {{"key", "servers/u1"}, {"value", entry.dump()}});
    SendCommand("/put", {{"key", "op/config"}, {"value", Configuration().dump()}});
    REQUIRE(WaitUntilReady(0));
    calm_bytes_ = Instance(0).ResidentBytes();
  }

  // Adds a crowd that stays until the end of the test.
  Crowd& AddCrowd(const SocketAddress& address, int size) {
    return crowds_.emplace_back(address, size, [this] { Observe(); });
  }

  // Checks the bounds and that an ordinary caller is served while the crowd stays, and prints what
  // was measured. The bounds are checked again after a further second, since the process may still
  // be busy with what the crowd has sent.
  void CheckHolds() {
    Observe();
    const bool is_alive = Instance(0).Running();
    const int status = is_alive ? OrdinaryStatus() : 0;
    const auto readiness =
        standins::Get(ReadinessAddress(0), "/primroseweir/readiness", kCallTimeout);
    const int ready_status = readiness.ok() ? readiness->head.status : 0;
    for (int i = 0; i < 100; ++i) {
      Observe();
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    const auto metrics = MetricsPage();
    std::cout << "crowd: alive=" << is_alive << " ordinary=" << status << " ready=" << ready_status
              << " calm_mb=" << calm_bytes_ / kMegabyte << " peak_mb=" << peak_bytes_ / kMegabyte
              << " bound_mb=" << limits_.memory_megabytes << " descriptors=" << max_descriptors_
              << " bound=" << limits_.descriptors << " account_peak_mb="
              << ValueOf("primroseweir_peer_memory_peak_bytes", metrics) / kMegabyte
              << " longest_turn_s=" << ValueOf("primroseweir_longest_turn_seconds", metrics)
              << std::endl;
    CHECK(Instance(0).Running());
    CHECK(peak_bytes_ < limits_.memory_megabytes * kMegabyte);
    CHECK(max_descriptors_ < limits_.descriptors);
    CHECK(status == 200);
    CHECK(ready_status == 200);
  }

  // Sends one request on a new connection, with `fields` in its head. Returns the response; status
  // 0 without one.
  standins::HttpResponse Request(const std::string& method, const std::string& target,
                                 const std::string& body,
                                 const std::vector<standins::HeaderField>& fields = {}) {
    standins::HttpHead head;
    head.method = method;
    head.target = target;
    head.fields = {{"Host", "desk"}, {"X-Request-Id", "ordinary"}, {"X-Deadline-Ms", "30000"}};
    head.fields.insert(head.fields.end(), fields.begin(), fields.end());
    const auto response = standins::Fetch(CallerAddress(0), head, body, std::chrono::seconds(30));
    return response.ok() ? *response : standins::HttpResponse();
  }

  // Observes the process once.
  void Observe() {
    std::error_code error;
    const std::filesystem::directory_iterator descriptors(
        "/proc/" + std::to_string(Instance(0).pid()) + "/fd", error);
    if (!error) {
      max_descriptors_ =
          std::max(max_descriptors_,
                   static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors))));
    }
    peak_bytes_ = std::max(peak_bytes_, Instance(0).MaxResidentBytes());
  }

  int OrdinaryStatus() { return Request("GET", "/read/ordinary", "").head.status; }

  const Limits& limits() const { return limits_; }

 private:
  std::string MetricsPage() const {
    const auto response = standins::Get(MetricsAddress(0), "/metrics", kCallTimeout);
    return response.ok() ? response->body : "";
  }

  // Returns the value of a metric without labels; 0 if the page lacks it.
  static double ValueOf(const std::string& name, const std::string& page) {
    const auto position = page.find("\n" + name + " ");
    return position == std::string::npos
               ? 0
               : std::strtod(page.c_str() + position + name.size() + 2, nullptr);
  }

  Json Configuration() const {
    const auto route = [](const std::string& prefix, const std::string& kind) {
      return Json{{"name", prefix},   {"host", "desk"},   {"prefix", prefix},
                  {"service", "all"}, {"kind", kind},     {"timeoutMs", 60000},
                  {"sloMs", 10000},   {"maxAttempts", 2}, {"priority", 1}};
    };
    return {{"version", "00000001"},
            {"routes",
             {route("/read/", "idempotent"), route("/book/", "non_idempotent"),
              route("/upload/", "upload")}},
            {"services",
             {{{"name", "all"},
               {"healthPath", "/health"},
               {"maxConnections", limits_.upstream_slots},
               {"warmupS", 1},
               {"coldPerS", 500}}}},
            {"limits",
             {{"maxHeaderBytes", limits_.head_bytes},
              {"maxBodyBytes", limits_.body_bytes},
              {"headerTimeoutMs", 30000},
              {"idleTimeoutMs", 30000}}}};
  }

  const Limits limits_;
  DrainingUpstream upstream_;
  std::uint64_t calm_bytes_ = 0;
  std::uint64_t peak_bytes_ = 0;
  std::size_t max_descriptors_ = 0;
  std::list<Crowd> crowds_;
};

}  // namespace primroseweir::testing

#endif  // PRIMROSEWEIR_TESTS_PLATFORM_CROWDED_SITE_H_
