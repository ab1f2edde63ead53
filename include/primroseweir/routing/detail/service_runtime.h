#ifndef PRIMROSEWEIR_ROUTING_DETAIL_SERVICE_RUNTIME_H_
#define PRIMROSEWEIR_ROUTING_DETAIL_SERVICE_RUNTIME_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/routing/lease_owner.h"
#include "primroseweir/routing/service_limits.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

class CrashGuard;
class UpstreamState;

namespace detail {

// State that all services of a router share.
struct RouterShared {
  explicit RouterShared(Seat seat);
  ~RouterShared();

  std::unique_ptr<CrashGuard> guard;
  Seat own_seat;
  std::atomic<std::uint64_t> live_count{1};
  std::mutex live_mutex;
  std::set<Seat> live_seats;
  // Guards urgent_sender, which sends observations that peers must receive at once.
  std::mutex urgent_sender_mutex;
  std::function<void(const UpstreamObservation&)> urgent_sender;

  void NotifyPeers(const UpstreamState& state, Instant now);
};

// State of one service that is kept across routing tables. Holds the service's limits and handles
// the ends of its leases.
class ServiceRuntime : public LeaseOwner {
 public:
  ServiceRuntime(std::uint64_t service_number, std::shared_ptr<RouterShared> shared);

  // Unique among all services of the process; key of the policies in each scratch area.
  std::uint64_t service_number() const { return service_number_; }
  ServiceLimits& limits() { return limits_; }

  // Sets the upstreams that the current table may use.
  void SetUpstreams(std::vector<std::shared_ptr<UpstreamState>> upstreams);

  // Recomputes the capacity and wakes waiting calls.
  void RefreshCapacity();

  // Divides the slots among the live seats anew, then refreshes the capacity. Call it when the
  // usable upstreams or the live seats changed.
  void AssignSlots();

  void OnLeaseEnded(const LeaseContext& context, const CallResult& result, Instant now) override;

 private:
  void AddToCapacity(const UpstreamState& state, AdmissionController::Capacity* capacity) const;
  void OnProbeEnded(const LeaseContext& context, const CallResult& result, Instant now);

  const std::uint64_t service_number_;
  const std::shared_ptr<RouterShared> shared_;
  ServiceLimits limits_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<UpstreamState>> upstreams_;
  // Upstreams of earlier tables that still have calls in flight.
  std::vector<std::shared_ptr<UpstreamState>> retired_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_SERVICE_RUNTIME_H_
