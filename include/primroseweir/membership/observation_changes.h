#ifndef PRIMROSEWEIR_MEMBERSHIP_OBSERVATION_CHANGES_H_
#define PRIMROSEWEIR_MEMBERSHIP_OBSERVATION_CHANGES_H_

#include <cstdint>
#include <unordered_map>

#include "primroseweir/base/ids.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// Detects which observations change the known epoch, window or leaving mark of an upstream, so that
// only those are forwarded as changes. Load reports do not count as changes. Not thread-safe.
class ObservationChanges {
 public:
  // Records an observation. Returns true when it has a higher epoch, a greater window or a new
  // leaving mark, or when the upstream is not known yet. O(1).
  bool RecordChange(const UpstreamObservation& observation);

  // Like RecordChange, but returns false for an upstream that is not known yet.
  bool RecordKnown(const UpstreamObservation& observation);

 private:
  struct KnownState {
    Epoch epoch;
    std::uint32_t window = 0;
    bool leaving = false;
  };

  static bool MergeIfNewer(const UpstreamObservation& observation, KnownState* known);

  std::unordered_map<UpstreamId, KnownState> known_states_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_OBSERVATION_CHANGES_H_
