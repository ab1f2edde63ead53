#include "primroseweir/filters/quota_filter.h"

#include <algorithm>
#include <chrono>
#include <optional>

#include "primroseweir/filters/call.h"
#include "primroseweir/filters/customer_quotas.h"

namespace primroseweir {
namespace {

constexpr int kTooManyRequests = 429;

CallOutcome Refusal(Duration retry_after) {
  auto call_outcome =
      CallOutcome::NotExecuted("quota", "the customer is above its quota", kTooManyRequests);
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after).count();
  call_outcome.retry_after = std::max(static_cast<int>(seconds), 1);
  return call_outcome;
}

}  // namespace

CallOutcome QuotaFilter::Handle(Call* call, const Next& next) {
  if (!call->customer || !call->customer->has_quota()) {
    return next(call);
  }
  // A copy, since a newer configuration may change the customer while the call waits.
  const Customer customer = *call->customer;
  const auto decision = quotas_->TryAcquire(customer, call->fingerprint, MonotonicNow());
  if (!decision.admitted) {
    return Refusal(decision.retry_after);
  }
  auto call_outcome = next(call);
  if (call_outcome.outcome == ExecutionOutcome::kNotExecuted) {
    quotas_->Refund(customer, MonotonicNow());
  }
  return call_outcome;
}

}  // namespace primroseweir
