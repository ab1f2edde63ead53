#ifndef PRIMROSEWEIR_MEMBERSHIP_OBSERVATION_CHANGES_H_
#define PRIMROSEWEIR_MEMBERSHIP_OBSERVATION_CHANGES_H_

#include <cstdint>
#include <unordered_map>

#include "primroseweir/base/ids.h"
#include "primroseweir/upstream/observation.h"

namespace primroseweir {

// Tells which observations say something new about epoch, window or leaving mark, so that only
// those are passed on as changes. Load reports are never news here. Not safe for several threads.
class ObservationChanges {
 public:
  // Takes note of an observation. True when it raises what is known of a known upstream, or when
  // the upstream is not known yet. O(1).
  bool RecordChange(const UpstreamObservation& observation);

  // Like Note, but an upstream seen for the first time is no news.
  bool RecordKnownChange(const UpstreamObservation& observation);

 private:
  struct Known {
    Epoch epoch;
    std::uint32_t window = 0;
    bool leaving = false;
  };

  static bool Advance(const UpstreamObservation& observation, Known* known);

  std::unordered_map<UpstreamId, Known> known_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_OBSERVATION_CHANGES_H_
