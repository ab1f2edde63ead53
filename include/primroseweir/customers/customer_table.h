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
  // A key longer than all known ones is unknown without its digest, so that a caller with long
  // fields costs no more than others.
  const Customer* FindByKey(std::string_view key) const;
  // Returns the customer of that name; null for an unknown one. Valid as long as the table.
  const Customer* FindByName(const std::string& name) const;

  const std::vector<Customer>& customers() const { return customers_; }

 private:
  CustomerTable() = default;

  std::vector<Customer> customers_;
  std::size_t max_key_bytes_ = 0;
  // Indices into customers_.
  std::unordered_map<std::string, std::size_t> by_name_;
  std::unordered_map<KeyDigest, std::size_t, KeyDigestHash> by_key_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_CUSTOMERS_CUSTOMER_TABLE_H_
