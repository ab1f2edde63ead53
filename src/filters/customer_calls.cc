#include "primroseweir/filters/customer_calls.h"

#include <iterator>

#include "primroseweir/customers/customer_table.h"
#include "primroseweir/filters/call_outcome.h"

namespace primroseweir {

void CustomerCalls::Record(const std::string& customer, const CallOutcome& call_outcome) {
  const std::lock_guard<std::mutex> lock(mutex_);
  auto& counts = counts_[customer];
  ++counts.asked;
  if (call_outcome.outcome == ExecutionOutcome::kExecuted) {
    ++counts.served;
  } else if (call_outcome.outcome == ExecutionOutcome::kUnknown) {
    ++counts.unknown;
  } else {
    ++counts.refused[call_outcome.step];
  }
}

void CustomerCalls::Apply(const CustomerTable* customers) {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (auto it = counts_.begin(); it != counts_.end();) {
    const bool is_kept = customers != nullptr &&
                         (it->first == kAnonymous || customers->FindByName(it->first) != nullptr);
    it = is_kept ? std::next(it) : counts_.erase(it);
  }
}

CustomerCalls::CountsByCustomer CustomerCalls::Snapshot() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return counts_;
}

}  // namespace primroseweir
