#ifndef PRIMROSEWEIR_CUSTOMERS_CUSTOMER_TABLE_H_
#define PRIMROSEWEIR_CUSTOMERS_CUSTOMER_TABLE_H_

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "primroseweir/customers/customer.h"
#include "primroseweir/customers/key_digest.h"

namespace primroseweir {

// The customers of one configuration and their keys. Immutable once built.
class CustomerTable {
 public:
  struct Entry {
    Customer customer;
    // A customer without keys can make no calls.
    std::vector<std::string> keys;
  };

  // Errors: InvalidArgument for a customer that occurs twice, a key of two customers, or an empty
  // name or key. The error names the customers, never a key.
  static absl::StatusOr<std::shared_ptr<const CustomerTable>> Create(std::vector<Entry> entries);

  // Returns the customer that holds the key; null for an unknown key. Valid as long as the table.
  const Customer* FindByKey(std::string_view key) const { return Find(KeyDigest::Of(key)); }
  const Customer* Find(const KeyDigest& digest) const;

  const std::vector<Customer>& customers() const { return customers_; }

 private:
  CustomerTable() = default;

  std::vector<Customer> customers_;
  // Indices into customers_.
  std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> by_key_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CUSTOMERS_CUSTOMER_TABLE_H_
