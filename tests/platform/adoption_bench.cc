// Measures the processor time and the memory of adopting a configuration of the platform with many
// routes and customers, and of the look-ups for a call.
#include <malloc.h>

#include <chrono>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "primroseweir/customers/customer_table.h"
#include "primroseweir/routes/route_table.h"
#include "store_decoder.h"

namespace primroseweir {
namespace {

using Json = nlohmann::json;

constexpr int kRoutes = 1400;
constexpr int kCustomers = 80;
constexpr int kKeysPerCustomer = 2;
constexpr int kVersions = 30;
constexpr int kCalls = 20'000;

std::string KeyOf(int customer, int number) {
  return "key-" + std::to_string(customer * kKeysPerCustomer + number) + "-0123456789abcdef";
}

std::string ConfigurationText(int version) {
  char digits[16];
  std::snprintf(digits, sizeof digits, "%08x", version);
  Json routes = Json::array();
  for (int i = 0; i < kRoutes; ++i) {
    routes.push_back({{"name", "route-" + std::to_string(i)},
                      {"host", "desk.example"},
                      {"prefix", "/idle/" + std::to_string(i) + "/"},
                      {"service", "reads"},
                      {"kind", "idempotent"},
                      {"timeoutMs", 3000 + version % 7},
                      {"sloMs", 400},
                      {"maxAttempts", 2},
                      {"priority", 1}});
  }
  Json customers = Json::array();
  for (int i = 0; i < kCustomers; ++i) {
    customers.push_back({{"name", "customer-" + std::to_string(i)},
                         {"apiKeys", {KeyOf(i, 0), KeyOf(i, 1)}},
                         {"ratePerS", 100},
                         {"burst", 20}});
  }
  return Json({{"version", digits},
               {"routes", routes},
               {"services", Json::array({{{"name", "reads"}, {"healthPath", "/health"}}})},
               {"limits",
                {{"maxHeaderBytes", 16384},
                 {"maxBodyBytes", 1048576},
                 {"headerTimeoutMs", 5000},
                 {"idleTimeoutMs", 30000}}},
               {"tenants", customers}})
      .dump();
}

double ProcessorMilliseconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

std::size_t AllocatedBytes() { return mallinfo2().uordblks + mallinfo2().hblkhd; }

template <typename Action>
double MicrosecondsOf(int count, const Action& action) {
  const auto begin = ProcessorMilliseconds();
  for (int i = 0; i < count; ++i) {
    action(i);
  }
  return (ProcessorMilliseconds() - begin) * 1e3 / count;
}

int Run() {
  platform::StoreDecoder decoder;
  std::shared_ptr<const RouteTable> routes;
  const auto adopt = [&](const std::string& text, int revision) {
    const PublishedItem item{platform::kConfigurationKey, text,
                             Revision(static_cast<std::uint64_t>(revision))};
    routes = decoder.Decode({&item}, item.revision).state->routes;
  };
  std::vector<std::string> texts;
  for (int i = 0; i <= kVersions; ++i) {
    texts.push_back(ConfigurationText(i + 1));
  }
  const auto bytes_before = AllocatedBytes();
  adopt(texts[0], 1);
  std::printf("text: %zu bytes; routes: %d; keys: %d\n", texts[0].size(), kRoutes,
              kCustomers * kKeysPerCustomer);
  std::printf("memory of the adopted table: %zu bytes\n", AllocatedBytes() - bytes_before);
  std::printf("JSON syntax alone: %.0f us\n", MicrosecondsOf(kVersions, [&](int i) {
                return Json::parse(texts[static_cast<std::size_t>(i) + 1]).size();
              }));
  std::printf("adopting a version: %.0f us\n", MicrosecondsOf(kVersions, [&](int i) {
                adopt(texts[static_cast<std::size_t>(i) + 1], i + 2);
              }));
  std::size_t found = 0;
  std::printf("route of a call: %.2f us\n", MicrosecondsOf(kCalls, [&](int i) {
                const auto target = "/idle/" + std::to_string(i % kRoutes) + "/1";
                found += routes->Find("desk.example", target) != nullptr ? 1 : 0;
              }));
  std::printf("customer of a key: %.2f us\n", MicrosecondsOf(kCalls, [&](int i) {
                const auto key = KeyOf(i % kCustomers, i % kKeysPerCustomer);
                found += routes->customers()->FindByKey(key) != nullptr ? 1 : 0;
              }));
  return found == 2 * static_cast<std::size_t>(kCalls) ? 0 : 1;
}

}  // namespace
}  // namespace primroseweir

int main() { return primroseweir::Run(); }
