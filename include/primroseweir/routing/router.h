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
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

class CrashGuard;
class EventLog;
class UpstreamState;
struct ServiceLimits;
struct CallRequest;
struct ConfigurationSnapshot;

// Picks upstreams for calls. Acquiring and ending leases is thread-safe and takes no lock unless a
// call has to wait; Apply and the functions that merge state are called on the controllers'
// threads.
class Router {
 public:
  struct Options {
    DataCentre data_centre;
    Seat seat;
    // Number of seats among which the fleet divides its fixed limits; at least 1.
    std::uint64_t seat_count = 1;
    std::uint64_t random_seed = 0;
    // Creates the policy that picks among usable upstreams; null selects the default policy.
    std::function<std::unique_ptr<LoadBalancingPolicy>()> make_policy;
  };

  Router(const Options& options, EventLog* events);
  ~Router();

  // ---- calls ----

  // Acquires a lease on an upstream of the request's service. While all usable upstreams are at
  // their limits, the call waits in the admission queue by priority, at most until the deadline.
  // Errors: NotFound, the service is not in the configuration; Unavailable, no upstream is in
  // service; ResourceExhausted, the expected wait exceeds the deadline or the wait ended without a
  // lease; FailedPrecondition, the crash guard refuses the request. All of them mean that the call
  // was not executed.
  absl::StatusOr<UpstreamLease> Acquire(const CallRequest& request, Instant now);

  // Like Acquire, but never waits. Used for hedges and by the bench.
  absl::StatusOr<UpstreamLease> TryAcquire(const CallRequest& request, Instant now);

  // Acquires a lease for a probe of that upstream, if the upstream is in use and below its limit.
  // While the upstream is in warm-up, a probe needs a share of the window like any call. Errors:
  // Unavailable.
  absl::StatusOr<UpstreamLease> AcquireProbe(const UpstreamId& upstream, Instant now);

  // Returns how long a caller should wait before it retries a call of the service, for Retry-After.
  Duration RetryAfter(const ServiceName& service) const;

  // Returns the retry budget and hedge policy of a service; null if the service is not in the
  // configuration.
  std::shared_ptr<ServiceLimits> Limits(const ServiceName& service) const;

  // Returns the crash guard. The code that detects lost connections adds strikes to it. Acquire
  // refuses quarantined requests and separates suspects; a complete response clears the strikes of
  // its request.
  CrashGuard& crash_guard();

  // ---- state ----

  // Publishes a new routing table. Upstreams that stay keep their observations. Upstreams that are
  // new, or whose data centre returned, start cold.
  void Apply(std::shared_ptr<const ConfigurationSnapshot> snapshot, Instant now);

  // Sets the seats that the membership considers alive. This instance's own seat always counts as
  // alive.
  void SetLiveSeats(const std::set<Seat>& seats, Instant now);

  // Merges the observations of a peer.
  void Merge(const std::vector<UpstreamObservation>& observations, Instant now);

  // Records that some message of a peer arrived. An instance that has live peers but received
  // nothing for kContactTimeout, because it was paused, trusts its warm-up windows for only one
  // call per upstream until this function or Merge is called. The rule takes effect after the first
  // such call.
  void RecordContact(Instant now);

  // Sets the function that sends observations to the peers at once: collapses, claims, restarts and
  // leaving marks. It is called on the threads that acquire or end leases and on those that call
  // Apply, so it must be quick.
  void SetUrgentSender(std::function<void(const UpstreamObservation&)> sender);

  // Returns the observations of this instance, for gossip and for a peer that starts.
  std::vector<UpstreamObservation> Observations(Instant now) const;

  // Returns all upstreams of the current table, including leaving and cold ones.
  std::vector<std::shared_ptr<UpstreamState>> Upstreams() const;

  // Explains for each upstream of a service why it is used or not. Errors: NotFound.
  absl::StatusOr<ServiceExplanation> Explain(const ServiceName& service, Instant now) const;

  static constexpr Duration kContactTimeout = std::chrono::seconds(3);
  // A new instance claims no warm-up windows until a peer has sent it the state of the fleet or
  // this time has passed.
  static constexpr Duration kClaimDelay = std::chrono::seconds(5);

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_ROUTER_H_
