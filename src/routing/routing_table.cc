#include "primroseweir/routing/routing_table.h"

#include <algorithm>
#include <utility>

#include "primroseweir/configuration/snapshot.h"
#include "primroseweir/routing/detail/service_runtime.h"

namespace primroseweir {
namespace {

// The same process, as far as the list tells. An upstream that the list called leaving and now
// calls live was started anew.
bool SameProcess(const UpstreamRecord& before, const UpstreamRecord& after) {
  const bool returned = before.state == ListedState::kLeaving && after.state == ListedState::kLive;
  return before.address == after.address && before.service == after.service &&
         before.data_centre == after.data_centre && !returned;
}

bool SameRecord(const UpstreamRecord& a, const UpstreamRecord& b) {
  return a.slots == b.slots && a.connections == b.connections && a.probe == b.probe &&
         a.probe_cost == b.probe_cost && a.state == b.state;
}

Epoch KnownEpoch(const UpstreamState& state, Instant now) {
  return std::max(state.window().pair().epoch, state.Observation(now).epoch);
}

}  // namespace

RoutingTableBuilder::RoutingTableBuilder(const RoutingTable& before, Settings settings, Instant now)
    : before_(before),
      settings_(std::move(settings)),
      now_(now),
      table_(std::make_shared<RoutingTable>()) {}

std::shared_ptr<RoutingTable> RoutingTableBuilder::Build(const ConfigurationSnapshot& snapshot) {
  table_->out = snapshot.out;
  AddServices(snapshot);
  for (const UpstreamRecord& record : snapshot.upstreams) AddUpstream(record);
  RetainRemoved();
  RestartReturned();
  FindMissingDependencies(snapshot);
  return table_;
}

void RoutingTableBuilder::AddServices(const ConfigurationSnapshot& snapshot) {
  for (const Service& service : snapshot.services) {
    const auto known = before_.services.find(service.name);
    table_->services[service.name].runtime =
        known != before_.services.end() ? known->second.runtime : settings_.make_runtime();
  }
}

void RoutingTableBuilder::AddUpstream(const UpstreamRecord& record) {
  if (table_->upstreams.count(record.id) != 0) return;
  const std::shared_ptr<UpstreamState> state = StateOf(record);
  table_->upstreams[record.id] = state;
  const auto service = table_->services.find(record.service);
  if (service == table_->services.end()) return;
  ServiceEntry& entry = service->second;
  const auto index = static_cast<std::uint32_t>(entry.listed.size());
  entry.listed.push_back(state);
  if (record.state == ListedState::kLeaving || table_->out.count(record.data_centre) != 0) return;
  const bool own = record.data_centre == settings_.data_centre;
  entry.in_use.push_back(
      {state, index, own ? Duration::zero() : RoutingTable::kRemoteRoundTripTime});
}

std::shared_ptr<UpstreamState> RoutingTableBuilder::StateOf(const UpstreamRecord& record) {
  const auto known = before_.upstreams.find(record.id);
  if (known != before_.upstreams.end()) {
    const std::shared_ptr<UpstreamState>& state = known->second;
    if (!SameProcess(state->record(), record)) {
      return NewListing(record, KnownEpoch(*state, now_));
    }
    if (!SameRecord(state->record(), record)) state->SetRecord(record, now_);
    return state;
  }
  const auto removed = before_.removed.find(record.id);
  if (removed != before_.removed.end())
    return NewListing(record, KnownEpoch(*removed->second.state, now_));
  // At first sight the pair is (0, 1): what the peers know is greater.
  return std::make_shared<UpstreamState>(record, settings_.fleet, now_);
}

std::shared_ptr<UpstreamState> RoutingTableBuilder::NewListing(const UpstreamRecord& record,
                                                               Epoch known) {
  auto state = std::make_shared<UpstreamState>(record, settings_.fleet, now_);
  state->window().Merge(known.Next(), 1, now_);
  table_->restarted.push_back(state);
  return state;
}

void RoutingTableBuilder::RetainRemoved() {
  for (const auto& [id, removed] : before_.removed) {
    if (table_->upstreams.count(id) == 0 &&
        now_ - removed.since < RoutingTable::kRemovedRetention) {
      table_->removed[id] = removed;
    }
  }
  for (const auto& [id, state] : before_.upstreams) {
    if (table_->upstreams.count(id) == 0) table_->removed[id] = {state, now_};
  }
}

// An upstream turns cold when its data centre goes out rather than when it returns: nobody sends
// there in between, and instances that learn of the return one after the other would otherwise
// restart each other's warm-up.
void RoutingTableBuilder::RestartReturned() {
  for (const auto& [id, state] : table_->upstreams) {
    const DataCentre& data_centre = state->record().data_centre;
    if (table_->out.count(data_centre) == 0 || before_.out.count(data_centre) != 0) continue;
    if (before_.upstreams.count(id) == 0) continue;
    state->window().Restart(now_);
    table_->restarted.push_back(state);
  }
}

// A service is missing when it has no upstream in service, or when one of its dependencies is
// missing. The text has no cycles; a pass per level reaches the fixed point.
void RoutingTableBuilder::FindMissingDependencies(const ConfigurationSnapshot& snapshot) {
  const auto missing = [this](const ServiceName& name) {
    const auto entry = table_->services.find(name);
    return entry == table_->services.end() || entry->second.in_use.empty() ||
           !entry->second.missing_dependency.empty();
  };
  bool changed = true;
  while (changed) {
    changed = false;
    for (const Service& service : snapshot.services) {
      ServiceEntry& entry = table_->services[service.name];
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
