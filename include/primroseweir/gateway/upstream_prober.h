#ifndef PRIMROSEWEIR_GATEWAY_UPSTREAM_PROBER_H_
#define PRIMROSEWEIR_GATEWAY_UPSTREAM_PROBER_H_

#include <map>
#include <memory>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

class BalancedUpstream;
class Gateway;

// Probes upstreams, one probe of each at a time: those in doubt, until one of their answers
// tells whether they run and how long they stay cold, and those whose load a call needs to know
// before it is sent.
class UpstreamProber {
 public:
  // `gateway` outlives the prober.
  explicit UpstreamProber(Gateway* gateway);
  ~UpstreamProber();

  // Asks an upstream for its load, unless a probe of it is under way. False when it can't be asked.
  bool Probe(const std::shared_ptr<BalancedUpstream>& upstream, Instant now);
  // Asks; a doubted upstream that can't be asked is trusted again, since only a call can tell.
  bool ProbeOrClearSuspect(const std::shared_ptr<BalancedUpstream>& upstream, Instant now);

  // Starts the probes of doubted upstreams that are due and gives up those that take too long.
  void Tick(Instant now);

  static constexpr Duration kTimeout = std::chrono::milliseconds(300);
  // Upstreams that were not probed for this time are forgotten.
  static constexpr Duration kMaxIdleTime = std::chrono::seconds(7);

 private:
  class Connection;

  Gateway* const gateway_;
  std::map<UpstreamId, std::unique_ptr<Connection>> connections_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_UPSTREAM_PROBER_H_
