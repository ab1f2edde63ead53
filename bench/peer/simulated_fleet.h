#ifndef PRIMROSEWEIR_BENCH_PEER_SIMULATED_FLEET_H_
#define PRIMROSEWEIR_BENCH_PEER_SIMULATED_FLEET_H_

#include "result.h"

namespace primroseweir {

// Measures GossipNode objects, the gossip logic without threads, clocks and sockets, in simulated
// time: each datagram arrives after 1 to 3 ms, and 1% are lost. Processor time covers building,
// signing, decoding and merging, but no system calls.
FleetResult MeasureSimulatedFleet(const FleetPlan& plan);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BENCH_PEER_SIMULATED_FLEET_H_
