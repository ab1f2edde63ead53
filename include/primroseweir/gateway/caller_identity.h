#ifndef PRIMROSEWEIR_GATEWAY_CALLER_IDENTITY_H_
#define PRIMROSEWEIR_GATEWAY_CALLER_IDENTITY_H_

#include <cstdint>
#include <optional>

#include "primroseweir/customers/customer.h"
#include "primroseweir/customers/key_digest.h"

namespace primroseweir {

class CustomerTable;
class HeaderFields;
struct CallHeaderNames;
struct Route;

// Who makes a call: a customer, by the key in the Authorization field, or an anonymous caller.
class CallerIdentity {
 public:
  // An anonymous caller of a configuration without customers.
  CallerIdentity() = default;

  // Identifies the caller of a request for `route`. `customers` is null if the configuration has
  // none; every caller is then allowed and anonymous. A field with another scheme, or several
  // Authorization fields, count as an unknown key.
  static CallerIdentity Of(const HeaderFields& fields, const Route& route,
                           const CustomerTable* customers, const CallHeaderNames& names);

  // Whether the caller may use the route: the key is known, or the route needs none.
  bool is_allowed() const { return is_allowed_; }
  // No value for an anonymous caller.
  const std::optional<Customer>& customer() const { return customer_; }
  // Whether the key of the customer is still valid in a later configuration, and is the same
  // customer's.
  bool IsValidIn(const CustomerTable* customers) const;
  std::uint32_t PriorityOr(std::uint32_t route_priority) const;

  // Removes the caller's key from the fields of a request to an upstream, and replaces the
  // customer's name that the caller may have sent by the true one.
  void ReplaceCredentials(HeaderFields* fields, const CallHeaderNames& names) const;

 private:
  bool is_allowed_ = true;
  std::optional<Customer> customer_;
  KeyDigest key_digest_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_CALLER_IDENTITY_H_
