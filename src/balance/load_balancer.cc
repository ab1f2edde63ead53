#include "primroseweir/balance/load_balancer.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "primroseweir/routes/route_table.h"

namespace primroseweir {
namespace {

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

// Growth of the expected time with the part of an upstream's limit that is taken.
constexpr double kLoadCost = 0.35;
// A cold upstream runs at a fraction of its speed.
constexpr double kColdFactor = 2;
// Equal costs are told apart at random, so that instances do not pick the same upstream in step.
constexpr double kJitter = 0.04;

bool Contains(const std::vector<UpstreamId>& ids, const UpstreamId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

LoadBalancer::LoadBalancer(const Options& options) : options_(options), random_(options.seed) {}

// ---- state ----

void LoadBalancer::Apply(const std::vector<UpstreamRecord>& list, const std::set<DataCentre>& out,
                         const RouteTable& terms, Instant now) {
  std::set<UpstreamId> listed;
  const bool first = upstreams_.empty();
  for (const auto& record : list) {
    listed.insert(record.id);
    const bool joins = !first && upstreams_.count(record.id) == 0;
    AddOrUpdate(record, terms, now);
    if (joins) {
      upstreams_.at(record.id)->MarkNew();
    }
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
    const bool is_out = out.count(upstream->record().data_centre) != 0;
    if (is_out) {
      // Its upstreams may turn cold while they get no calls.
      upstream->MarkSuspect(BalancedUpstream::SuspectCause::kDataCentreReturned, now);
    }
    upstream->SetDataCentreOut(is_out);
    services_[upstream->record().service].upstreams.push_back(upstream);
    ++it;
  }
}

WarmUpPacer::Limits LoadBalancer::WarmUpLimitsOf(const UpstreamRecord& record,
                                                 const RouteTable& terms) const {
  WarmUpPacer::Limits limits;
  if (const auto* service = terms.FindService(record.service)) {
    limits.rate = service->cold_rate;
    limits.max_rate = service->cold_rate * options_.cold_rate_factor + options_.cold_rate_allowance;
  }
  return limits;
}

void LoadBalancer::AddOrUpdate(const UpstreamRecord& record, const RouteTable& terms, Instant now) {
  const auto limits = WarmUpLimitsOf(record, terms);
  auto& known = upstreams_[record.id];
  bool restarted = true;
  if (known == nullptr) {
    known = std::make_shared<BalancedUpstream>(record, limits);
  } else {
    restarted = known->record().started_ms != record.started_ms ||
                known->record().warm_up_left != record.warm_up_left;
    // Most of a list stays as it was.
    if (known->record() == record && known->warm_up_limits() == limits) {
      known->SetListed(true);
    } else {
      known->Update(record, limits);
    }
  }
  if (restarted && record.warm_up_left > Duration::zero()) {
    known->SetCold(now + record.warm_up_left, fleet_size_, now, &random_);
  }
}

// ---- choice ----

LoadBalancer::PickResult LoadBalancer::Pick(const PickArgs& args, Instant now) {
  const auto found = services_.find(args.service);
  if (found == services_.end()) {
    return {nullptr, PickFailure::kNoUpstream, {}};
  }
  auto& service = found->second;
  service.last_requested = now;
  PickResult pick;
  pick.failure = PickFailure::kNoUpstream;
  std::vector<std::pair<double, std::shared_ptr<BalancedUpstream>>> ranked;
  const bool local_only =
      args.local_only &&
      std::any_of(service.upstreams.begin(), service.upstreams.end(), [this](const auto& upstream) {
        return upstream->is_usable() && !upstream->is_suspect() && IsLocal(*upstream);
      });
  for (const auto& upstream : service.upstreams) {
    if (!upstream->is_usable() || Contains(args.excluded, upstream->record().id)) {
      continue;
    }
    const auto limit = service.load.ConcurrencyLimit(upstream->record().slots);
    const bool paced = upstream->is_cold(now) && !upstream->pacer().IsReady(now);
    const double slow = Seconds(service.load.latency_estimate()) * upstream->slowness(now);
    const bool full = upstream->is_suspect() || paced || (local_only && !IsLocal(*upstream)) ||
                      upstream->occupancy(now) + 0.5 >= limit;
    if (slow > Seconds(args.latency_limit)) {
      if (pick.failure == PickFailure::kNoUpstream) {
        pick.failure = full ? PickFailure::kFull : PickFailure::kOnlySlowRoom;
      }
      continue;
    }
    if (full) {
      pick.failure = PickFailure::kFull;
      continue;
    }
    const double cost =
        Cost(*upstream, service, args.kind, limit, now) * (1 + kJitter * random_.Unit());
    ranked.emplace_back(cost, upstream);
  }
  if (ranked.empty()) {
    if (args.may_probe) {
      pick.to_probe = DueSuspectProbes(service, now);
    }
    return pick;
  }
  const auto shown = std::min(kMaxProbesPerCall, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(shown),
                    ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  pick.upstream = ranked.front().second;
  pick.failure = PickFailure::kNone;
  const bool fresh = now - pick.upstream->reported_at() < kMaxReportAge;
  if (!fresh && pick.upstream->may_report()) {
    for (std::size_t i = 0; i < shown; ++i) {
      pick.to_probe.push_back(ranked[i].second);
    }
  }
  return pick;
}

std::vector<std::shared_ptr<BalancedUpstream>> LoadBalancer::DueSuspectProbes(
    const ServiceEntry& service, Instant now) const {
  std::vector<std::shared_ptr<BalancedUpstream>> asked;
  for (const bool near : {true, false}) {
    for (const auto& upstream : service.upstreams) {
      if (asked.size() < kMaxProbesPerCall && IsLocal(*upstream) == near && upstream->is_usable() &&
          upstream->TryAcquireProbe(now)) {
        asked.push_back(upstream);
      }
    }
  }
  return asked;
}

double LoadBalancer::Cost(const BalancedUpstream& upstream, const ServiceEntry& service,
                          CallKind kind, std::uint32_t limit, Instant now) const {
  const double load = (upstream.occupancy(now) + 1) / limit;
  double cost =
      Seconds(service.load.latency_estimate()) * upstream.slowness(now) * (1 + kLoadCost * load);
  cost += upstream.failure_rate(now) * Seconds(kFailurePenalty);
  if (upstream.is_cold(now)) {
    cost *= kColdFactor;
  }
  // One that joined gets its first call at once, or it would idle until the others are full.
  if (!upstream.is_connected() && !upstream.is_new()) {
    cost += std::max(Seconds(kNewConnectionPenalty),
                     kNewConnectionLatencyFraction * Seconds(service.load.latency_estimate()));
  }
  if (!IsLocal(upstream)) {
    cost += Seconds(IsLargeTransfer(kind) ? kLargeTransferRemotePenalty : kRemotePenalty);
  }
  return cost;
}

std::vector<std::shared_ptr<BalancedUpstream>> LoadBalancer::PossiblyFree(
    const ServiceName& service, Instant now) const {
  std::vector<std::shared_ptr<BalancedUpstream>> candidates;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return candidates;
  }
  for (const auto& upstream : found->second.upstreams) {
    const auto limit = found->second.load.ConcurrencyLimit(upstream->record().slots);
    const bool paced = upstream->is_cold(now) && !upstream->pacer().IsReady(now);
    if (upstream->is_usable() && !upstream->is_suspect() && !paced && upstream->may_report() &&
        upstream->in_flight() < limit && now - upstream->reported_at() >= kMaxReportAge) {
      candidates.push_back(upstream);
    }
  }
  // A probe over a connection at hand costs the upstream less than a new connection.
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
  auto& load = services_[upstream->record().service].load;
  if (outcome == UpstreamOutcome::kAnswered && !upstream->is_cold(now)) {
    // Calls that waited at the upstream tell nothing about its speed.
    if (upstream->reported_waiting() == 0) {
      load.RecordResponse(now - started, std::max<double>(occupancy, upstream->reported_running()),
                          upstream->record().slots);
    }
  }
  upstream->RecordEnd(outcome, started, load.latency_estimate(), now);
  if (outcome == UpstreamOutcome::kLost) {
    upstream->MarkSuspect(BalancedUpstream::SuspectCause::kConnectionLost, now);
  }
}

std::size_t LoadBalancer::ReturnedProbeLimit(const ServiceEntry& service) {
  std::size_t calls = 0;
  bool any_trusted = false;
  for (const auto& upstream : service.upstreams) {
    calls += upstream->in_flight();
    any_trusted = any_trusted || (upstream->is_usable() && !upstream->is_suspect());
  }
  return std::max(calls / kCallsPerProbe, any_trusted ? 0 : kMaxProbesPerCall);
}

Duration LoadBalancer::ExpectedWait(const ServiceName& service, std::size_t waiting,
                                    Instant now) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return Duration::zero();
  }
  // Room at this instance comes back with its own calls.
  double own = 0;
  for (const auto& upstream : found->second.upstreams) {
    own += upstream->in_flight();
  }
  const double latency_estimate = Seconds(found->second.load.latency_estimate());
  const double wait = latency_estimate * static_cast<double>(waiting + 1) / std::max(own, 1.0);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

Duration LoadBalancer::LatencyEstimate(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? LatencyEstimator::kInitialLatencyEstimate
                                  : found->second.load.latency_estimate();
}

// ---- upkeep ----

std::vector<std::shared_ptr<BalancedUpstream>> LoadBalancer::DueProbes(Instant now) {
  std::vector<std::shared_ptr<BalancedUpstream>> due;
  for (const auto& [name, service] : services_) {
    if (service.last_requested == Instant() || now - service.last_requested > kServiceIdleTime) {
      continue;
    }
    auto returned = ReturnedProbeLimit(service);
    for (const auto& upstream : service.upstreams) {
      if (!upstream->is_usable() || (!upstream->is_suspect_after_loss() && returned == 0) ||
          !upstream->TryAcquireProbe(now)) {
        continue;
      }
      returned -= upstream->is_suspect_after_loss() ? 0 : 1;
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
