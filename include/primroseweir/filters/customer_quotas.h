#ifndef PRIMROSEWEIR_FILTERS_CUSTOMER_QUOTAS_H_
#define PRIMROSEWEIR_FILTERS_CUSTOMER_QUOTAS_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/customers/fleet_quota.h"

namespace primroseweir {

class CustomerTable;
struct Customer;
struct MembershipView;

// FleetQuota of an entry instance, whose threads share it under a mutex. The lock is taken for
// calls of customers with quotas only. Instances are identified by a hash of their ids, since
// several of them may have one IP address.
class CustomerQuotas {
 public:
  CustomerQuotas(const InstanceId& self, std::uint64_t seed);

  // Applies the quotas of a configuration; null if it has no customers.
  void Apply(const CustomerTable* customers, Instant now);
  // Applies what is known of the fleet. `is_serving` states whether callers are told to use this
  // instance.
  void SetFleet(const MembershipView& view, bool is_serving);
  // Records that an instance runs with that incarnation.
  void RecordRun(const InstanceId& instance, Incarnation incarnation);

  // As FleetQuota::TryAcquire and FleetQuota::Refund.
  FleetQuota::Decision TryAcquire(const Customer& customer, std::uint64_t request, Instant now);
  void Refund(const Customer& customer, Instant now);

  // Whether the configuration has quotas, so that reports must be sent.
  bool has_quotas() const { return has_quotas_.load(std::memory_order_relaxed); }
  std::optional<UsageReport> UsageToReport(Instant now);
  void MergeUsage(const InstanceId& sender, Incarnation incarnation, const UsageReport& usage,
                  Instant now);
  // Returns the identities of the other instances that have calls of customers with quotas.
  std::vector<std::uint32_t> ActivePeers(Instant now) const;
  // Share of the quotas that this instance may use at the moment, from 0 to 1.
  double UsableShare(Instant now);

  // Returns by what FleetQuota identifies an instance.
  static std::uint32_t IdentityOf(const InstanceId& instance);

 private:
  const std::uint32_t self_;
  mutable std::mutex mutex_;
  FleetQuota quota_;
  std::size_t peak_fleet_size_ = 1;
  std::atomic<bool> has_quotas_{false};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_CUSTOMER_QUOTAS_H_
