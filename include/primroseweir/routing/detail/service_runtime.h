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
#include "primroseweir/upstream/observation.h"

namespace primroseweir {

class CrashGuard;
class UpstreamState;

namespace detail {

// What all services of a router share.
struct RouterShared {
  explicit RouterShared(Seat seat);
  ~RouterShared();

  std::unique_ptr<CrashGuard> guard;
  Seat own;
  std::atomic<std::uint64_t> live{1};
  std::mutex live_mutex;
  std::set<Seat> live_seats;
  // Receives observations that peers must learn at once.
  std::mutex sender_mutex;
  std::function<void(const UpstreamObservation&)> sender;

  void Send(const UpstreamState& state, Instant now);
};

// One service's part that survives new tables: its limits, and the ends of its leases.
class ServiceRuntime : public LeaseOwner {
 public:
  ServiceRuntime(std::uint64_t number, std::shared_ptr<RouterShared> shared);

  // Unique among all services of the process; keys the per-thread policies.
  std::uint64_t number() const { return number_; }
  ServiceLimits& limits() { return limits_; }

  // The upstreams that may be used by the present table.
  void SetUpstreams(std::vector<std::shared_ptr<UpstreamState>> upstreams);

  // Computes the capacity anew and lets waiting calls try again.
  void Refresh();

  // Divides the slots among the live seats anew, then refreshes. For changes of the usable
  // upstreams and of the live seats.
  void AssignSlots();

  void OnLeaseEnded(const LeaseContext& context, const CallResult& result, Instant now) override;

 private:
  void AddToCapacity(const UpstreamState& state, Admission::Capacity* capacity) const;
  void OnProbeEnded(const LeaseContext& context, const CallResult& result, Instant now);

  const std::uint64_t number_;
  const std::shared_ptr<RouterShared> shared_;
  ServiceLimits limits_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<UpstreamState>> upstreams_;
  // Upstreams of earlier tables with calls in flight.
  std::vector<std::shared_ptr<UpstreamState>> retired_;
};

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_DETAIL_SERVICE_RUNTIME_H_
