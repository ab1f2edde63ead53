#ifndef PRIMROSEWEIR_ROUTING_ROUTER_H_
#define PRIMROSEWEIR_ROUTING_ROUTER_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/routing/explanation.h"
#include "primroseweir/routing/load_balancing_policy.h"
#include "primroseweir/routing/upstream_lease.h"
#include "primroseweir/upstream/observation.h"

namespace primroseweir {

class CrashGuard;
class EventLog;
class UpstreamState;
struct ServiceLimits;
struct CallRequest;
struct ConfigurationSnapshot;

// Chooses upstreams for calls. Acquire and the ends of leases are safe for many threads and take no
// lock unless a call has to wait; Apply and the merges come from the controllers' threads.
class Router {
 public:
  struct Options {
    DataCentre data_centre;
    Seat seat;
    // Number of seats in the fleet's fixed shares; at least 1.
    std::uint64_t seats = 1;
    std::uint64_t random_seed = 0;
    // Makes the policy that chooses among usable upstreams; null stands for the default one.
    std::function<std::unique_ptr<LoadBalancingPolicy>()> make_policy;
  };

  Router(const Options& options, EventLog* events);
  ~Router();

  // ---- calls ----

  // A lease on an upstream of the request's service. Waits while all usable upstreams are at their
  // limits, by priority, at most until the deadline.
  // Errors: NotFound, the service is not in the text; Unavailable, no upstream in service;
  // ResourceExhausted, the expected wait exceeds the deadline; FailedPrecondition, the crash guard
  // refuses the request. All of them mean "not run".
  absl::StatusOr<UpstreamLease> Acquire(const CallRequest& request, Instant now);

  // As Acquire, but never waits. For hedges and for the bench.
  absl::StatusOr<UpstreamLease> TryAcquire(const CallRequest& request, Instant now);

  // A lease for a probe of that upstream, if it is in use and below its limit; a cold upstream's
  // probe needs a share of its window like any call. Errors: Unavailable.
  absl::StatusOr<UpstreamLease> AcquireProbe(const UpstreamId& upstream, Instant now);

  // Time that a call of the service should wait before it tries again, for Retry-After.
  Duration RetryAfter(const ServiceName& service) const;

  // Retry budget and hedge policy of a service; null when the service is not in the text.
  std::shared_ptr<ServiceLimits> Limits(const ServiceName& service) const;

  // Strikes are added by the code that sees connections break. Acquire refuses and separates by
  // them; whole answers clear them.
  CrashGuard& crash_guard();

  // ---- state ----

  // Publishes a new routing table. Upstreams that stay keep their observations. Upstreams that are
  // new, or whose data centre returned, start cold.
  void Apply(std::shared_ptr<const ConfigurationSnapshot> snapshot, Instant now);

  // The seats that are alive, this instance's own included, as the membership sees them.
  void SetLiveSeats(const std::set<Seat>& seats, Instant now);

  // Merges what a peer knows.
  void Merge(const std::vector<UpstreamObservation>& observations, Instant now);

  // Notes that some message of a peer arrived. An instance that knows of live peers but heard
  // nothing for kContactTimeout (it was paused) trusts its windows only for one call per upstream,
  // until this or Merge is called. Without any such call the rule is off.
  void RecordContact(Instant now);

  // Receives observations that peers must learn at once: collapses, claims, leaving marks. Called
  // by the threads that end calls; it must be quick.
  void SetUrgentSender(std::function<void(const UpstreamObservation&)> sender);

  // What this instance knows, for gossip and for a peer that starts.
  std::vector<UpstreamObservation> Observations(Instant now) const;

  // All upstreams of the present table, leaving and cold ones included.
  std::vector<std::shared_ptr<UpstreamState>> Upstreams() const;

  // Why each upstream of a service is or is not used. Errors: NotFound.
  absl::StatusOr<ServiceExplanation> Explain(const ServiceName& service, Instant now) const;

  static constexpr Duration kContactTimeout = std::chrono::seconds(3);
  // A new instance claims no windows of silent owners before a peer told it what the fleet knows,
  // or this time has passed.
  static constexpr Duration kClaimDelay = std::chrono::seconds(5);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_ROUTER_H_
