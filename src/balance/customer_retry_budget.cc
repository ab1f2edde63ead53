#include "primroseweir/balance/customer_retry_budget.h"

#include <algorithm>
#include <iterator>

namespace primroseweir {
namespace {

// Place of the calls without a customer. No hash of a name is excluded; a customer with this one
// would share the place.
constexpr std::uint64_t kNoCustomer = 0;

}  // namespace

CustomerRetryBudget::CustomerRetryBudget(const WindowedRetryBudget::Limits& limits)
    : bucket_length_(limits.window / (kBuckets - 1)), budget_(limits) {}

void CustomerRetryBudget::RecordFirstAttempt(std::optional<std::uint64_t> customer, Instant now) {
  budget_.RecordFirstAttempt(now);
  ++BucketAt(customer, now).first_attempts;
}

bool CustomerRetryBudget::TryAcquire(std::optional<std::uint64_t> customer, std::size_t instances,
                                     Instant now) {
  auto& bucket = BucketAt(customer, now);
  const double budget = budget_.MaxRetries(instances, now);
  double first_attempts = 0;
  double retries = 0;
  for (const auto& past : customers_[customer.value_or(kNoCustomer)].buckets) {
    if (past.number > NumberAt(now) - kBuckets) {
      first_attempts += past.first_attempts;
      retries += past.retries;
    }
  }
  const auto all = static_cast<double>(std::max<std::uint64_t>(budget_.first_attempts(now), 1));
  const double least = std::min(1.0, kLeastPart / static_cast<double>(customers_.size()));
  const double own_part = budget * std::clamp(first_attempts / all, least, 1.0);
  const double used = static_cast<double>(budget_.retries(now));
  if (retries + 1 > own_part && used + 1 > budget * kSharedPart) {
    return false;
  }
  if (!budget_.TryAcquire(instances, now)) {
    return false;
  }
  ++bucket.retries;
  return true;
}

std::int64_t CustomerRetryBudget::NumberAt(Instant now) const {
  return now.time_since_epoch() / bucket_length_;
}

CustomerRetryBudget::Bucket& CustomerRetryBudget::BucketAt(std::optional<std::uint64_t> customer,
                                                           Instant now) {
  const auto number = NumberAt(now);
  Sweep(number);
  auto& usage = customers_[customer.value_or(kNoCustomer)];
  usage.newest = number;
  auto& bucket = usage.buckets[static_cast<std::size_t>(number % kBuckets)];
  if (bucket.number != number) {
    bucket = Bucket();
    bucket.number = number;
  }
  return bucket;
}

void CustomerRetryBudget::Sweep(std::int64_t number) {
  if (number - swept_at_ < kBuckets) {
    return;
  }
  swept_at_ = number;
  for (auto it = customers_.begin(); it != customers_.end();) {
    it = number - it->second.newest >= kBuckets ? customers_.erase(it) : std::next(it);
  }
}

}  // namespace primroseweir
