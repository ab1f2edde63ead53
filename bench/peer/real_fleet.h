#ifndef PRIMROSEWEIR_BENCH_PEER_REAL_FLEET_H_
#define PRIMROSEWEIR_BENCH_PEER_REAL_FLEET_H_

#include "result.h"

namespace primroseweir {

// Runs GossipController objects in this process over UDP on a loopback address. Processor time and
// memory are those of the process, divided by the number of controllers.
FleetResult MeasureRealFleet(const FleetPlan& plan);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BENCH_PEER_REAL_FLEET_H_
