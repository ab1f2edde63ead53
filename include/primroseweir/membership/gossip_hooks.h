#ifndef PRIMROSEWEIR_MEMBERSHIP_GOSSIP_HOOKS_H_
#define PRIMROSEWEIR_MEMBERSHIP_GOSSIP_HOOKS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/configuration_values.h"
#include "primroseweir/limits/crash_strike.h"
#include "primroseweir/membership/membership_view.h"
#include "primroseweir/peer/configuration_state.h"
#include "primroseweir/upstream/observation.h"

namespace primroseweir {

// How the gossip reaches the other modules. All functions are called in threads of the
// GossipController, and none of them may wait for it. A function that isn't set is skipped.
struct GossipHooks {
  // ---- providers ----

  // The configuration in force here. Called often and by RefreshNow as well; it must not block.
  std::function<ConfigurationState()> configuration_state;
  // The accepted values with a revision above `after`, for a peer. Called in the RPC threads.
  std::function<ConfigurationValues(Revision after)> configuration_values;
  // At most `limit` observations for a datagram, those with the youngest report first.
  std::function<std::vector<UpstreamObservation>(std::size_t limit)> newest_observations;
  // All observations, for a new instance. Called in the RPC threads.
  std::function<std::vector<UpstreamObservation>()> all_observations;
  // At most `limit` crash strikes, newest first.
  std::function<std::vector<CrashStrike>(std::size_t limit)> newest_strikes;

  // ---- sinks ----

  // Values that a peer sent. Called in the fetching thread.
  std::function<void(const ConfigurationValues&, Instant now)> offer_configuration;
  std::function<void(const std::vector<UpstreamObservation>&, Instant now)> merge_observations;
  std::function<void(const std::vector<CrashStrike>&, Instant now)> merge_strikes;
  // A peer named this revision; `heard` is when its message reached this machine, which is earlier
  // than now when this process was paused.
  std::function<void(Revision, Instant contact)> record_contact;
  std::function<void(std::shared_ptr<const MembershipView>, Instant now)> membership_changed;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_GOSSIP_HOOKS_H_
