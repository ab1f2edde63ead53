#ifndef PRIMROSEWEIR_ENTRY_ENTRY_INSTANCE_H_
#define PRIMROSEWEIR_ENTRY_ENTRY_INSTANCE_H_

#include <absl/status/status.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>

#include "primroseweir/base/event_log.h"
#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/base/time.h"
#include "primroseweir/configuration/configuration_controller.h"
#include "primroseweir/entry/entry_settings.h"
#include "primroseweir/entry/freshness_check.h"
#include "primroseweir/filters/connection_pool.h"
#include "primroseweir/filters/customer_calls.h"
#include "primroseweir/filters/customer_quotas.h"
#include "primroseweir/filters/filter_chain.h"
#include "primroseweir/filters/service_table.h"
#include "primroseweir/http/http_server.h"
#include "primroseweir/keys/call_key_issuer.h"
#include "primroseweir/keys/started_call_table.h"
#include "primroseweir/membership/gossip_controller.h"
#include "primroseweir/routing/router.h"

namespace primroseweir {

class AdminServer;
class InstanceFleet;
class Metrics;
class ProbeController;
class ProbeRunner;
class WatchController;

// An entry instance: creates, connects, starts and stops the modules, and owns them.
class EntryInstance {
 public:
  explicit EntryInstance(const EntrySettings& settings);
  // Stops at once, without draining connections. Call Stop first for a graceful shutdown.
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  // Binds the ports, requests the configuration from peers and the configuration service, and
  // starts to serve. With a configuration service, blocks for up to 3 s until the first
  // configuration arrives. Errors: Unavailable when a port can't be bound, InvalidArgument when the
  // operator token is empty.
  absl::Status Start();

  // Shuts down gracefully: declares to the peers that this instance is leaving, serves for
  // `drain_delay`, then stops accepting connections and waits until the calls in flight have ended
  // and all connections of callers are closed. `drain_delay` should be the validity of address
  // responses, since callers may use the address of this instance for that long.
  void Stop(Duration drain_delay);

  SocketAddress caller_address() const { return server_->address(); }
  ConfigurationController* configuration() { return &configuration_; }
  GossipController* gossip() { return gossip_.get(); }
  Router* router() { return &router_; }
  EventLog* events() { return &events_; }

 private:
  void CreateGossip();
  void CreateFilterChain();
  absl::Status StartAdmin();
  void CreateProbes();
  void WaitForConfiguration() const;
  void CreateWatch();
  void ConnectModules();
  void ApplyConfiguration(const std::shared_ptr<const ConfigurationSnapshot>& snapshot,
                          Instant now);
  void ApplyMembership(const MembershipView& view, Instant now);
  void Refresh(Duration timeout);
  void RunMaintenance();
  void UpdateTrafficMetrics();
  void UpdateCustomerMetrics();
  void StopMaintenance();

  const EntrySettings settings_;
  const Incarnation incarnation_;
  EventLog events_;
  ConfigurationController configuration_;
  Router router_;
  ConnectionPool pool_;
  RcuCell<ServiceTable> services_;
  CallKeyIssuer issuer_;
  StartedCallTable started_calls_;
  CustomerQuotas quotas_;
  CustomerCalls customer_calls_;
  std::atomic<bool> is_seat_taken_{false};
  std::unique_ptr<GossipController> gossip_;
  // Null if the settings name no configuration service.
  std::unique_ptr<WatchController> watch_;
  std::unique_ptr<InstanceFleet> fleet_;
  std::unique_ptr<FreshnessCheck> freshness_;
  std::unique_ptr<FilterChain> chain_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<Metrics> metrics_;
  std::unique_ptr<ProbeRunner> probe_runner_;
  std::unique_ptr<ProbeController> probes_;
  std::unique_ptr<AdminServer> admin_;
  std::atomic<bool> leaving_{false};
  // Traffic of the gossip that the metrics already include.
  std::uint64_t counted_bytes_sent_ = 0;
  std::uint64_t counted_bytes_received_ = 0;
  std::mutex maintenance_mutex_;
  std::condition_variable maintenance_changed_;
  bool maintenance_stopping_ = false;
  std::thread maintenance_thread_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_ENTRY_INSTANCE_H_
