#include "primroseweir/gateway/caller_identity.h"

#include "primroseweir/customers/caller_credentials.h"
#include "primroseweir/customers/customer_table.h"
#include "primroseweir/gateway/call_header_names.h"
#include "primroseweir/http/request_head.h"
#include "primroseweir/routes/route_table.h"

namespace primroseweir {

CallerIdentity CallerIdentity::Of(const RequestHead& head, const Route& route,
                                  const RouteTable& routes, const CallHeaderNames& names) {
  CallerIdentity identity;
  const auto* customers = routes.customers();
  if (customers == nullptr) {
    return identity;
  }
  identity.has_customers_ = true;
  const auto key = CallerKeyOf(head.fields, names.key_scheme);
  if (const auto* customer = key.empty() ? nullptr : customers->FindByKey(key)) {
    identity.customer_ = *customer;
  }
  identity.is_allowed_ = identity.customer_.has_value() || routes.IsPublic(route, head.target);
  return identity;
}

std::uint32_t CallerIdentity::PriorityOr(std::uint32_t route_priority) const {
  return customer_ ? customer_->priority.value_or(route_priority) : route_priority;
}

void CallerIdentity::ReplaceCredentials(HeaderFields* fields, const CallHeaderNames& names) const {
  if (!has_customers_) {
    return;
  }
  ReplaceCallerCredentials(fields, names.customer, customer_ ? &customer_->name : nullptr);
}

}  // namespace primroseweir
