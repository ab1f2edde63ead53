#include "primroseweir/balance/windowed_retry_budget.h"

#include <algorithm>

namespace primroseweir {

WindowedRetryBudget::WindowedRetryBudget(const Limits& limits) : limits_(limits) {}

void WindowedRetryBudget::RecordFirstAttempt(Instant now) { ++BucketAt(now).first_attempts; }

double WindowedRetryBudget::MaxRetries(std::size_t instances, Instant now) {
  const double allowance_share = AllowancePart(now) * limits_.allowance /
                                 static_cast<double>(std::max<std::size_t>(instances, 1));
  return kMaxUtilization *
         (limits_.ratio * static_cast<double>(first_attempts(now)) + allowance_share);
}

bool WindowedRetryBudget::TryAcquire(std::size_t instances, Instant now) {
  if (static_cast<double>(retries(now)) + 1 > MaxRetries(instances, now)) {
    return false;
  }
  ++BucketAt(now).retries;
  return true;
}

double WindowedRetryBudget::AllowancePart(Instant now) const {
  const auto since_start = std::chrono::duration<double>(now - limits_.started_at);
  return std::clamp(since_start / std::chrono::duration<double>(limits_.window), 0.0, 1.0);
}

std::uint64_t WindowedRetryBudget::first_attempts(Instant now) {
  return SumOverWindow(&Bucket::first_attempts, now);
}
std::uint64_t WindowedRetryBudget::retries(Instant now) {
  return SumOverWindow(&Bucket::retries, now);
}

WindowedRetryBudget::Bucket& WindowedRetryBudget::BucketAt(Instant now) {
  const auto number = now.time_since_epoch() / (limits_.window / kBuckets);
  auto& bucket = buckets_[static_cast<std::size_t>(number % kBuckets)];
  if (bucket.number != number) {
    bucket = Bucket();
    bucket.number = number;
  }
  return bucket;
}

std::uint64_t WindowedRetryBudget::SumOverWindow(std::uint32_t Bucket::*counter, Instant now) {
  const auto newest = now.time_since_epoch() / (limits_.window / kBuckets);
  std::uint64_t sum = 0;
  for (const auto& bucket : buckets_) {
    if (bucket.number > newest - kBuckets) {
      sum += bucket.*counter;
    }
  }
  return sum;
}

}  // namespace primroseweir
