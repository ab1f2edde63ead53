#ifndef PRIMROSEWEIR_BALANCE_LOAD_BALANCER_H_
#define PRIMROSEWEIR_BALANCE_LOAD_BALANCER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "primroseweir/balance/balanced_upstream.h"
#include "primroseweir/balance/latency_estimator.h"
#include "primroseweir/balance/service_pressure.h"
#include "primroseweir/base/ids.h"
#include "primroseweir/base/random.h"
#include "primroseweir/base/socket_address.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/upstream_record.h"
#include "primroseweir/routes/route.h"

namespace primroseweir {

class RouteTable;

// Holds the upstreams that this instance knows and picks one for each call. Used only on the thread
// of the event loop.
//
// Load pattern: short calls to upstreams whose speed changes many times a second, known from load
// reports that are tens of milliseconds old. Pick combines what is known about each upstream
// (calls in flight from all instances, slowdown, failures, distance), weighted by age, into one
// expected latency.
class LoadBalancer {
 public:
  struct Options {
    DataCentre data_centre;
    std::uint64_t random_seed = 0;
    // A cold upstream may get its configured rate times `cold_rate_factor` plus
    // `cold_rate_allowance` calls in any second, from all instances together.
    double cold_rate_factor = 1;
    double cold_rate_allowance = 0;
  };

  // The call to pick an upstream for.
  struct PickArgs {
    ServiceName service;
    CallKind kind = CallKind::kIdempotent;
    // Upstreams that the call was already sent to.
    std::vector<UpstreamId> excluded;
    // Longest expected latency that is still useful; slower upstreams are not picked.
    Duration latency_limit = Duration::max();
    // Treats upstreams of other data centres as full while the local one has a usable upstream that
    // is not suspect.
    bool local_only = false;
    // The call is a second attempt beside one in progress: it gets only a slot that leaves another
    // one free for first attempts.
    bool is_hedge = false;
    // The call can wait for probes of suspect upstreams when none can be picked.
    bool may_probe = false;
  };

  // Why no upstream was picked: none is usable, those that are fast enough are full, or only slow
  // ones have room. On kFull a call must not fall back to a slow upstream: one that is filled under
  // load stays full long after it is fast again.
  enum class PickFailure { kNone, kNoUpstream, kFull, kOnlySlowRoom };

  struct PickResult {
    std::shared_ptr<BalancedUpstream> upstream;
    PickFailure failure = PickFailure::kNone;
    // Whether the upstream was picked for a slot above its concurrency limit.
    bool is_exploration = false;
    // Upstreams to probe before the call is sent. If an upstream was picked and its load report is
    // old, these are the best candidates, the picked one first, since another may turn out to be
    // better. If none was picked, these are suspect upstreams whose probe is due. Empty when the
    // report of the picked upstream is fresh, or when it sends no load reports.
    std::vector<std::shared_ptr<BalancedUpstream>> to_probe;
  };

  explicit LoadBalancer(const Options& options);

  // ---- state ----

  // Applies the list of upstreams, the data centres that are out of service and the settings of the
  // services. Upstreams that remain listed keep their observations. New or restarted ones are cold
  // for as long as the list states. Those of a data centre that is out of service become suspect,
  // so that they are probed when it returns. Linear in the size of the list.
  void Apply(const std::vector<UpstreamRecord>& list, const std::set<DataCentre>& data_centres_out,
             const RouteTable& routes, Instant now);

  // Sets the highest number of instances that may be sending calls at the same time.
  void SetFleetSize(std::size_t instances) { fleet_size_ = instances; }
  std::size_t fleet_size() const { return fleet_size_; }

  // Records that the upstream stated that it leaves. Its process gets no calls and no probes from
  // then on, also if its entry disappears from the list and is listed again later. A new process
  // under the same id is used.
  void SetLeaving(BalancedUpstream* upstream, Instant now);

  // ---- picking ----

  // Picks the upstream with the lowest cost among those within the latency limit. A cold one is a
  // candidate only when its pacer permits a call. Linear in the number of the service's upstreams.
  PickResult Pick(const PickArgs& args, Instant now);

  // Returns up to kMaxProbesWhileWaiting upstreams that have room as far as the calls of this
  // instance are concerned, and whose load report of other instances' calls is old: a probe shows
  // whether there is room for a queued call. Those with an idle connection come first, then those
  // with the oldest reports. O(n log n) in the number of the service's upstreams.
  std::vector<std::shared_ptr<BalancedUpstream>> PossiblyFreeUpstreams(const ServiceName& service,
                                                                       Instant now) const;

  // Records the start of an attempt at that upstream.
  void RecordStart(BalancedUpstream* upstream, Instant now);
  // Records the end of an attempt. `occupancy` is the occupancy of the upstream when the attempt
  // started, including the attempt.
  void RecordEnd(BalancedUpstream* upstream, UpstreamOutcome outcome, Instant started,
                 double occupancy, Instant now);

  // Records that an attempt that started at `started` has no response yet.
  void RecordOverdue(BalancedUpstream* upstream, Instant started, Instant now) {
    upstream->RecordOverdue(started, LatencyEstimate(upstream->record().service), now);
  }

  // Returns the expected time until a call gets room when `waiting` calls are served before it,
  // derived from the service's latency estimate.
  Duration ExpectedWait(const ServiceName& service, std::size_t waiting, Instant now) const;
  // Returns the number of upstreams of the service that are usable, also those that are paused.
  std::size_t CountUsable(const ServiceName& service) const;
  // Returns when the first pause of an upstream of the service ends, if all its usable upstreams
  // asked for one. Returns no value otherwise.
  std::optional<Instant> EndOfPauses(const ServiceName& service, Instant now) const;
  // Measures how much of each service's room is taken. Linear in the number of upstreams.
  void MeasurePressure(Instant now);
  // Returns whether calls of any service may soon leave for other data centres, or already fill
  // these, by the last measurement: the instances there should then know of this one's calls.
  bool ShouldTellOtherDataCentres() const;
  // Returns whether that service is short of room in all data centres together, as far as known.
  bool IsTight(const ServiceName& service) const;
  // Returns the latency estimate of the service.
  Duration LatencyEstimate(const ServiceName& service) const;

  // ---- maintenance ----

  // Returns the suspect upstreams whose probe is due, of services with recent calls: an instance
  // without callers does not need the results. Of those whose data centre returned, only as many as
  // the calls in flight justify.
  //
  // Load pattern: a data centre with a hundred upstreams returns to hundreds of instances, of which
  // a few have most of the calls and the others get one occasionally.
  std::vector<std::shared_ptr<BalancedUpstream>> DueProbes(Instant now);
  void ClearSuspect(BalancedUpstream* upstream, Duration warm_up_left, Instant now);

  // Returns the upstream with that id; null when it is not listed.
  std::shared_ptr<BalancedUpstream> Find(const UpstreamId& id) const;
  const std::map<UpstreamId, std::shared_ptr<BalancedUpstream>>& upstreams() const {
    return upstreams_;
  }

  // Time for which a leaving process is remembered after it was last listed: its entry may expire
  // during an outage of the platform and be listed again after its end. Bounds the memory for
  // processes that are gone.
  static constexpr Duration kLeavingMemory = std::chrono::minutes(10);
  // Calls in flight per upstream of a returned data centre that is probed at a time.
  static constexpr std::size_t kCallsPerProbe = 4;
  // The upstreams of a service without calls for this long are not probed.
  static constexpr Duration kServiceIdleTime = std::chrono::seconds(5);
  // Age up to which a load report shows whether other tenants slow the upstream's machine down.
  static constexpr Duration kMaxReportAge = std::chrono::milliseconds(20);
  // Upstreams that are probed at a time while calls are queued.
  static constexpr std::size_t kMaxProbesWhileWaiting = 3;
  // Upstreams that are probed for one call.
  static constexpr std::size_t kMaxProbesPerCall = 2;
  // Additional cost of a call to another data centre, so that the local one wins between equals.
  static constexpr Duration kRemotePenalty = std::chrono::milliseconds(6);
  // Minimum cost of a new connection, which needs some work at the upstream and holds a slot there
  // for a moment.
  static constexpr Duration kNewConnectionPenalty = std::chrono::milliseconds(8);
  // Cost of a new connection as a fraction of the latency estimate. It keeps an instance with the
  // upstreams to which it has connections while these perform as well as others: hundreds of
  // instances that call hundreds of upstreams evenly would need two new connections per call.
  static constexpr double kNewConnectionLatencyFraction = 0.2;
  // Large responses and request bodies are expensive between data centres.
  static constexpr Duration kLargeTransferRemotePenalty = std::chrono::milliseconds(300);
  // Cost of a call to another data centre as a fraction of the latency estimate: the cost of load
  // up to the knee, below which calls are as fast in a busy data centre as in an idle one. What
  // does not fit goes to other data centres.
  static constexpr double kRemoteLatencyFraction = 0.28;
  // Time between two calls of one service in slots above its concurrency limit, which show whether
  // the limit still holds. A call of 0.3 s then slows one upstream down for a third of the time,
  // and 15 responses, enough for a comparison, take 15 s.
  static constexpr Duration kExplorationInterval = std::chrono::seconds(1);
  // Used fraction of the local room from which other data centres are told of the calls of this
  // instance, before calls leave for idle upstreams there: their cost of distance is that of a load
  // of 0.8.
  static constexpr double kLocalTightLevel = 0.7;
  static constexpr double kLocalRelaxedLevel = 0.55;
  // Time for which a service without any usable upstream counts as tight after a call for it.
  static constexpr Duration kUnservedMemory = std::chrono::seconds(1);
  // Cost of a failed attempt, which requires a second one.
  static constexpr Duration kFailurePenalty = std::chrono::milliseconds(400);

 private:
  struct ServiceEntry {
    std::vector<std::shared_ptr<BalancedUpstream>> upstreams;
    LatencyEstimator latency_estimator;
    // Of the upstreams of all data centres, and of the local ones. The calls of instances in other
    // data centres are unknown until these are tight, so that the first is too low before.
    ServicePressure pressure;
    ServicePressure local_pressure{kLocalTightLevel, kLocalRelaxedLevel};
    // When an upstream was last requested for a call.
    Instant last_requested;
    // When the last call was placed above the concurrency limit.
    Instant last_explored;
  };

  // A process that stated that it leaves.
  struct LeavingProcess {
    SocketAddress address;
    std::int64_t started_ms = 0;
    Instant last_listed;
  };

  // Returns the best upstream with a free slot above the concurrency limit if a call in one is due,
  // else null. Only calls that may be repeated explore: a nearly full upstream may reset them.
  std::shared_ptr<BalancedUpstream> PickToExplore(const PickArgs& args, bool local_only,
                                                  ServiceEntry* service, Instant now) const;
  // Returns up to kMaxProbesPerCall suspect upstreams whose probe is due, local ones first, and
  // schedules their next probes.
  std::vector<std::shared_ptr<BalancedUpstream>> DueSuspectProbes(const ServiceEntry& service,
                                                                  Instant now) const;
  // Returns the number of upstreams of a returned data centre that may be probed now.
  static std::size_t ReturnedProbeLimit(const ServiceEntry& service, Instant now);
  WarmUpPacer::Limits WarmUpLimitsOf(const UpstreamRecord& record, const RouteTable& routes) const;
  void AddOrUpdate(const UpstreamRecord& record, const RouteTable& routes, Instant now);
  bool IsLocal(const BalancedUpstream& upstream) const {
    return upstream.record().data_centre == options_.data_centre;
  }
  // Returns the expected latency at that upstream in seconds, with the penalties above added.
  double Cost(const BalancedUpstream& upstream, const ServiceEntry& service, CallKind kind,
              std::uint32_t limit, Instant now) const;

  // Marks an upstream that was listed again as leaving if it is the process that stated so.
  void RestoreLeaving(BalancedUpstream* upstream);

  const Options options_;
  // The processes that stated that they leave, by the ids under which they are or were listed.
  std::map<UpstreamId, LeavingProcess> leaving_;
  Random random_;
  std::size_t fleet_size_ = 1;
  std::map<UpstreamId, std::shared_ptr<BalancedUpstream>> upstreams_;
  std::map<ServiceName, ServiceEntry> services_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BALANCE_LOAD_BALANCER_H_
