#ifndef PRIMROSEWEIR_BENCH_PEER_REAL_FLEET_H_
#define PRIMROSEWEIR_BENCH_PEER_REAL_FLEET_H_

#include "result.h"

namespace primroseweir {

// Measures GossipController objects that run in this process and exchange UDP datagrams on a
// loopback address. Processor time and memory are those of the process, divided by the number of
// controllers.
FleetResult MeasureRealFleet(const FleetPlan& plan);

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_BENCH_PEER_REAL_FLEET_H_
