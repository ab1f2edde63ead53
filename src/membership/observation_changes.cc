#include "primroseweir/membership/observation_changes.h"

namespace primroseweir {

bool ObservationChanges::MergeIfNewer(const UpstreamObservation& observation, KnownState* known) {
  if (observation.epoch < known->epoch) return false;
  const bool has_newer_epoch = observation.epoch > known->epoch;
  const bool has_change = has_newer_epoch || observation.window > known->window ||
                          (observation.leaving && !known->leaving);
  if (!has_change) return false;
  if (has_newer_epoch) *known = {observation.epoch, 0, false};
  if (observation.window > known->window) known->window = observation.window;
  known->leaving = known->leaving || observation.leaving;
  return true;
}

bool ObservationChanges::RecordChange(const UpstreamObservation& observation) {
  return MergeIfNewer(observation, &known_states_[observation.id]);
}

bool ObservationChanges::RecordKnown(const UpstreamObservation& observation) {
  const auto [entry, inserted] = known_states_.try_emplace(observation.id);
  return MergeIfNewer(observation, &entry->second) && !inserted;
}

}  // namespace primroseweir
