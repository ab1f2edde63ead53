#include "primroseweir/filters/customer_filter.h"

#include <string>

#include "primroseweir/configuration/customer_priority.h"
#include "primroseweir/customers/caller_credentials.h"
#include "primroseweir/filters/call.h"
#include "primroseweir/filters/customer_calls.h"
#include "primroseweir/http/request_head.h"

namespace primroseweir {
namespace {

constexpr char kKeyScheme[] = "Token";
constexpr int kUnauthorized = 401;

// The priority of the customer replaces that which the caller asks for. Non-idempotent calls stay
// in front, since they are not retried.
void SetPriority(Call* call) {
  if (!call->customer->priority || call->priority == Priority::kNonIdempotent) {
    return;
  }
  call->priority = *call->customer->priority == kNormalCustomerPriority ? Priority::kNormal
                                                                        : Priority::kRefreshable;
}

}  // namespace

CallOutcome CustomerFilter::Handle(Call* call, const Next& next) {
  const auto table = services_->Load();
  const bool is_allowed = Identify(*table, call);
  if (table->customers == nullptr || calls_ == nullptr) {
    return Run(call, is_allowed, next);
  }
  // A copy, since the caller may be identified again.
  const std::string name =
      call->customer ? call->customer->name.value() : CustomerCalls::kAnonymous;
  auto call_outcome = Run(call, is_allowed, next);
  if (!call->was_forwarded) {
    calls_->Record(name, call_outcome);
  }
  return call_outcome;
}

CallOutcome CustomerFilter::Run(Call* call, bool is_allowed, const Next& next) const {
  if (!is_allowed) {
    return Refusal();
  }
  if (call->customer) {
    SetPriority(call);
  }
  return next(call);
}

bool CustomerFilter::Identify(const ServiceTable& table, Call* call) {
  if (table.customers == nullptr) {
    call->customer.reset();
    return true;
  }
  call->must_hide_key = true;
  const auto key = CallerKeyOf(call->request->fields, kKeyScheme);
  const auto* customer = key.empty() ? nullptr : table.customers->FindByKey(key);
  if (customer != nullptr) {
    call->customer = *customer;
    return true;
  }
  call->customer.reset();
  const auto service = table.services.find(call->service);
  return service != table.services.end() && service->second.is_public;
}

CallOutcome CustomerFilter::Refusal() {
  auto call_outcome =
      CallOutcome::NotExecuted("customer", "no valid key of a customer", kUnauthorized);
  call_outcome.key_scheme = kKeyScheme;
  return call_outcome;
}

}  // namespace primroseweir
