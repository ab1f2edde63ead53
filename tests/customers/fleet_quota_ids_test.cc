// What identifies customers in reports, and how much room reports take.
#include <catch2/catch.hpp>
#include <string>
#include <unordered_map>
#include <utility>

#include "primroseweir/base/rendezvous.h"
#include "primroseweir/customers/fleet_quota.h"
#include "quota_calls.h"
#include "quota_fleet.h"

namespace primroseweir::testing {
namespace {

// Returns two names whose hashes have the same lowest 32 bits.
std::pair<std::string, std::string> CollidingNames() {
  std::unordered_map<std::uint32_t, std::string> names;
  for (int i = 0;; ++i) {
    auto name = "customer-" + std::to_string(i);
    const auto [other, is_new] =
        names.try_emplace(static_cast<std::uint32_t>(StableHash(name)), name);
    if (!is_new) {
      return {other->second, name};
    }
  }
}

// Guards against two customers that use up one limit, and against instances that give them
// different ids because their configurations list them in another order.
TEST_CASE("customers with the same bits of their hashes have limits of their own", "[customers]") {
  const auto [first, second] = CollidingNames();
  const auto forward = *CustomerTable::Create({MakeQuota(first, 1, 10), MakeQuota(second, 1, 10)});
  const auto backward = *CustomerTable::Create({MakeQuota(second, 1, 10), MakeQuota(first, 1, 10)});
  Instant now(std::chrono::hours(1));
  FleetQuota a(1);
  FleetQuota b(2);
  a.Apply(forward.get(), now);
  b.Apply(backward.get(), now);
  now += FleetQuota::kStateRetention;
  std::size_t admitted = 0;
  for (int i = 0; i < 10; ++i) {
    now += std::chrono::seconds(1);
    admitted += a.TryAcquire(*forward->FindByName(first), 0, now).admitted ? 1 : 0;
  }
  REQUIRE(admitted >= 5);
  CHECK(a.active_customers() == 1);
  CHECK(b.TryAcquire(*backward->FindByName(first), 0, now).admitted);
  CHECK(b.TryAcquire(*backward->FindByName(second), 0, now).admitted);
  CHECK(b.active_customers() == 2);
  const auto usage = a.UsageToReport(now);
  REQUIRE(usage->customers.size() == 1);
  b.MergeUsage(1, Incarnation(1), *usage, now);
  // The report counts for the customer that it was made for.
  const auto of_b = b.UsageToReport(now);
  REQUIRE(of_b->customers.size() == 2);
  CHECK(of_b->customers[0].customer != of_b->customers[1].customer);
  a.TryAcquire(*forward->FindByName(second), 0, now);
  const auto of_a = a.UsageToReport(now);
  for (const auto& entry : of_a->customers) {
    const bool is_known = entry.customer == of_b->customers[0].customer ||
                          entry.customer == of_b->customers[1].customer;
    CHECK(is_known);
  }
}

}  // namespace
}  // namespace primroseweir::testing
