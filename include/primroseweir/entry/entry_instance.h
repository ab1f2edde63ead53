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

// One entry instance: wires the modules together and owns their life cycle.
class EntryInstance {
 public:
  explicit EntryInstance(const EntrySettings& settings);
  // Ends at once; Stop before it for a graceful end.
  ~EntryInstance();
  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  // Binds the ports, asks peers for the configuration and starts to serve. Errors: Unavailable, a
  // port can't be bound.
  absl::Status Start();

  // Stops by section 7.11: declares itself leaving, serves for `serve_on`, which is the validity of
  // address answers, accepts no more, and returns when no call is in flight.
  void Stop(Duration serve_on);

  SocketAddress caller_address() const { return server_->address(); }
  ConfigurationController* configuration() { return &configuration_; }
  GossipController* gossip() { return gossip_.get(); }
  Router* router() { return &router_; }
  EventLog* events() { return &events_; }

 private:
  void MakeGossip();
  void MakeChain();
  absl::Status StartAdmin();
  void MakeProbes();
  void WaitForConfiguration() const;
  void MakeWatch();
  void ConnectModules();
  void ApplyConfiguration(const std::shared_ptr<const ConfigurationSnapshot>& snapshot,
                          Instant now);
  void ApplyMembership(const MembershipView& view, Instant now);
  void Refresh(Duration time);
  void RunMaintenance();
  void CountTraffic();
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
  std::atomic<bool> seat_taken_{false};
  std::unique_ptr<GossipController> gossip_;
  // Null when the settings name no configuration service.
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
  std::uint64_t counted_bytes_sent_ = 0;
  std::uint64_t counted_bytes_received_ = 0;
  std::mutex maintenance_mutex_;
  std::condition_variable maintenance_changed_;
  bool maintenance_stopping_ = false;
  std::thread maintenance_thread_;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_ENTRY_ENTRY_INSTANCE_H_
