#ifndef STANDINS_UPSTREAM_CONTROL_PORT_H_
#define STANDINS_UPSTREAM_CONTROL_PORT_H_

#include <memory>

#include "upstream/upstream.h"

namespace primroseweir::standins {

// Serves one connection of the test-only port until it ends.
//
//   GET  /state    all counters
//   GET  /ledger   executions by booking
//   POST /modes    changes the modes named in the JSON body
//   POST /cold     turns cold without a signal to callers
//   POST /mark     counts calls from now on as "since the mark"
//   POST /silence  body "in", "out" or "both": makes the connections that are open now silent
void ServeControl(Upstream* upstream, Socket socket);

}  // namespace primroseweir::standins

#endif  // STANDINS_UPSTREAM_CONTROL_PORT_H_
