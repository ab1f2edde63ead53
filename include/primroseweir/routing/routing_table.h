#ifndef PRIMROSEWEIR_ROUTING_ROUTING_TABLE_H_
#define PRIMROSEWEIR_ROUTING_ROUTING_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

#include "primroseweir/base/ids.h"
#include "primroseweir/base/time.h"
#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {

struct ConfigurationSnapshot;

namespace detail {
class ServiceRuntime;
}

// One service of a routing table.
struct ServiceEntry {
  struct UsableUpstream {
    std::shared_ptr<UpstreamState> state;
    // Position among all listed upstreams of the service.
    std::uint32_t index = 0;
    // Network round trip to the data centre of the upstream; 0 for the data centre of this
    // instance.
    Duration round_trip_time{};
  };

  std::shared_ptr<detail::ServiceRuntime> runtime;
  // All listed upstreams, in the order of the list.
  std::vector<std::shared_ptr<UpstreamState>> listed;
  // Upstreams whose data centre is in service and that the list does not mark as leaving.
  std::vector<UsableUpstream> in_use;
  // A direct dependency that has no upstream in service, or that lacks a dependency itself; empty
  // if there is none.
  ServiceName missing_dependency;
};

// Services and upstreams by which calls are routed. Immutable once published through an RcuCell.
struct RoutingTable {
  std::unordered_map<ServiceName, ServiceEntry> services;
  std::map<UpstreamId, std::shared_ptr<UpstreamState>> upstreams;
  // Data centres that are out of service.
  std::set<DataCentre> drained;
  // An upstream that is no longer listed. If the id is listed again, its epoch must exceed the old
  // one, since peers may still know the old process as warm; observations of peers are still merged
  // into the old state for this reason.
  struct RemovedUpstream {
    std::shared_ptr<UpstreamState> state;
    Instant removed_at;
  };
  std::map<UpstreamId, RemovedUpstream> removed;
  // Upstreams that this table made cold; peers must be notified of them.
  std::vector<std::shared_ptr<UpstreamState>> restarted;

  // How long upstreams that are no longer listed are kept: far longer than lists and gossip lag.
  static constexpr Duration kRemovedRetention = std::chrono::hours(1);
  // Network round trip to another data centre; the design assumes about 1 ms one way.
  static constexpr Duration kRemoteRoundTripTime = std::chrono::milliseconds(2);
};

// Builds the routing table that follows `previous` from a configuration snapshot. Upstreams that
// stay keep their state.
class RoutingTableBuilder {
 public:
  struct Settings {
    DataCentre data_centre;
    UpstreamState::SeatFleet fleet;
    // Creates the runtime of a service that is new.
    std::function<std::shared_ptr<detail::ServiceRuntime>()> make_runtime;
  };

  RoutingTableBuilder(const RoutingTable& previous, Settings settings, Instant now);

  // Builds the table; call it once. Linear in the size of the snapshot, apart from look-ups.
  std::shared_ptr<RoutingTable> Build(const ConfigurationSnapshot& snapshot);

 private:
  std::shared_ptr<UpstreamState> FindOrMakeState(const UpstreamRecord& record);
  std::shared_ptr<UpstreamState> MakeRestarted(const UpstreamRecord& record, Epoch known_epoch);
  void AddServices(const ConfigurationSnapshot& snapshot);
  void AddUpstream(const UpstreamRecord& record);
  void RetainRemoved();
  void RestartUpstreamsTakenOut();
  void FindMissingDependencies(const ConfigurationSnapshot& snapshot);

  const RoutingTable& old_;
  const Settings settings_;
  const Instant now_;
  std::shared_ptr<RoutingTable> new_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_ROUTING_TABLE_H_
