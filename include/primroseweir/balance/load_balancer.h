#ifndef PRIMROSEWEIR_BALANCE_LOAD_BALANCER_H_
#define PRIMROSEWEIR_BALANCE_LOAD_BALANCER_H_

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/balance/balanced_upstream.h"
#include "primroseweir/balance/latency_estimator.h"
#include "primroseweir/base/ids.h"
#include "primroseweir/base/random.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/upstream_record.h"
#include "primroseweir/routes/route.h"

namespace primroseweir {

class RouteTable;

// All upstreams that this instance knows, and the choice among them. Owned by the thread of the
// event loop.
//
// Load pattern: short calls at upstreams whose speed changes many times a second, seen through
// reports that are tens of milliseconds old. The choice weighs what is known about each upstream
// (calls there from all instances, slowdown, failures, distance) by its age into one expected time.
class LoadBalancer {
 public:
  struct Options {
    DataCentre data_centre;
    std::uint64_t seed = 0;
    // A cold upstream may get its stated rate times `cold_rate_factor` plus `cold_rate_allowance`
    // calls in any second, from all instances.
    double cold_rate_factor = 1;
    double cold_rate_allowance = 0;
  };

  // What a choice is made for.
  struct PickArgs {
    ServiceName service;
    CallKind kind = CallKind::kIdempotent;
    // Upstreams that the call was sent to before.
    std::vector<UpstreamId> excluded;
    // Longest expected time to answer that is still useful; upstreams beyond count as full.
    Duration latency_limit = Duration::max();
    // Upstreams of other data centres count as full, unless the own data centre has none.
    bool local_only = false;
    // The call waits for probes that the choice asks for.
    bool may_probe = false;
  };

  // Why no upstream was chosen: none may be used, those that are fast enough are full, or only slow
  // ones have room. A slow upstream that is filled under load stays full for long after it is fast
  // again, so that kFull must not lead to it.
  enum class PickFailure { kNone, kNoUpstream, kFull, kOnlySlowRoom };

  struct PickResult {
    std::shared_ptr<BalancedUpstream> upstream;
    PickFailure failure = PickFailure::kNone;
    // Upstreams to probe before the call is sent: with old reports that might be a better choice
    // than this one, best first, or, when none was chosen, doubted ones whose probe is due. Empty
    // when the choice rests on fresh reports, or when the upstreams state no load.
    std::vector<std::shared_ptr<BalancedUpstream>> to_probe;
  };

  explicit LoadBalancer(const Options& options);

  // ---- state ----

  // Takes the list, the data centres out of service and the terms of the services. Upstreams that
  // stay keep their observations. Those that are new or restarted are cold as the list says; those
  // of a data centre that comes back are doubted. Linear in the list.
  void Apply(const std::vector<UpstreamRecord>& list, const std::set<DataCentre>& out,
             const RouteTable& terms, Instant now);

  // Highest number of instances that may be sending at the same time.
  void SetFleetSize(std::size_t instances) { fleet_size_ = instances; }
  std::size_t fleet_size() const { return fleet_size_; }

  // ---- choice ----

  // The upstream with the lowest expected time within what is acceptable. A cold one is offered
  // only when its pace allows a call. Linear in the upstreams of the service.
  PickResult Pick(const PickArgs& args, Instant now);

  // Upstreams that are full by old reports of other instances' calls, those with the oldest reports
  // first: a probe tells whether one has room for a call that waits. Linear.
  std::vector<std::shared_ptr<BalancedUpstream>> PossiblyFree(const ServiceName& service,
                                                              Instant now) const;

  // Counts a call as sent to that upstream.
  void RecordStart(BalancedUpstream* upstream, Instant now);
  // Ends an attempt. `occupancy` is what it met when it started.
  void RecordEnd(BalancedUpstream* upstream, UpstreamOutcome outcome, Instant started,
                 double occupancy, Instant now);

  // An attempt that started at `started` is still without an answer.
  void RecordUnanswered(BalancedUpstream* upstream, Instant started, Instant now) {
    upstream->RecordUnanswered(started, LatencyEstimate(upstream->record().service), now);
  }

  // Time until a call that waits now would find room, by the service's usual time to answer.
  Duration ExpectedWait(const ServiceName& service, std::size_t waiting, Instant now) const;
  // Usual time to answer of the service.
  Duration LatencyEstimate(const ServiceName& service) const;

  // ---- upkeep ----

  // Doubted upstreams whose probe is due now, of services that had calls lately: an instance
  // without callers need not know. Of those of a data centre that returned, as many as the calls
  // under way warrant.
  //
  // Load pattern: a data centre with a hundred upstreams returns to hundreds of instances, of which
  // a few carry the calls and the others get one now and then.
  std::vector<std::shared_ptr<BalancedUpstream>> DueProbes(Instant now);
  void ClearSuspect(BalancedUpstream* upstream, Duration warm_up_left, Instant now);

  // Null when unknown.
  std::shared_ptr<BalancedUpstream> Find(const UpstreamId& id) const;
  const std::map<UpstreamId, std::shared_ptr<BalancedUpstream>>& all() const { return upstreams_; }

  // Calls under way for each returned upstream that is probed at a time.
  static constexpr std::size_t kCallsPerProbe = 4;
  // A service without calls for this long gets no probes.
  static constexpr Duration kServiceIdleTime = std::chrono::seconds(5);
  // A report of this age still tells whether neighbours slow the upstream down.
  static constexpr Duration kMaxReportAge = std::chrono::milliseconds(20);
  // Upstreams that are probed at a time while calls wait.
  static constexpr std::size_t kMaxProbesWhileWaiting = 3;
  // Upstreams that are probed for one call.
  static constexpr std::size_t kMaxProbesPerCall = 2;
  // A call to another data centre costs this much more, so that the nearer one wins between equals.
  static constexpr Duration kRemotePenalty = std::chrono::milliseconds(6);
  // A new connection costs the upstream some work, and holds a slot there for a moment: at least
  // this much.
  static constexpr Duration kNewConnectionPenalty = std::chrono::milliseconds(8);
  // Part of the usual time that it costs, so that an instance stays with the upstreams to which it
  // has connections while these do as well: hundreds of instances that call hundreds of upstreams
  // evenly would need two new connections a call.
  static constexpr double kNewConnectionLatencyFraction = 0.2;
  // Large answers and bodies are expensive between data centres.
  static constexpr Duration kLargeTransferRemotePenalty = std::chrono::milliseconds(300);
  // A failed attempt costs a second one.
  static constexpr Duration kFailurePenalty = std::chrono::milliseconds(400);

 private:
  struct ServiceEntry {
    std::vector<std::shared_ptr<BalancedUpstream>> upstreams;
    LatencyEstimator load;
    // When a call was last to be placed.
    Instant last_requested;
  };

  // Doubted upstreams whose probe is due, those of the own data centre first; takes the probes.
  std::vector<std::shared_ptr<BalancedUpstream>> DueSuspectProbes(const ServiceEntry& service,
                                                                  Instant now) const;
  // Upstreams of a returned data centre that may be probed now.
  static std::size_t ReturnedProbeLimit(const ServiceEntry& service);
  WarmUpPacer::Limits WarmUpLimitsOf(const UpstreamRecord& record, const RouteTable& terms) const;
  void AddOrUpdate(const UpstreamRecord& record, const RouteTable& terms, Instant now);
  bool IsLocal(const BalancedUpstream& upstream) const {
    return upstream.record().data_centre == options_.data_centre;
  }
  double Cost(const BalancedUpstream& upstream, const ServiceEntry& service, CallKind kind,
              std::uint32_t limit, Instant now) const;

  const Options options_;
  Random random_;
  std::size_t fleet_size_ = 1;
  std::map<UpstreamId, std::shared_ptr<BalancedUpstream>> upstreams_;
  std::map<ServiceName, ServiceEntry> services_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_LOAD_BALANCER_H_
