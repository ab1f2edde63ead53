#include "primroseweir/membership/observation_changes.h"

namespace primroseweir {

bool ObservationChanges::Advance(const UpstreamObservation& observation, Known* known) {
  if (observation.epoch < known->epoch) return false;
  const bool later = observation.epoch > known->epoch;
  const bool raised =
      later || observation.window > known->window || (observation.leaving && !known->leaving);
  if (!raised) return false;
  if (later) *known = {observation.epoch, 0, false};
  if (observation.window > known->window) known->window = observation.window;
  known->leaving = known->leaving || observation.leaving;
  return true;
}

bool ObservationChanges::RecordChange(const UpstreamObservation& observation) {
  return Advance(observation, &known_[observation.id]);
}

bool ObservationChanges::RecordKnownChange(const UpstreamObservation& observation) {
  const auto [entry, inserted] = known_.try_emplace(observation.id);
  return Advance(observation, &entry->second) && !inserted;
}

}  // namespace primroseweir
