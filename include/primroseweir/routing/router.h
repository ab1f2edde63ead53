#ifndef PRIMROSEWEIR_ROUTING_ROUTER_H_
#define PRIMROSEWEIR_ROUTING_ROUTER_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <set>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/routing/upstream_lease.h"
#include "primroseweir/upstream/observation.h"

namespace primroseweir {

class EventLog;
class UpstreamState;
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
  };

  Router(const Options& options, EventLog* events);
  ~Router();

  // ---- calls ----

  // A lease on an upstream of the request's service. Waits while all usable upstreams are at their
  // limits, by priority, at most until the deadline.
  // Errors: NotFound, the service is not in the text; Unavailable, no upstream in service;
  // ResourceExhausted, the expected wait exceeds the deadline. All of them mean "not run".
  absl::StatusOr<UpstreamLease> Acquire(const CallRequest& request, Instant now);

  // As Acquire, but never waits. For hedges and for the bench.
  absl::StatusOr<UpstreamLease> TryAcquire(const CallRequest& request, Instant now);

  // ---- state ----

  // Publishes a new routing table. Upstreams that stay keep their observations. Upstreams that are
  // new, or whose data centre returned, start cold.
  void Apply(std::shared_ptr<const ConfigurationSnapshot> snapshot, Instant now);

  // The seats that are alive, this instance's own included, as the membership sees them.
  void SetLiveSeats(const std::set<Seat>& seats, Instant now);

  // Merges what a peer knows.
  void Merge(const std::vector<UpstreamObservation>& observations, Instant now);

  // What this instance knows, for gossip and for a peer that starts.
  std::vector<UpstreamObservation> Observations(Instant now) const;

  // All upstreams of the present table, leaving and cold ones included.
  std::vector<std::shared_ptr<UpstreamState>> Upstreams() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_ROUTER_H_
