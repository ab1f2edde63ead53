#ifndef PRIMROSEWEIR_BENCH_PEER_SIMULATED_FLEET_H_
#define PRIMROSEWEIR_BENCH_PEER_SIMULATED_FLEET_H_

#include "result.h"

namespace primroseweir {

// Runs the deciding code of a fleet in simulated time: each datagram arrives after 1 to 3 ms, 1%
// are lost. Processor time covers building, signing, decoding and merging; a system call is not in
// it.
FleetResult MeasureSimulatedFleet(const FleetPlan& plan);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BENCH_PEER_SIMULATED_FLEET_H_
