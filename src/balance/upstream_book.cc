#include "primroseweir/balance/upstream_book.h"

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

UpstreamBook::UpstreamBook(const Options& options) : options_(options), random_(options.seed) {}

// ---- state ----

void UpstreamBook::Apply(const std::vector<UpstreamRecord>& list, const std::set<DataCentre>& out,
                         const RouteTable& terms, Instant now) {
  std::set<UpstreamId> listed;
  const bool first = upstreams_.empty();
  for (const auto& record : list) {
    listed.insert(record.id);
    const bool joins = !first && upstreams_.count(record.id) == 0;
    AddOrUpdate(record, terms, now);
    if (joins) {
      upstreams_.at(record.id)->NoteJoined();
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
      upstream->Doubt(BalancedUpstream::Cause::kReturn, now);
    }
    upstream->SetOut(is_out);
    services_[upstream->record().service].upstreams.push_back(upstream);
    ++it;
  }
}

ColdPacer::Bound UpstreamBook::ColdBoundOf(const UpstreamRecord& record,
                                           const RouteTable& terms) const {
  ColdPacer::Bound bound;
  if (const auto* service = terms.FindService(record.service)) {
    bound.rate = service->cold_rate;
    bound.ceiling = service->cold_rate * options_.cold_factor + options_.cold_extra;
  }
  return bound;
}

void UpstreamBook::AddOrUpdate(const UpstreamRecord& record, const RouteTable& terms, Instant now) {
  const auto bound = ColdBoundOf(record, terms);
  auto& known = upstreams_[record.id];
  bool restarted = true;
  if (known == nullptr) {
    known = std::make_shared<BalancedUpstream>(record, bound);
  } else {
    restarted = known->record().started_ms != record.started_ms ||
                known->record().warm_up_left != record.warm_up_left;
    // Most of a list stays as it was.
    if (known->record() == record && known->cold_bound() == bound) {
      known->SetListed(true);
    } else {
      known->Update(record, bound);
    }
  }
  if (restarted && record.warm_up_left > Duration::zero()) {
    known->SetCold(now + record.warm_up_left, fleet_size_, now, &random_);
  }
}

// ---- choice ----

UpstreamBook::Choice UpstreamBook::Choose(const Query& query, Instant now) {
  const auto found = services_.find(query.service);
  if (found == services_.end()) {
    return {nullptr, Obstacle::kNoUpstream, {}};
  }
  auto& service = found->second;
  service.wanted = now;
  Choice choice;
  choice.obstacle = Obstacle::kNoUpstream;
  std::vector<std::pair<double, std::shared_ptr<BalancedUpstream>>> ranked;
  const bool near_only =
      query.near_only &&
      std::any_of(service.upstreams.begin(), service.upstreams.end(), [this](const auto& upstream) {
        return upstream->usable() && !upstream->doubted() && Near(*upstream);
      });
  for (const auto& upstream : service.upstreams) {
    if (!upstream->usable() || Contains(query.excluded, upstream->record().id)) {
      continue;
    }
    const auto limit = service.load.Limit(upstream->record().slots);
    const bool paced = upstream->cold(now) && !upstream->pacer().Ready(now);
    const double slow = Seconds(service.load.usual()) * upstream->slowness(now);
    const bool full = upstream->doubted() || paced || (near_only && !Near(*upstream)) ||
                      upstream->occupancy(now) + 0.5 >= limit;
    if (slow > Seconds(query.acceptable)) {
      if (choice.obstacle == Obstacle::kNoUpstream) {
        choice.obstacle = full ? Obstacle::kFull : Obstacle::kOnlySlow;
      }
      continue;
    }
    if (full) {
      choice.obstacle = Obstacle::kFull;
      continue;
    }
    const double cost =
        Cost(*upstream, service, query.kind, limit, now) * (1 + kJitter * random_.Unit());
    ranked.emplace_back(cost, upstream);
  }
  if (ranked.empty()) {
    if (query.may_probe) {
      choice.unsure = DoubtedToAsk(service, now);
    }
    return choice;
  }
  const auto shown = std::min(kProbedPerCall, ranked.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(shown),
                    ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  choice.upstream = ranked.front().second;
  choice.obstacle = Obstacle::kNone;
  const bool fresh = now - choice.upstream->reported_at() < kFreshReport;
  if (!fresh && choice.upstream->may_report()) {
    for (std::size_t i = 0; i < shown; ++i) {
      choice.unsure.push_back(ranked[i].second);
    }
  }
  return choice;
}

std::vector<std::shared_ptr<BalancedUpstream>> UpstreamBook::DoubtedToAsk(
    const ServiceEntry& service, Instant now) const {
  std::vector<std::shared_ptr<BalancedUpstream>> asked;
  for (const bool near : {true, false}) {
    for (const auto& upstream : service.upstreams) {
      if (asked.size() < kProbedPerCall && Near(*upstream) == near && upstream->usable() &&
          upstream->TakeProbe(now)) {
        asked.push_back(upstream);
      }
    }
  }
  return asked;
}

double UpstreamBook::Cost(const BalancedUpstream& upstream, const ServiceEntry& service,
                          CallKind kind, std::uint32_t limit, Instant now) const {
  const double load = (upstream.occupancy(now) + 1) / limit;
  double cost = Seconds(service.load.usual()) * upstream.slowness(now) * (1 + kLoadCost * load);
  cost += upstream.failures(now) * Seconds(kFailureCost);
  if (upstream.cold(now)) {
    cost *= kColdFactor;
  }
  // One that joined gets its first call at once, or it would idle until the others are full.
  if (!upstream.connected() && !upstream.joined()) {
    cost += std::max(Seconds(kNewConnection), kNewConnectionPart * Seconds(service.load.usual()));
  }
  if (!Near(upstream)) {
    cost += Seconds(MovesMuch(kind) ? kLargeDistance : kDistance);
  }
  return cost;
}

std::vector<std::shared_ptr<BalancedUpstream>> UpstreamBook::MaybeFree(const ServiceName& service,
                                                                       Instant now) const {
  std::vector<std::shared_ptr<BalancedUpstream>> candidates;
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return candidates;
  }
  for (const auto& upstream : found->second.upstreams) {
    const auto limit = found->second.load.Limit(upstream->record().slots);
    const bool paced = upstream->cold(now) && !upstream->pacer().Ready(now);
    if (upstream->usable() && !upstream->doubted() && !paced && upstream->may_report() &&
        upstream->in_flight() < limit && now - upstream->reported_at() >= kFreshReport) {
      candidates.push_back(upstream);
    }
  }
  // A probe over a connection at hand costs the upstream less than a new connection.
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::make_pair(!a->connected(), a->reported_at()) <
           std::make_pair(!b->connected(), b->reported_at());
  });
  candidates.resize(std::min(candidates.size(), kProbedWaiting));
  return candidates;
}

void UpstreamBook::NoteStart(BalancedUpstream* upstream, Instant now) {
  upstream->NoteStart();
  if (upstream->cold(now)) {
    upstream->pacer().NoteSent(upstream->cold_bound(), fleet_size_, now);
  }
}

void UpstreamBook::NoteEnd(BalancedUpstream* upstream, AttemptResult result, Instant started,
                           double occupancy, Instant now) {
  auto& load = services_[upstream->record().service].load;
  if (result == AttemptResult::kAnswered && !upstream->cold(now)) {
    // Calls that waited at the upstream tell nothing about its speed.
    if (upstream->reported_waiting() == 0) {
      load.NoteAnswer(now - started, std::max<double>(occupancy, upstream->reported_running()),
                      upstream->record().slots);
    }
  }
  upstream->NoteEnd(result, started, load.usual(), now);
  if (result == AttemptResult::kLost) {
    upstream->Doubt(BalancedUpstream::Cause::kLoss, now);
  }
}

std::size_t UpstreamBook::ReturnedToProbe(const ServiceEntry& service) {
  std::size_t calls = 0;
  bool any_trusted = false;
  for (const auto& upstream : service.upstreams) {
    calls += upstream->in_flight();
    any_trusted = any_trusted || (upstream->usable() && !upstream->doubted());
  }
  return std::max(calls / kCallsPerProbe, any_trusted ? 0 : kProbedPerCall);
}

Duration UpstreamBook::ExpectedWait(const ServiceName& service, std::size_t waiting,
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
  const double usual = Seconds(found->second.load.usual());
  const double wait = usual * static_cast<double>(waiting + 1) / std::max(own, 1.0);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

Duration UpstreamBook::Usual(const ServiceName& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? ServiceLoad::kInitialUsual : found->second.load.usual();
}

// ---- upkeep ----

std::vector<std::shared_ptr<BalancedUpstream>> UpstreamBook::DueProbes(Instant now) {
  std::vector<std::shared_ptr<BalancedUpstream>> due;
  for (const auto& [name, service] : services_) {
    if (service.wanted == Instant() || now - service.wanted > kProbedAfterCall) {
      continue;
    }
    auto returned = ReturnedToProbe(service);
    for (const auto& upstream : service.upstreams) {
      if (!upstream->usable() || (!upstream->lost() && returned == 0) ||
          !upstream->TakeProbe(now)) {
        continue;
      }
      returned -= upstream->lost() ? 0 : 1;
      due.push_back(upstream);
    }
  }
  return due;
}

void UpstreamBook::Trust(BalancedUpstream* upstream, Duration warm_up_left, Instant now) {
  upstream->Trust(warm_up_left, fleet_size_, now, &random_);
}

std::shared_ptr<BalancedUpstream> UpstreamBook::Find(const UpstreamId& id) const {
  const auto found = upstreams_.find(id);
  return found == upstreams_.end() ? nullptr : found->second;
}

}  // namespace primroseweir
