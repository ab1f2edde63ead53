#include "primroseweir/balance/load_balancer.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

#include "primroseweir/routes/route_table.h"

namespace primroseweir {
namespace {

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Relative growth of the expected latency from an idle upstream to one at its concurrency limit.
constexpr double kLoadCostFactor = 0.35;
// Cost factor of a cold upstream, which executes calls at a fraction of its speed.
constexpr double kColdCostFactor = 2;
// Largest random increase of a cost, as a fraction: keeps instances from all picking the same one
// of equal upstreams.
constexpr double kCostJitter = 0.04;

bool Contains(const std::vector<UpstreamId>& ids, const UpstreamId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

LoadBalancer::LoadBalancer(const Options& options)
    : options_(options), random_(options.random_seed) {}

// ---- state ----

void LoadBalancer::Apply(const std::vector<UpstreamRecord>& list,
                         const std::set<DataCentre>& data_centres_out, const RouteTable& routes,
                         Instant now) {
  std::set<UpstreamId> listed;
  const bool is_first_list = upstreams_.empty();
  for (const auto& record : list) {
    listed.insert(record.id);
    const bool is_added = !is_first_list && upstreams_.count(record.id) == 0;
    AddOrUpdate(record, routes, now);
    if (is_added) {
      upstreams_.at(record.id)->MarkNew();
    }
  }
  for (auto it = leaving_.begin(); it != leaving_.end();) {
    if (listed.count(it->first) != 0) {
      it->second.last_listed = now;
    }
    it = now - it->second.last_listed > kLeavingMemory ? leaving_.erase(it) : std::next(it);
  }
  for (auto& [name, service] : services_) {
    service.upstreams.clear();
  }
  for (auto it = upstreams_.begin(); it != upstreams_.end();) {
    auto& upstream = it->second;
    if (listed.count(it->first) == 0) {
      upstream->SetListed(false);
      it = upstreams_.erase(it);
      continue;
    }
    const bool is_out = data_centres_out.count(upstream->record().data_centre) != 0;
    if (is_out) {
      // Upstreams may become cold while they get no calls.
      upstream->MarkSuspect(BalancedUpstream::SuspectCause::kDataCentreOut, now);
    }
    upstream->SetDataCentreOut(is_out);
    services_[upstream->record().service].upstreams.push_back(upstream);
    ++it;
  }
}

WarmUpPacer::Limits LoadBalancer::WarmUpLimitsOf(const UpstreamRecord& record,
                                                 const RouteTable& routes) const {
  WarmUpPacer::Limits limits;
  if (const auto* service = routes.FindService(record.service)) {
    limits.rate = service->cold_rate;
    limits.max_rate = service->cold_rate * options_.cold_rate_factor + options_.cold_rate_allowance;
  }
  return limits;
}

void LoadBalancer::AddOrUpdate(const UpstreamRecord& record, const RouteTable& routes,
                               Instant now) {
  const auto limits = WarmUpLimitsOf(record, routes);
  auto& upstream = upstreams_[record.id];
  bool has_new_warm_up = true;
  if (upstream == nullptr) {
    upstream = std::make_shared<BalancedUpstream>(record, limits);
    RestoreLeaving(upstream.get());
  } else {
    has_new_warm_up = upstream->record().started_ms != record.started_ms ||
                      upstream->record().warm_up_left != record.warm_up_left;
    // Skips the update of unchanged records, which are most of a list.
    if (upstream->record() == record && upstream->warm_up_limits() == limits) {
      upstream->SetListed(true);
    } else {
      upstream->Update(record, limits);
    }
  }
  if (has_new_warm_up && record.warm_up_left > Duration::zero()) {
    upstream->SetCold(now + record.warm_up_left, fleet_size_, now, &random_);
  }
}

void LoadBalancer::SetLeaving(BalancedUpstream* upstream, Instant now) {
  upstream->SetLeaving();
  const auto& record = upstream->record();
  leaving_[record.id] = {record.address, record.started_ms, now};
}

void LoadBalancer::RestoreLeaving(BalancedUpstream* upstream) {
  const auto& record = upstream->record();
  const auto found = leaving_.find(record.id);
  if (found == leaving_.end()) {
    return;
  }
  // Without a start time, a new entry can't be distinguished from that of a new process.
  if (record.started_ms != 0 && record.started_ms == found->second.started_ms &&
      record.address == found->second.address) {
    upstream->SetLeaving();
  } else {
    leaving_.erase(found);
  }
}

// ---- picking ----

LoadBalancer::PickResult LoadBalancer::Pick(const PickArgs& args, Instant now) {
  const auto found = services_.find(args.service);
  if (found == services_.end()) {
    return {nullptr, PickFailure::kNoUpstream, false, {}};
  }
  auto& service = found->second;
  service.last_requested = now;
  PickResult pick;
  pick.failure = PickFailure::kNoUpstream;
  std::vector<std::pair<double, std::shared_ptr<BalancedUpstream>>> ranked;
  const bool local_only =
      args.local_only && std::any_of(service.upstreams.begin(), service.upstreams.end(),
                                     [this, now](const auto& upstream) {
                                       return upstream->is_available(now) &&
                                              !upstream->is_suspect() && IsLocal(*upstream);
                                     });
  for (const auto& upstream : service.upstreams) {
    if (!upstream->is_available(now) || Contains(args.excluded, upstream->record().id)) {
      continue;
    }
    const auto limit = service.latency_estimator.ConcurrencyLimit(upstream->record().slots);
    const std::uint32_t reserved_slots = args.is_hedge && limit > 1 ? 1 : 0;
    const bool is_returning = upstream->in_flight() >= upstream->pause().MaxInFlight(limit, now);
    const bool must_wait_for_pacer = upstream->is_cold(now) && !upstream->pacer().IsReady(now);
    const double expected_latency =
        Seconds(service.latency_estimator.latency_estimate()) * upstream->slowness(now);
    const bool is_full = upstream->is_suspect() || must_wait_for_pacer || is_returning ||
                         (local_only && !IsLocal(*upstream)) ||
                         upstream->occupancy(now) + 0.5 + reserved_slots >= limit;
    if (expected_latency > Seconds(args.latency_limit)) {
      if (pick.failure == PickFailure::kNoUpstream) {
        pick.failure = is_full ? PickFailure::kFull : PickFailure::kOnlySlowRoom;
      }
      continue;
    }
    if (is_full) {
      pick.failure = PickFailure::kFull;
      continue;
    }
    const double cost =
        Cost(*upstream, service, args.kind, limit, now) * (1 + kCostJitter * random_.UniformUnit());
    ranked.emplace_back(cost, upstream);
  }
  if (ranked.empty()) {
    if (pick.failure == PickFailure::kFull) {
      pick.upstream = PickToExplore(args, local_only, &service, now);
      if (pick.upstream != nullptr) {
        pick.failure = PickFailure::kNone;
        pick.is_exploration = true;
        return pick;
      }
    }
    if (args.may_probe) {
      pick.to_probe = DueSuspectProbes(service, now);
    }
    return pick;
  }
  const auto probe_count = std::min(kMaxProbesPerCall, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(probe_count),
                    ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  pick.upstream = ranked.front().second;
  pick.failure = PickFailure::kNone;
  const bool has_fresh_report = now - pick.upstream->reported_at() < kMaxReportAge;
  if (!has_fresh_report && pick.upstream->may_report()) {
    for (std::size_t i = 0; i < probe_count; ++i) {
      pick.to_probe.push_back(ranked[i].second);
    }
  }
  return pick;
}

std::shared_ptr<BalancedUpstream> LoadBalancer::PickToExplore(const PickArgs& args, bool local_only,
                                                              ServiceEntry* service,
                                                              Instant now) const {
  std::shared_ptr<BalancedUpstream> best;
  if (!IsIdempotent(args.kind) || args.is_hedge ||
      now - service->last_explored < kExplorationInterval) {
    return best;
  }
  const auto& estimator = service->latency_estimator;
  double best_cost = 0;
  for (const auto& upstream : service->upstreams) {
    const auto slots = upstream->record().slots;
    const double occupancy = upstream->occupancy(now) + 1;
    const double expected_latency = Seconds(estimator.latency_estimate()) *
                                    upstream->slowness(now) *
                                    estimator.LoadFactor(occupancy, slots);
    if (!upstream->is_available(now) || upstream->is_suspect() || upstream->is_cold(now) ||
        Contains(args.excluded, upstream->record().id) || (local_only && !IsLocal(*upstream)) ||
        upstream->in_flight() >= upstream->pause().MaxInFlight(slots, now) ||
        estimator.ConcurrencyLimit(slots) == slots || occupancy > slots + 0.5 ||
        expected_latency > Seconds(args.latency_limit)) {
      continue;
    }
    const double cost = Cost(*upstream, *service, args.kind, slots, now);
    if (best == nullptr || cost < best_cost) {
      best = upstream;
      best_cost = cost;
    }
  }
  if (best != nullptr) {
    service->last_explored = now;
  }
  return best;
}

std::vector<std::shared_ptr<BalancedUpstream>> LoadBalancer::DueSuspectProbes(
    const ServiceEntry& service, Instant now) const {
  std::vector<std::shared_ptr<BalancedUpstream>> due;
  for (const bool local : {true, false}) {
    for (const auto& upstream : service.upstreams) {
      if (due.size() < kMaxProbesPerCall && IsLocal(*upstream) == local &&
          upstream->is_available(now) && upstream->TryAcquireProbe(now)) {
        due.push_back(upstream);
      }
    }
  }
  return due;
}

double LoadBalancer::Cost(const BalancedUpstream& upstream, const ServiceEntry& service,
                          CallKind kind, std::uint32_t limit, Instant now) const {
  const double utilization = (upstream.occupancy(now) + 1) / limit;
  double cost =
      Seconds(service.latency_estimator.latency_estimate()) * upstream.slowness(now) *
      (1 + kLoadCostFactor * utilization) *
      service.latency_estimator.LoadFactor(upstream.occupancy(now) + 1, upstream.record().slots);
  cost += upstream.failure_rate(now) * Seconds(kFailurePenalty);
  if (upstream.is_cold(now)) {
    cost *= kColdCostFactor;
  }
  // A new upstream is exempt, so that it gets its first call at once: it would otherwise stay idle
  // until the others are full.
  if (!upstream.is_connected() && !upstream.is_new()) {
    cost += std::max(
        Seconds(kNewConnectionPenalty),
        kNewConnectionLatencyFraction * Seconds(service.latency_estimator.latency_estimate()));
  }
  if (!IsLocal(upstream)) {
    cost +=
        std::max(Seconds(IsLargeTransfer(kind) ? kLargeTransferRemotePenalty : kRemotePenalty),
                 kRemoteLatencyFraction * Seconds(service.latency_estimator.latency_estimate()));
  }
  return cost;
}

std::vector<std::shared_ptr<BalancedUpstream>> LoadBalancer::PossiblyFreeUpstreams(
    const ServiceName& service, Instant now) const {
  std::vector<std::shared_ptr<BalancedUpstream>> candidates;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return candidates;
  }
  for (const auto& upstream : found->second.upstreams) {
    const auto limit = found->second.latency_estimator.ConcurrencyLimit(upstream->record().slots);
    const bool must_wait_for_pacer = upstream->is_cold(now) && !upstream->pacer().IsReady(now);
    const auto max_in_flight = upstream->pause().MaxInFlight(limit, now);
    if (upstream->is_available(now) && !upstream->is_suspect() && !must_wait_for_pacer &&
        upstream->may_report() && upstream->in_flight() < max_in_flight &&
        now - upstream->reported_at() >= kMaxReportAge) {
      candidates.push_back(upstream);
    }
  }
  // A probe over an idle connection costs the upstream less than one over a new connection.
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::make_pair(!a->is_connected(), a->reported_at()) <
           std::make_pair(!b->is_connected(), b->reported_at());
  });
  candidates.resize(std::min(candidates.size(), kMaxProbesWhileWaiting));
  return candidates;
}

void LoadBalancer::RecordStart(BalancedUpstream* upstream, Instant now) {
  upstream->RecordStart();
  if (upstream->is_cold(now)) {
    upstream->pacer().RecordSent(upstream->warm_up_limits(), fleet_size_, now);
  }
}

void LoadBalancer::RecordEnd(BalancedUpstream* upstream, UpstreamOutcome outcome, Instant started,
                             double occupancy, Instant now) {
  auto& estimator = services_[upstream->record().service].latency_estimator;
  if (outcome == UpstreamOutcome::kResponded && !upstream->is_cold(now)) {
    // The latency of calls that were queued at the upstream does not show its speed.
    if (upstream->reported_waiting() == 0) {
      estimator.RecordResponse(now - started,
                               std::max<double>(occupancy, upstream->reported_running()),
                               upstream->record().slots, now);
    }
  }
  upstream->RecordEnd(outcome, started, estimator.latency_estimate(), now);
  if (outcome == UpstreamOutcome::kConnectionLost) {
    upstream->MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, now);
  }
}

std::size_t LoadBalancer::ReturnedProbeLimit(const ServiceEntry& service, Instant now) {
  std::size_t calls = 0;
  bool has_available_upstream = false;
  for (const auto& upstream : service.upstreams) {
    calls += upstream->in_flight();
    has_available_upstream =
        has_available_upstream || (upstream->is_available(now) && !upstream->is_suspect());
  }
  return std::max(calls / kCallsPerProbe, has_available_upstream ? 0 : kMaxProbesPerCall);
}

Duration LoadBalancer::ExpectedWait(const ServiceName& service, std::size_t waiting,
                                    Instant now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return Duration::zero();
  }
  // The calls of this instance free room for it when they end.
  double in_flight = 0;
  for (const auto& upstream : found->second.upstreams) {
    in_flight += upstream->in_flight();
  }
  const double latency_estimate = Seconds(found->second.latency_estimator.latency_estimate());
  const double wait =
      latency_estimate * static_cast<double>(waiting + 1) / std::max(in_flight, 1.0);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

std::size_t LoadBalancer::CountUsable(const ServiceName& service) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return 0;
  }
  const auto& upstreams = found->second.upstreams;
  return static_cast<std::size_t>(
      std::count_if(upstreams.begin(), upstreams.end(),
                    [](const auto& upstream) { return upstream->is_usable(); }));
}

std::optional<Instant> LoadBalancer::EndOfPauses(const ServiceName& service, Instant now) const {
  std::optional<Instant> first_end;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return first_end;
  }
  for (const auto& upstream : found->second.upstreams) {
    if (!upstream->is_usable()) {
      continue;
    }
    if (!upstream->pause().is_active(now)) {
      return std::nullopt;
    }
    first_end = std::min(first_end.value_or(Instant::max()), upstream->pause().end());
  }
  return first_end;
}

void LoadBalancer::MeasurePressure(Instant now) {
  for (auto& [name, service] : services_) {
    double calls = 0;
    double room = 0;
    double local_calls = 0;
    double local_room = 0;
    for (const auto& upstream : service.upstreams) {
      if (!upstream->is_available(now) || upstream->is_suspect()) {
        continue;
      }
      const double occupancy = upstream->occupancy(now);
      const double limit = service.latency_estimator.ConcurrencyLimit(upstream->record().slots);
      calls += occupancy;
      room += limit;
      local_calls += IsLocal(*upstream) ? occupancy : 0;
      local_room += IsLocal(*upstream) ? limit : 0;
    }
    const bool is_requested =
        service.last_requested != Instant() && now - service.last_requested <= kUnservedMemory;
    if (room <= 0 && is_requested) {
      calls = 1;
    }
    if (local_room <= 0 && is_requested) {
      // All calls leave for other data centres.
      local_calls = 1;
    }
    service.pressure.Update(calls, room);
    service.local_pressure.Update(local_calls, local_room);
  }
}

bool LoadBalancer::ShouldTellOtherDataCentres() const {
  return std::any_of(services_.begin(), services_.end(), [](const auto& entry) {
    return entry.second.pressure.is_tight() || entry.second.local_pressure.is_tight();
  });
}

bool LoadBalancer::IsTight(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found != services_.end() && found->second.pressure.is_tight();
}

Duration LoadBalancer::LatencyEstimate(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? LatencyEstimator::kInitialLatencyEstimate
                                  : found->second.latency_estimator.latency_estimate();
}

// ---- maintenance ----

std::vector<std::shared_ptr<BalancedUpstream>> LoadBalancer::DueProbes(Instant now) {
  std::vector<std::shared_ptr<BalancedUpstream>> due;
  for (const auto& [name, service] : services_) {
    if (service.last_requested == Instant() || now - service.last_requested > kServiceIdleTime) {
      continue;
    }
    auto returned_left = ReturnedProbeLimit(service, now);
    for (const auto& upstream : service.upstreams) {
      if (!upstream->is_available(now) ||
          (!upstream->is_suspect_after_loss() && returned_left == 0) ||
          !upstream->TryAcquireProbe(now)) {
        continue;
      }
      returned_left -= upstream->is_suspect_after_loss() ? 0 : 1;
      due.push_back(upstream);
    }
  }
  return due;
}

void LoadBalancer::ClearSuspect(BalancedUpstream* upstream, Duration warm_up_left, Instant now) {
  upstream->ClearSuspect(warm_up_left, fleet_size_, now, &random_);
}

std::shared_ptr<BalancedUpstream> LoadBalancer::Find(const UpstreamId& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : found->second;
}

}  // namespace primroseweir
