#include "primroseweir/balance/retry_ledger.h"

#include <algorithm>

namespace primroseweir {

RetryLedger::RetryLedger(const Budget& budget) : budget_(budget) {}

void RetryLedger::NoteFirst(Instant now) { ++At(now).firsts; }

bool RetryLedger::TrySpend(std::size_t instances, Instant now) {
  const double share = budget_.allowance / static_cast<double>(std::max<std::size_t>(instances, 1));
  const double allowed = kUsedPart * (budget_.ratio * static_cast<double>(firsts(now)) + share);
  if (static_cast<double>(repeats(now)) + 1 > allowed) {
    return false;
  }
  ++At(now).repeats;
  return true;
}

std::uint64_t RetryLedger::firsts(Instant now) { return Sum(&Bucket::firsts, now); }
std::uint64_t RetryLedger::repeats(Instant now) { return Sum(&Bucket::repeats, now); }

RetryLedger::Bucket& RetryLedger::At(Instant now) {
  const auto number = now.time_since_epoch() / (budget_.window / kBuckets);
  auto& bucket = buckets_[static_cast<std::size_t>(number % kBuckets)];
  if (bucket.number != number) {
    bucket = Bucket();
    bucket.number = number;
  }
  return bucket;
}

std::uint64_t RetryLedger::Sum(std::uint32_t Bucket::*member, Instant now) {
  const auto newest = now.time_since_epoch() / (budget_.window / kBuckets);
  std::uint64_t sum = 0;
  for (const auto& bucket : buckets_) {
    if (bucket.number > newest - kBuckets) {
      sum += bucket.*member;
    }
  }
  return sum;
}

}  // namespace primroseweir
