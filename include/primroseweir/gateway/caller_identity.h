#ifndef PRIMROSEWEIR_GATEWAY_CALLER_IDENTITY_H_
#define PRIMROSEWEIR_GATEWAY_CALLER_IDENTITY_H_

#include <cstdint>
#include <optional>

#include "primroseweir/customers/customer.h"

namespace primroseweir {

class HeaderFields;
class RouteTable;
struct CallHeaderNames;
struct RequestHead;
struct Route;

// Who makes a call: a customer, by the key in the Authorization field, or an anonymous caller.
class CallerIdentity {
 public:
  // An anonymous caller of a configuration without customers.
  CallerIdentity() = default;

  // Identifies the caller of a request for `route`, which `routes` found. Without customers in the
  // configuration, every caller is allowed and anonymous. A field with another scheme, or several
  // Authorization fields, count as an unknown key.
  static CallerIdentity Of(const RequestHead& head, const Route& route, const RouteTable& routes,
                           const CallHeaderNames& names);

  // Whether the caller may use the route: the key is known, or the route needs none.
  bool is_allowed() const { return is_allowed_; }
  // No value for an anonymous caller.
  const std::optional<Customer>& customer() const { return customer_; }
  std::uint32_t PriorityOr(std::uint32_t route_priority) const;

  // Removes the caller's key from the fields of a request to an upstream, and replaces the
  // customer's name that the caller may have sent by the true one. Also removes names that differ
  // from that field's only in underscores, since some upstreams read both as the same. Changes
  // nothing if the configuration has no customers.
  void ReplaceCredentials(HeaderFields* fields, const CallHeaderNames& names) const;

 private:
  bool is_allowed_ = true;
  // Whether the configuration has customers.
  bool has_customers_ = false;
  std::optional<Customer> customer_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_CALLER_IDENTITY_H_
