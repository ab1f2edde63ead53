#ifndef PRIMROSEWEIR_MEMBERSHIP_GOSSIP_HOOKS_H_
#define PRIMROSEWEIR_MEMBERSHIP_GOSSIP_HOOKS_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/configuration_values.h"
#include "primroseweir/customers/customer_usage.h"
#include "primroseweir/limits/crash_strike.h"
#include "primroseweir/membership/membership_view.h"
#include "primroseweir/peer/configuration_state.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// Callbacks from the gossip to other modules. Called on threads of the GossipController unless
// noted otherwise; a callback must not wait for the controller. A callback that isn't set is
// skipped.
struct GossipHooks {
  // ---- providers ----

  // Returns the configuration in force at this instance. Called often, and also on threads that
  // call RefreshNow, so it must not block.
  std::function<ConfigurationState()> configuration_state;
  // Returns the accepted values with a revision above `after`, for a peer. Called on RPC threads.
  std::function<ConfigurationValues(Revision after)> configuration_values;
  // Returns at most `limit` observations for a datagram, those with the newest load report first.
  std::function<std::vector<UpstreamObservation>(std::size_t limit)> newest_observations;
  // Returns all observations, for a new instance. Called on RPC threads.
  std::function<std::vector<UpstreamObservation>()> all_observations;
  // Whether this instance must report its use of quotas, every kUsageReportInterval of GossipNode.
  std::function<bool()> has_quotas;
  // Returns the report to send now, if there is one.
  std::function<std::optional<UsageReport>(Instant now)> usage_report;
  // Returns the instances that have calls of customers with quotas and receive reports first.
  std::function<std::set<InstanceId>(const MembershipView&, Instant now)> usage_targets;
  // Returns at most `limit` crash strikes, newest first. Not called at present.
  std::function<std::vector<CrashStrike>(std::size_t limit)> newest_strikes;

  // ---- sinks ----

  // Receives values fetched from a peer. Called on the thread that fetched them.
  std::function<void(const ConfigurationValues&, Instant now)> offer_configuration;
  std::function<void(const std::vector<UpstreamObservation>&, Instant now)> merge_observations;
  std::function<void(const std::vector<CrashStrike>&, Instant now)> merge_strikes;
  std::function<void(const InstanceId& sender, Incarnation, const UsageReport&, Instant now)>
      merge_usage;
  // Records that a peer reported this revision. `received_at` is when its message reached this
  // machine, which is earlier than now if this process was paused.
  std::function<void(Revision, Instant received_at)> record_contact;
  std::function<void(std::shared_ptr<const MembershipView>, Instant now)> membership_changed;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_GOSSIP_HOOKS_H_
