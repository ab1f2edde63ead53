#ifndef PRIMROSEWEIR_GATEWAY_UPSTREAM_PROBER_H_
#define PRIMROSEWEIR_GATEWAY_UPSTREAM_PROBER_H_

#include <map>
#include <memory>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"

namespace primroseweir {

class BalancedUpstream;
class Gateway;

// Probes upstreams, with at most one probe of each in progress. Suspect upstreams are probed until
// a response shows whether they are healthy and how much of their warm-up is left; others are
// probed when a call needs a fresh load report before it is sent.
class UpstreamProber {
 public:
  // `gateway` outlives the prober.
  explicit UpstreamProber(Gateway* gateway);
  ~UpstreamProber();

  // Probes an upstream unless a probe of it is in progress. Returns false if its service is unknown
  // or has no probe path.
  bool Probe(const std::shared_ptr<BalancedUpstream>& upstream, Instant now);
  // Like Probe, but clears a suspect upstream that can't be probed, since only a call can show
  // whether it works.
  bool ProbeOrClearSuspect(const std::shared_ptr<BalancedUpstream>& upstream, Instant now);

  // Starts the due probes of suspect upstreams, and ends probes without a response after
  // kProbeTimeout.
  void Tick(Instant now);

  static constexpr Duration kProbeTimeout = std::chrono::milliseconds(300);
  // The state of an upstream that was not probed for this long is removed.
  static constexpr Duration kMaxIdleTime = std::chrono::seconds(7);

 private:
  class Connection;

  Gateway* const gateway_;
  std::map<UpstreamId, std::unique_ptr<Connection>> connections_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_GATEWAY_UPSTREAM_PROBER_H_
