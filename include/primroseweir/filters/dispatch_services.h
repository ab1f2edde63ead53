#ifndef PRIMROSEWEIR_FILTERS_DISPATCH_SERVICES_H_
#define PRIMROSEWEIR_FILTERS_DISPATCH_SERVICES_H_

#include <cstdint>
#include <functional>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/routing/call_result.h"

namespace primroseweir {

class ConnectionPool;
class Router;

// What the dispatch of a call uses from other modules. The pointers outlive the filter.
struct DispatchServices {
  Router* router = nullptr;
  ConnectionPool* pool = nullptr;
  // Counts a first attempt into the budget of retries and hedges.
  std::function<void()> note_first_attempt = [] {};
  // Takes one retry or hedge from the budget; false when it is used up.
  std::function<bool()> take_retry = [] { return false; };
  // Makes sure that the configuration was heard of recently, see section 7.7. May block for 200 ms.
  std::function<void(Instant now)> ensure_fresh = [](Instant) {};
  // Learns how the attempt at an upstream ended that received the request.
  std::function<void(std::uint64_t fingerprint, const UpstreamId&, AttemptEnd)> note_end =
      [](std::uint64_t, const UpstreamId&, AttemptEnd) {};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_FILTERS_DISPATCH_SERVICES_H_
