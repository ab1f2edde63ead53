#ifndef PRIMROSEWEIR_GATEWAY_UPSTREAM_PROBER_H_
#define PRIMROSEWEIR_GATEWAY_UPSTREAM_PROBER_H_

#include <memory>
#include <vector>

#include "primroseweir/base/time.h"

namespace primroseweir {

class Gateway;

// Probes the upstreams that are in doubt, until one of their answers tells whether they run and how
// long they stay cold.
class UpstreamProber {
 public:
  // `gateway` outlives the prober.
  explicit UpstreamProber(Gateway* gateway);
  ~UpstreamProber();

  // Starts the probes that are due and gives up those that take too long.
  void Tick(Instant now);

  static constexpr Duration kTimeout = std::chrono::milliseconds(300);

 private:
  class Probe;

  Gateway* const gateway_;
  std::vector<std::unique_ptr<Probe>> probes_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_UPSTREAM_PROBER_H_
