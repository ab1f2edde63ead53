#include "primroseweir/published/lease_retention.h"

#include <algorithm>
#include <utility>

namespace primroseweir {

bool LeaseRetention::RecordFailure() { return !std::exchange(is_failing_, true); }

bool LeaseRetention::RecordResponse(Instant now) {
  previous_response_at_ = std::exchange(response_at_, now);
  const bool outage_ended = std::exchange(is_failing_, false);
  if (outage_ended) {
    outage_ended_at_ = now;
  }
  return outage_ended;
}

Instant LeaseRetention::RetainUntil(Instant now) const {
  if (outage_ended_at_ == Instant() || now - outage_ended_at_ >= kLeaseRenewalTime) {
    return now;
  }
  return std::max(now, std::max(outage_ended_at_, previous_response_at_) + retention_);
}

}  // namespace primroseweir
