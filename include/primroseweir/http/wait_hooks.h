#ifndef PRIMROSEWEIR_HTTP_WAIT_HOOKS_H_
#define PRIMROSEWEIR_HTTP_WAIT_HOOKS_H_

#include <functional>

#include "primroseweir/base/time.h"

namespace primroseweir {

// Called by a connection that waits for its peer: to send more of a body, or to read.
struct WaitHooks {
  // The wait begins; `since` is the time from which the peer's progress counts.
  std::function<void(Instant since)> on_start = [](Instant /*since*/) {};
  // The wait has ended. Returns false if the connection was closed meanwhile.
  std::function<bool()> on_end = [] { return true; };
  // The connection closes its socket, whose descriptor may be used again at once.
  std::function<void()> on_close = [] {};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_HTTP_WAIT_HOOKS_H_
