#ifndef PRIMROSEWEIR_PEER_OBSERVATION_MERGE_H_
#define PRIMROSEWEIR_PEER_OBSERVATION_MERGE_H_

#include "primroseweir/upstream/observation.h"

namespace primroseweir {

// Merges two observations of one upstream made at the same moment. The higher epoch wins with its
// window and leaving mark; in the same epoch the greater window wins and a leaving mark stays. Of
// two reports the younger wins. Commutative, associative and idempotent. Constant time.
UpstreamObservation MergeObservations(const UpstreamObservation& a, const UpstreamObservation& b);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_OBSERVATION_MERGE_H_
