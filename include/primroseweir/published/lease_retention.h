#ifndef PRIMROSEWEIR_PUBLISHED_LEASE_RETENTION_H_
#define PRIMROSEWEIR_PUBLISHED_LEASE_RETENTION_H_

#include "primroseweir/base/time.h"

namespace primroseweir {

// Decides how long an item that is missing from the platform's store stays in use. Leases expire
// while the store is down and are renewed when it is back, so an item that goes missing shortly
// after an outage may be back soon.
//
// A response may report removals that are as old as the response before it. The time of an item is
// therefore counted from that one: counted from the report, calls reached leaving upstreams up to
// the interval between two reads too late.
class LeaseRetention {
 public:
  // `retention` is the time for which an item may be missing.
  explicit LeaseRetention(Duration retention) : retention_(retention) {}

  // Records that a read of the store failed. Returns whether this began an outage.
  bool RecordFailure();
  // Records a response of the store. Returns whether this ended an outage.
  bool RecordResponse(Instant now);

  // Returns the time until which an item is retained that is missing according to the last recorded
  // response. Not later than `now` unless an outage ended within kLeaseRenewalTime.
  Instant RetainUntil(Instant now) const;

  // Time after the end of an outage within which leases that expired during it are renewed.
  static constexpr Duration kLeaseRenewalTime = std::chrono::milliseconds(2500);

 private:
  const Duration retention_;
  bool is_failing_ = false;
  Instant outage_ended_at_;
  // Time of the response before the last one.
  Instant previous_response_at_;
  Instant response_at_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PUBLISHED_LEASE_RETENTION_H_
