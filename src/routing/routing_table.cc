#include "primroseweir/routing/routing_table.h"

#include <algorithm>
#include <utility>

#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/routing/detail/service_runtime.h"

namespace primroseweir {
namespace {

// Returns whether both records describe the same process, as far as the list shows. An upstream
// that the list marked as leaving and now marks as live was restarted.
bool IsSameProcess(const UpstreamRecord& previous, const UpstreamRecord& current) {
  const bool returned =
      previous.state == ListedState::kLeaving && current.state == ListedState::kLive;
  return previous.address == current.address && previous.service == current.service &&
         previous.data_centre == current.data_centre && !returned;
}

bool HasSameSettings(const UpstreamRecord& a, const UpstreamRecord& b) {
  return a.slots == b.slots && a.connections == b.connections && a.probe_target == b.probe_target &&
         a.probe_cost == b.probe_cost && a.state == b.state;
}

Epoch MaxEpoch(const UpstreamState& state, Instant now) {
  return std::max(state.window().epoch_window().epoch, state.Observation(now).epoch);
}

}  // namespace

RoutingTableBuilder::RoutingTableBuilder(const RoutingTable& previous, Settings settings,
                                         Instant now)
    : old_(previous),
      settings_(std::move(settings)),
      now_(now),
      new_(std::make_shared<RoutingTable>()) {}

std::shared_ptr<RoutingTable> RoutingTableBuilder::Build(const ConfigurationSnapshot& snapshot) {
  new_->drained = snapshot.data_centres_out;
  AddServices(snapshot);
  for (const UpstreamRecord& record : snapshot.upstreams) AddUpstream(record);
  RetainRemoved();
  RestartUpstreamsTakenOut();
  FindMissingDependencies(snapshot);
  return new_;
}

void RoutingTableBuilder::AddServices(const ConfigurationSnapshot& snapshot) {
  for (const Service& service : snapshot.services) {
    const auto found = old_.services.find(service.name);
    new_->services[service.name].runtime =
        found != old_.services.end() ? found->second.runtime : settings_.make_runtime();
  }
}

void RoutingTableBuilder::AddUpstream(const UpstreamRecord& record) {
  if (new_->upstreams.count(record.id) != 0) return;
  const std::shared_ptr<UpstreamState> state = FindOrMakeState(record);
  new_->upstreams[record.id] = state;
  const auto service = new_->services.find(record.service);
  if (service == new_->services.end()) return;
  ServiceEntry& entry = service->second;
  const auto index = static_cast<std::uint32_t>(entry.listed.size());
  entry.listed.push_back(state);
  if (record.state == ListedState::kLeaving || new_->drained.count(record.data_centre) != 0) return;
  const bool is_local = record.data_centre == settings_.data_centre;
  entry.in_use.push_back(
      {state, index, is_local ? Duration::zero() : RoutingTable::kRemoteRoundTripTime});
}

std::shared_ptr<UpstreamState> RoutingTableBuilder::FindOrMakeState(const UpstreamRecord& record) {
  const auto found = old_.upstreams.find(record.id);
  if (found != old_.upstreams.end()) {
    const std::shared_ptr<UpstreamState>& state = found->second;
    if (!IsSameProcess(state->record(), record)) {
      return MakeRestarted(record, MaxEpoch(*state, now_));
    }
    if (!HasSameSettings(state->record(), record)) state->SetRecord(record, now_);
    return state;
  }
  const auto gone = old_.removed.find(record.id);
  if (gone != old_.removed.end()) return MakeRestarted(record, MaxEpoch(*gone->second.state, now_));
  // A first listing starts at epoch 0 and window 1, so that whatever the peers know is greater.
  return std::make_shared<UpstreamState>(record, settings_.fleet, now_);
}

std::shared_ptr<UpstreamState> RoutingTableBuilder::MakeRestarted(const UpstreamRecord& record,
                                                                  Epoch known_epoch) {
  auto state = std::make_shared<UpstreamState>(record, settings_.fleet, now_);
  state->window().Merge(known_epoch.Next(), 1, now_);
  new_->restarted.push_back(state);
  return state;
}

void RoutingTableBuilder::RetainRemoved() {
  for (const auto& [id, removed] : old_.removed) {
    if (new_->upstreams.count(id) == 0 &&
        now_ - removed.removed_at < RoutingTable::kRemovedRetention) {
      new_->removed[id] = removed;
    }
  }
  for (const auto& [id, state] : old_.upstreams) {
    if (new_->upstreams.count(id) == 0) new_->removed[id] = {state, now_};
  }
}

// Restarts the warm-up of upstreams when their data centre goes out of service rather than when it
// returns. No calls are sent to them in between, and instances that learn of the return one after
// the other would otherwise restart each other's warm-up.
void RoutingTableBuilder::RestartUpstreamsTakenOut() {
  for (const auto& [id, state] : new_->upstreams) {
    const DataCentre& centre = state->record().data_centre;
    if (new_->drained.count(centre) == 0 || old_.drained.count(centre) != 0) continue;
    if (old_.upstreams.count(id) == 0) continue;
    state->window().Restart(now_);
    new_->restarted.push_back(state);
  }
}

// Records a missing dependency for each service that has one. A service is missing when it has no
// upstream in service, or when one of its dependencies is missing. The configuration has no
// dependency cycles, so that a pass per level reaches the fixed point.
void RoutingTableBuilder::FindMissingDependencies(const ConfigurationSnapshot& snapshot) {
  const auto missing = [this](const ServiceName& name) {
    const auto entry = new_->services.find(name);
    return entry == new_->services.end() || entry->second.in_use.empty() ||
           !entry->second.missing_dependency.empty();
  };
  bool changed = true;
  while (changed) {
    changed = false;
    for (const Service& service : snapshot.services) {
      ServiceEntry& entry = new_->services[service.name];
      if (!entry.missing_dependency.empty()) continue;
      const auto dependency =
          std::find_if(service.depends_on.begin(), service.depends_on.end(), missing);
      if (dependency == service.depends_on.end()) continue;
      entry.missing_dependency = *dependency;
      changed = true;
    }
  }
}

}  // namespace primroseweir
