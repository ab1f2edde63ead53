#include "primroseweir/customers/customer_table.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "primroseweir/base/error.h"

namespace primroseweir {
namespace {

CustomerTable::Entry MakeEntry(const std::string& name, std::vector<std::string> keys) {
  CustomerTable::Entry entry;
  entry.customer.name = CustomerName(name);
  entry.keys = std::move(keys);
  return entry;
}

// Guards against a key that is found for another customer, or found after it was withdrawn.
TEST_CASE("each key finds its customer", "[customers]") {
  const auto table =
      CustomerTable::Create({MakeEntry("a", {"key-1", "key-2"}), MakeEntry("b", {"key-3"})});
  REQUIRE(table.ok());
  REQUIRE((*table)->FindByKey("key-2") != nullptr);
  CHECK((*table)->FindByKey("key-2")->name == CustomerName("a"));
  CHECK((*table)->FindByKey("key-3")->name == CustomerName("b"));
  CHECK((*table)->FindByKey("key-4") == nullptr);
  CHECK((*table)->FindByKey("") == nullptr);
}

// Guards against customers without a quota that get no share, or all of it, beside those with one.
TEST_CASE("a customer's share grows with the root of its rate", "[customers]") {
  std::vector<CustomerTable::Entry> entries = {MakeEntry("a", {"key-1"}), MakeEntry("b", {"key-2"}),
                                               MakeEntry("c", {"key-3"})};
  entries[0].customer.rate = 100;
  entries[1].customer.rate = 4;
  entries.push_back(MakeEntry("d", {"key-4"}));
  entries[3].customer.rate = 1e-6;
  const auto table = CustomerTable::Create(std::move(entries));
  REQUIRE(table.ok());
  CHECK((*table)->customers()[0].weight == Approx(2.5).epsilon(0.01));
  CHECK((*table)->customers()[1].weight == Approx(0.5).epsilon(0.01));
  CHECK((*table)->customers()[2].weight == 1);
  CHECK((*table)->customers()[3].weight == Approx(0.1));
  const auto without_quotas = CustomerTable::Create({MakeEntry("a", {"key-1"})});
  REQUIRE(without_quotas.ok());
  CHECK((*without_quotas)->customers()[0].weight == 1);
}

// Guards against a key that is found by a part of it, or cut at its length, and against a removed
// customer that is still known by its name.
TEST_CASE("only a whole key or name finds its customer", "[customers]") {
  const auto table = CustomerTable::Create({MakeEntry("a", {"key", "key-longest"})});
  REQUIRE(table.ok());
  CHECK((*table)->FindByKey("key-longest") != nullptr);
  for (const char* key : {"ke", "key-", "key-longes", "key-longest ", "key-longestx", "KEY"}) {
    CHECK((*table)->FindByKey(key) == nullptr);
  }
  CHECK((*table)->FindByName("a") != nullptr);
  CHECK((*table)->FindByName("b") == nullptr);
}

// Guards against a configuration in which a call could be charged to either of two customers, and
// against a key in the reason, which is logged.
TEST_CASE("a key of two customers is rejected without naming the key", "[customers]") {
  const auto table =
      CustomerTable::Create({MakeEntry("a", {"secret-key"}), MakeEntry("b", {"secret-key"})});
  REQUIRE_FALSE(table.ok());
  CHECK(MessageOf(table.status()).find("secret-key") == std::string::npos);
  CHECK(MessageOf(table.status()).find("customer b") != std::string::npos);
}

// Guards against tables with entries that no key or name can tell apart.
TEST_CASE("repeated names and empty names or keys are rejected", "[customers]") {
  CHECK_FALSE(CustomerTable::Create({MakeEntry("a", {"1"}), MakeEntry("a", {"2"})}).ok());
  CHECK_FALSE(CustomerTable::Create({MakeEntry("", {"1"})}).ok());
  CHECK_FALSE(CustomerTable::Create({MakeEntry("a", {""})}).ok());
  CHECK(CustomerTable::Create({MakeEntry("a", {"1", "1"}), MakeEntry("b", {})}).ok());
}

}  // namespace
}  // namespace primroseweir
