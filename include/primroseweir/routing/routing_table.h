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

// One service in a table.
struct ServiceEntry {
  struct UsableUpstream {
    std::shared_ptr<UpstreamState> state;
    // Position among all listed upstreams of the service.
    std::uint32_t index = 0;
    // Network round trip.
    Duration round_trip_time{};
  };

  std::shared_ptr<detail::ServiceRuntime> runtime;
  // All listed upstreams, in the order of the list.
  std::vector<std::shared_ptr<UpstreamState>> listed;
  // Those whose data centre is in service and that the list does not call leaving.
  std::vector<UsableUpstream> in_use;
  // A dependency, direct or not, that has no upstream in service; empty if none.
  ServiceName missing_dependency;
};

// What calls are routed by. Immutable once published through an RcuCell.
struct RoutingTable {
  std::unordered_map<ServiceName, ServiceEntry> services;
  std::map<UpstreamId, std::shared_ptr<UpstreamState>> upstreams;
  std::set<DataCentre> out;
  // Upstreams that are no longer listed. A new listing must exceed their epochs, since peers may
  // still know the old process as warm; what peers tell of them is still merged.
  struct RemovedUpstream {
    std::shared_ptr<UpstreamState> state;
    Instant since;
  };
  std::map<UpstreamId, RemovedUpstream> removed;
  // Upstreams that this table made cold; peers must learn of them.
  std::vector<std::shared_ptr<UpstreamState>> restarted;

  // How long gone upstreams are remembered: far longer than lists and gossip lag.
  static constexpr Duration kRemovedRetention = std::chrono::hours(1);
  // Network round trip to another data centre; design 1.1 gives about 1 ms one way.
  static constexpr Duration kRemoteRoundTripTime = std::chrono::milliseconds(2);
};

// Makes the table that follows `before` from a snapshot. Upstreams that stay keep their state.
class RoutingTableBuilder {
 public:
  struct Settings {
    DataCentre data_centre;
    UpstreamState::Fleet fleet;
    // Makes the runtime of a service that is new.
    std::function<std::shared_ptr<detail::ServiceRuntime>()> make_runtime;
  };

  RoutingTableBuilder(const RoutingTable& before, Settings settings, Instant now);

  // Linear in the snapshot, apart from look-ups.
  std::shared_ptr<RoutingTable> Build(const ConfigurationSnapshot& snapshot);

 private:
  std::shared_ptr<UpstreamState> StateOf(const UpstreamRecord& record);
  std::shared_ptr<UpstreamState> NewListing(const UpstreamRecord& record, Epoch known);
  void AddServices(const ConfigurationSnapshot& snapshot);
  void AddUpstream(const UpstreamRecord& record);
  void RetainRemoved();
  void RestartReturned();
  void FindMissingDependencies(const ConfigurationSnapshot& snapshot);

  const RoutingTable& before_;
  const Settings settings_;
  const Instant now_;
  std::shared_ptr<RoutingTable> table_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ROUTING_ROUTING_TABLE_H_
