#include "primroseweir/customers/customer_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

absl::Status InvalidError(const CustomerName& customer, const std::string& reason) {
  return MakeError(absl::StatusCode::kInvalidArgument, {"customers", ""},
                   "customer " + customer.value() + ": " + reason);
}

// Bounds of the weights. A customer with a very small rate would otherwise wait for thousands of
// calls of others after each of its own.
constexpr double kMinWeight = 0.1;
constexpr double kMaxWeight = 10;

void SetWeights(std::vector<Customer>* customers) {
  double sum = 0;
  double count = 0;
  for (const auto& customer : *customers) {
    sum += customer.has_quota() ? std::sqrt(customer.rate) : 0;
    count += customer.has_quota() ? 1 : 0;
  }
  for (auto& customer : *customers) {
    customer.weight = customer.has_quota() ? std::clamp(std::sqrt(customer.rate) * count / sum,
                                                        kMinWeight, kMaxWeight)
                                           : 1;
  }
}

}  // namespace

absl::StatusOr<std::shared_ptr<const CustomerTable>> CustomerTable::Create(
    std::vector<Entry> entries) {
  std::shared_ptr<CustomerTable> table(new CustomerTable);
  for (auto& entry : entries) {
    const auto& name = entry.customer.name;
    if (name.empty() || !table->by_name_.emplace(name.value(), table->customers_.size()).second) {
      return InvalidError(name, "name is empty or occurs twice");
    }
    for (const auto& key : entry.keys) {
      if (key.empty()) {
        return InvalidError(name, "empty key");
      }
      const auto [held, is_new] =
          table->by_key_.emplace(KeyDigest::Of(key), table->customers_.size());
      table->max_key_bytes_ = std::max(table->max_key_bytes_, key.size());
      if (!is_new && held->second != table->customers_.size()) {
        return InvalidError(
            name, "shares a key with customer " + table->customers_[held->second].name.value());
      }
    }
    entry.customer.hash = StableHash(name.value());
    table->customers_.push_back(std::move(entry.customer));
  }
  SetWeights(&table->customers_);
  return std::shared_ptr<const CustomerTable>(std::move(table));
}

const Customer* CustomerTable::FindByName(const std::string& name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &customers_[found->second];
}

const Customer* CustomerTable::FindByKey(std::string_view key) const {
  if (key.size() > max_key_bytes_) {
    return nullptr;
  }
  const auto found = by_key_.find(KeyDigest::Of(key));
  return found == by_key_.end() ? nullptr : &customers_[found->second];
}

}  // namespace primroseweir
