#include "primroseweir/routing/router.h"

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "primroseweir/base/error.h"
#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/configuration/snapshot.h"
#include "primroseweir/routing/call_request.h"
#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {
namespace {

using UpstreamList = std::vector<std::shared_ptr<UpstreamState>>;

struct Table {
  std::map<ServiceName, UpstreamList> services;
  std::map<UpstreamId, std::shared_ptr<UpstreamState>> upstreams;
  std::set<DataCentre> out;
};

absl::Status NotRun(absl::StatusCode code, const std::string& message) {
  return MakeError(code, {"admission", ""}, message);
}

}  // namespace

class Router::Implementation {
 public:
  explicit Implementation(Options options)
      : options_(std::move(options)), table_(std::make_shared<const Table>()) {}

  absl::StatusOr<UpstreamLease> TryAcquire(const CallRequest& request, Instant now) const {
    const std::shared_ptr<const Table> table = table_.Load();
    const auto service = table->services.find(request.service);
    if (service == table->services.end()) {
      return NotRun(absl::StatusCode::kNotFound, "no such service");
    }
    std::shared_ptr<UpstreamState> best;
    for (const auto& state : service->second) {
      if (!Usable(*table, *state, request)) continue;
      if (best == nullptr || Before(*state, *best)) best = state;
    }
    if (best == nullptr) return NotRun(absl::StatusCode::kUnavailable, "no upstream in service");
    if (!best->TryStart(best->record().slots)) {
      return NotRun(absl::StatusCode::kResourceExhausted, "all upstreams are at their limits");
    }
    return UpstreamLease(std::move(best), now);
  }

  void Apply(const ConfigurationSnapshot& snapshot, Instant now) {
    const std::shared_ptr<const Table> old = table_.Load();
    auto table = std::make_shared<Table>();
    table->out = snapshot.out;
    for (const Service& service : snapshot.services) table->services[service.name];
    for (const UpstreamRecord& record : snapshot.upstreams) {
      const auto known = old->upstreams.find(record.id);
      auto state = known != old->upstreams.end() && known->second->record().state == record.state
                       ? known->second
                       : std::make_shared<UpstreamState>(record, now);
      table->upstreams[record.id] = state;
      table->services[record.service].push_back(std::move(state));
    }
    table_.Store(std::move(table));
  }

  UpstreamList All() const {
    UpstreamList all;
    for (const auto& [id, state] : table_.Load()->upstreams) all.push_back(state);
    return all;
  }

 private:
  static bool Usable(const Table& table, const UpstreamState& state, const CallRequest& request) {
    return !state.leaving() && table.out.count(state.record().data_centre) == 0 &&
           request.excluded.count(state.record().id) == 0;
  }

  // Own data centre first, then the least calls in flight.
  bool Before(const UpstreamState& a, const UpstreamState& b) const {
    const bool own_a = a.record().data_centre == options_.data_centre;
    const bool own_b = b.record().data_centre == options_.data_centre;
    return own_a != own_b ? own_a : a.in_flight() < b.in_flight();
  }

  const Options options_;
  RcuCell<Table> table_;
};

Router::Router(const Options& options, EventLog* events)
    : implementation_(std::make_unique<Implementation>(options)) {}

Router::~Router() = default;

absl::StatusOr<UpstreamLease> Router::Acquire(const CallRequest& request, Instant now) {
  return implementation_->TryAcquire(request, now);
}

absl::StatusOr<UpstreamLease> Router::TryAcquire(const CallRequest& request, Instant now) {
  return implementation_->TryAcquire(request, now);
}

void Router::Apply(std::shared_ptr<const ConfigurationSnapshot> snapshot, Instant now) {
  const std::shared_ptr<const ConfigurationSnapshot> held = std::move(snapshot);
  implementation_->Apply(*held, now);
}

void Router::SetLiveSeats(const std::set<Seat>& seats, Instant now) {}

void Router::Merge(const std::vector<UpstreamObservation>& observations, Instant now) {}

std::vector<UpstreamObservation> Router::Observations(Instant now) const { return {}; }

std::vector<std::shared_ptr<UpstreamState>> Router::Upstreams() const {
  return implementation_->All();
}

}  // namespace primroseweir
