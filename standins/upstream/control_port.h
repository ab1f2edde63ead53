#ifndef STANDINS_UPSTREAM_CONTROL_PORT_H_
#define STANDINS_UPSTREAM_CONTROL_PORT_H_

#include <memory>

#include "upstream/upstream.h"

namespace primroseweir::standins {

// Serves the requests of one connection to the control port, which only tests use, until the
// connection ends.
//
//   GET  /state    returns all counters
//   GET  /ledger   returns the executions by booking
//   POST /modes    changes the modes named in the JSON body
//   POST /cold     makes the upstream cold without a signal to callers
//   POST /mark     restarts the counters of calls since the mark
//   POST /silence  makes the connections that are open now unresponsive: body "in" stops serving
//                  requests, "out" stops writing, "both" does both
void ServeControl(Upstream* upstream, Socket socket);

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_CONTROL_PORT_H_
