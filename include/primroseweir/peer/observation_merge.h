#ifndef PRIMROSEWEIR_PEER_OBSERVATION_MERGE_H_
#define PRIMROSEWEIR_PEER_OBSERVATION_MERGE_H_

#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// Merges two observations of one upstream whose report ages refer to the same moment. Takes
// `window` and `leaving` from the observation with the higher epoch; for equal epochs, the greater
// window and `leaving` if either has it set. Takes the younger of two load reports. Commutative,
// associative and idempotent. Constant time.
UpstreamObservation MergeObservations(const UpstreamObservation& a, const UpstreamObservation& b);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_OBSERVATION_MERGE_H_
