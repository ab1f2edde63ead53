#include "primroseweir/filters/customer_quotas.h"

#include <algorithm>
#include <set>

#include "primroseweir/base/rendezvous.h"
#include "primroseweir/customers/customer_table.h"
#include "primroseweir/membership/membership_view.h"

namespace primroseweir {

CustomerQuotas::CustomerQuotas(const InstanceId& self, std::uint64_t seed)
    : self_(IdentityOf(self)), quota_(seed) {
  quota_.SetOwnAddress(self_);
}

std::uint32_t CustomerQuotas::IdentityOf(const InstanceId& instance) {
  return static_cast<std::uint32_t>(StableHash(instance.value()));
}

void CustomerQuotas::Apply(const CustomerTable* customers, Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  quota_.Apply(customers, now);
  has_quotas_ = customers != nullptr &&
                std::any_of(customers->customers().begin(), customers->customers().end(),
                            [](const auto& customer) { return customer.has_quota(); });
}

void CustomerQuotas::SetFleet(const MembershipView& view, bool is_serving) {
  std::size_t alive = 0;
  std::size_t live = 0;
  std::size_t possible = 0;
  std::set<InstanceId> running;
  std::set<InstanceId> ended;
  for (const auto& member : view.members) {
    alive += member.state == MemberState::kAlive ? 1 : 0;
    live += member.state == MemberState::kAlive || member.state == MemberState::kLeaving ? 1 : 0;
    possible += member.has_ended ? 0 : 1;
    (member.has_ended ? ended : running).insert(member.id);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  peak_fleet_size_ = std::max(peak_fleet_size_, alive);
  quota_.SetPeakFleetSize(peak_fleet_size_);
  quota_.SetServingInstances(std::max<std::size_t>(alive, 1), is_serving);
  for (const auto& id : ended) {
    if (running.count(id) == 0) {
      quota_.RecordStopped(IdentityOf(id));
    }
  }
  quota_.SetFleetView(std::max<std::size_t>(live, 1), possible);
}

void CustomerQuotas::RecordRun(const InstanceId& instance, Incarnation incarnation) {
  const std::lock_guard<std::mutex> lock(mutex_);
  quota_.RecordRun(IdentityOf(instance), incarnation);
}

FleetQuota::Decision CustomerQuotas::TryAcquire(const Customer& customer, std::uint64_t request,
                                                Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return quota_.TryAcquire(customer, request, now);
}

void CustomerQuotas::Refund(const Customer& customer, Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  quota_.Refund(customer, now);
}

std::optional<UsageReport> CustomerQuotas::UsageToReport(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return quota_.UsageToReport(now);
}

void CustomerQuotas::MergeUsage(const InstanceId& sender, Incarnation incarnation,
                                const UsageReport& usage, Instant now) {
  const auto identity = IdentityOf(sender);
  if (identity == self_ || !has_quotas()) {
    return;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  quota_.MergeUsage(identity, incarnation, usage, now);
}

std::vector<std::uint32_t> CustomerQuotas::ActivePeers(Instant now) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return quota_.ActivePeers(now);
}

double CustomerQuotas::UsableShare(Instant now) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return has_quotas() ? quota_.usable_share(now) : 1;
}

}  // namespace primroseweir
