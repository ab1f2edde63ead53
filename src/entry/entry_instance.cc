#include "primroseweir/entry/entry_instance.h"

#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "primroseweir/admin/admin_server.h"
#include "primroseweir/admin/customer_metric.h"
#include "primroseweir/admin/metrics.h"
#include "primroseweir/base/random.h"
#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/configuration/platform_client.h"
#include "primroseweir/configuration/watch_controller.h"
#include "primroseweir/entry/admin_pages.h"
#include "primroseweir/entry/instance_fleet.h"
#include "primroseweir/entry/probe_runner.h"
#include "primroseweir/filters/address_filter.h"
#include "primroseweir/filters/body_filter.h"
#include "primroseweir/filters/call_key_filter.h"
#include "primroseweir/filters/customer_filter.h"
#include "primroseweir/filters/dispatch_filter.h"
#include "primroseweir/filters/quota_filter.h"
#include "primroseweir/filters/request_id_filter.h"
#include "primroseweir/filters/route_filter.h"
#include "primroseweir/filters/seat_filter.h"
#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/membership/gossip_hooks.h"
#include "primroseweir/membership/gossip_settings.h"
#include "primroseweir/membership/membership_view.h"
#include "primroseweir/membership/urgent_items.h"
#include "primroseweir/routing/probe_controller.h"

namespace primroseweir {
namespace {

constexpr Duration kFirstConfigurationTimeout = std::chrono::seconds(3);
constexpr Duration kConfigurationPollInterval = std::chrono::milliseconds(5);
// Ticks of the probe controller between two runs that close expired connections and update the
// traffic metrics.
constexpr int kTicksPerMaintenance = 50;
// The low bits of an incarnation are random, to distinguish starts in the same microsecond.
constexpr std::uint64_t kRandomIncarnationBits = 8;

Incarnation NewIncarnation() {
  Random random(EntropySeed());
  const auto start_microseconds = static_cast<std::uint64_t>(WallMicroseconds());
  return Incarnation((start_microseconds >> kRandomIncarnationBits << kRandomIncarnationBits) +
                     random.UniformBelow(1 << kRandomIncarnationBits));
}

Router::Options RouterOptions(const EntrySettings& settings) {
  Router::Options options;
  options.data_centre = settings.data_centre;
  options.seat = settings.seat;
  options.seat_count = settings.seat_count;
  options.random_seed = EntropySeed();
  return options;
}

ConnectionPool::Options PoolOptions(const EntrySettings& settings) {
  ConnectionPool::Options options;
  options.seat = settings.seat;
  options.seat_count = settings.seat_count;
  return options;
}

ConfigurationState StateOf(const ConfigurationSnapshot& snapshot) {
  return {snapshot.revision, snapshot.digest};
}

// Returns the members with these identities of CustomerQuotas.
std::set<InstanceId> InstancesOf(const std::vector<std::uint32_t>& identities,
                                 const MembershipView& view) {
  const std::set<std::uint32_t> wanted(identities.begin(), identities.end());
  std::set<InstanceId> instances;
  for (const auto& member : view.members) {
    if (wanted.count(CustomerQuotas::IdentityOf(member.id)) > 0) {
      instances.insert(member.id);
    }
  }
  return instances;
}

// Returns the first `limit` items.
template <typename Item>
std::vector<Item> FirstOf(std::vector<Item> items, std::size_t limit) {
  if (items.size() > limit) {
    items.erase(items.begin() + static_cast<std::ptrdiff_t>(limit), items.end());
  }
  return items;
}

}  // namespace

EntryInstance::EntryInstance(const EntrySettings& settings)
    : settings_(settings),
      incarnation_(NewIncarnation()),
      events_(settings.id.value()),
      configuration_(&events_),
      router_(RouterOptions(settings), &events_),
      pool_(PoolOptions(settings)),
      services_(std::make_shared<const ServiceTable>()),
      issuer_(settings.fleet_key, settings.id, incarnation_),
      started_calls_(StartedCallTable::Options()),
      quotas_(settings.id, EntropySeed()),
      metrics_(std::make_unique<Metrics>()) {}

EntryInstance::~EntryInstance() {
  StopMaintenance();
  // The threads of the servers use the other modules, so they are stopped before those. Gossip and
  // watch call each other, so the threads of both end before either object is destroyed.
  admin_.reset();
  server_.reset();
  if (gossip_ != nullptr) {
    gossip_->Stop();
  }
  watch_.reset();
  gossip_.reset();
}

// ---- start ----

absl::Status EntryInstance::Start() {
  HttpServer::Options options;
  options.address = settings_.caller_address;
  server_ = std::make_unique<HttpServer>(options, nullptr);
  auto status = server_->Listen();
  if (!status.ok()) {
    return status;
  }
  CreateGossip();
  CreateFilterChain();
  server_->set_handler(chain_.get());
  ConnectModules();
  CreateWatch();
  status = gossip_->Start();
  if (!status.ok()) {
    return status;
  }
  ApplyMembership(*gossip_->View(), MonotonicNow());
  CreateProbes();
  status = StartAdmin();
  if (!status.ok()) {
    return status;
  }
  maintenance_thread_ = std::thread([this] { RunMaintenance(); });
  WaitForConfiguration();
  status = server_->Start();
  events_.Emit("entry_started", {{"caller_address", server_->address().ToString()},
                                 {"peer_address", gossip_->local_address().ToString()},
                                 {"incarnation", std::to_string(incarnation_.value())}});
  return status;
}

void EntryInstance::CreateGossip() {
  GossipSettings gossip;
  gossip.self.id = settings_.id;
  gossip.self.incarnation = incarnation_;
  gossip.self.data_centre = settings_.data_centre;
  gossip.self.caller_address = server_->address();
  gossip.self.peer_address = settings_.peer_address;
  gossip.self.seat = settings_.seat;
  gossip.seeds = settings_.peers;
  gossip.fleet_key = settings_.fleet_key;
  gossip.random_seed = EntropySeed();
  GossipHooks hooks;
  hooks.configuration_state = [this] { return StateOf(*configuration_.Current()); };
  hooks.configuration_values = [this](Revision after) { return configuration_.ValuesAfter(after); };
  hooks.newest_observations = [this](std::size_t limit) {
    return FirstOf(router_.Observations(MonotonicNow()), limit);
  };
  hooks.all_observations = [this] { return router_.Observations(MonotonicNow()); };
  hooks.newest_strikes = [this](std::size_t limit) {
    return FirstOf(router_.crash_guard().Strikes(MonotonicNow()), limit);
  };
  hooks.offer_configuration = [this](const ConfigurationValues& values, Instant now) {
    configuration_.Offer(values, now);
  };
  hooks.merge_observations = [this](const std::vector<UpstreamObservation>& observations,
                                    Instant now) { router_.Merge(observations, now); };
  hooks.merge_strikes = [this](const std::vector<CrashStrike>& strikes, Instant now) {
    router_.crash_guard().Merge(strikes, now);
  };
  hooks.has_quotas = [this] { return quotas_.has_quotas(); };
  hooks.usage_report = [this](Instant now) { return quotas_.UsageToReport(now); };
  hooks.usage_targets = [this](const MembershipView& view, Instant now) {
    return InstancesOf(quotas_.ActivePeers(now), view);
  };
  hooks.merge_usage = [this](const InstanceId& sender, Incarnation incarnation,
                             const UsageReport& usage,
                             Instant now) { quotas_.MergeUsage(sender, incarnation, usage, now); };
  hooks.record_contact = [this](Revision revision, Instant contact) {
    configuration_.RecordContact(revision, contact);
    router_.RecordContact(contact);
  };
  hooks.membership_changed = [this](const std::shared_ptr<const MembershipView>& view,
                                    Instant now) { ApplyMembership(*view, now); };
  gossip_ = std::make_unique<GossipController>(std::move(gossip), std::move(hooks), &events_);
  fleet_ = std::make_unique<InstanceFleet>(settings_.id, gossip_.get(), &configuration_);
}

void EntryInstance::ConnectModules() {
  configuration_.AddListener([this](const std::shared_ptr<const ConfigurationSnapshot>& snapshot,
                                    Instant now) { ApplyConfiguration(snapshot, now); });
  router_.SetUrgentSender([this](const UpstreamObservation& observation) {
    gossip_->SendUrgent({{observation}, {}});
  });
  router_.crash_guard().SetSender([this](const CrashStrike& strike) {
    gossip_->SendUrgent({{}, {strike}});
  });
}

void EntryInstance::CreateFilterChain() {
  DispatchDependencies dispatch;
  dispatch.router = &router_;
  dispatch.pool = &pool_;
  dispatch.services = &services_;
  dispatch.ensure_fresh = [this](Instant now) { return freshness_->EnsureFresh(now); };
  freshness_ = std::make_unique<FreshnessCheck>([this] { return configuration_.LastContact(); },
                                                [this](Duration timeout) { Refresh(timeout); });
  std::vector<std::unique_ptr<Filter>> filters;
  filters.push_back(std::make_unique<RequestIdFilter>(settings_.id.value()));
  filters.push_back(std::make_unique<AddressFilter>(fleet_.get(), &issuer_));
  filters.push_back(std::make_unique<SeatFilter>([this] { return is_seat_taken_.load(); }));
  filters.push_back(std::make_unique<RouteFilter>(&services_));
  filters.push_back(std::make_unique<CustomerFilter>(&services_, &customer_calls_));
  filters.push_back(std::make_unique<BodyFilter>());
  filters.push_back(std::make_unique<CallKeyFilter>(fleet_.get(), &issuer_, &started_calls_));
  filters.push_back(std::make_unique<QuotaFilter>(&quotas_));
  filters.push_back(std::make_unique<DispatchFilter>(dispatch));
  chain_ = std::make_unique<FilterChain>(std::move(filters), &events_);
}

void EntryInstance::CreateWatch() {
  if (settings_.configuration_service.empty()) {
    return;
  }
  WatchController::Options options;
  options.policy.data_centre = settings_.data_centre;
  options.policy.seat = settings_.seat;
  options.policy.seat_count = settings_.seat_count;
  options.policy.random_seed = EntropySeed();
  PlatformClient::Options client;
  client.addresses = settings_.configuration_service;
  watch_ = std::make_unique<WatchController>(
      options, [client] { return std::make_unique<PlatformClient>(client); }, &configuration_,
      &events_);
}

absl::Status EntryInstance::StartAdmin() {
  AdminServer::Providers providers;
  providers.status = [this] {
    const auto view = gossip_->View();
    InstanceStatus status;
    status.self.id = settings_.id;
    status.self.data_centre = settings_.data_centre;
    status.self.seat = settings_.seat;
    status.self.incarnation = incarnation_;
    status.leaving = leaving_.load();
    status.connections = server_->connection_count();
    status.since_contact = MonotonicNow() - configuration_.LastContact();
    auto page = StatusPage(status, *configuration_.Current(), configuration_.Rejections(), *view);
    AddCustomers(*configuration_.Current(), customer_calls_.Snapshot(), &page);
    if (quotas_.has_quotas()) {
      page["quota_share"] = quotas_.UsableShare(MonotonicNow());
    }
    return page;
  };
  providers.explain = [this](const ServiceName& service) -> absl::StatusOr<nlohmann::json> {
    const auto explanation = router_.Explain(service, MonotonicNow());
    if (!explanation.ok()) return explanation.status();
    return ExplainPage(*explanation, *configuration_.Current());
  };
  providers.is_healthy = [this] { return !leaving_.load(); };
  providers.events = &events_;
  providers.metrics = metrics_.get();
  auto admin = AdminServer::Start({settings_.admin_address, settings_.operator_token}, providers);
  if (!admin.ok()) return admin.status();
  admin_ = std::move(*admin);
  return absl::OkStatus();
}

void EntryInstance::CreateProbes() {
  probe_runner_ = std::make_unique<ProbeRunner>(&pool_, [this] { metrics_->probes().Increment(); });
  probes_ = std::make_unique<ProbeController>(
      &router_, [this](UpstreamLease lease) { probe_runner_->Enqueue(std::move(lease)); });
}

// Blocks until the first configuration text arrives or kFirstConfigurationTimeout passes. Without a
// configuration, calls would fail because their service is unknown. Meanwhile, connections wait in
// the accept queue of the listening socket.
void EntryInstance::WaitForConfiguration() const {
  if (watch_ == nullptr) {
    return;
  }
  const Instant deadline = MonotonicNow() + kFirstConfigurationTimeout;
  while (configuration_.Current()->text_revision == Revision() && MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kConfigurationPollInterval);
  }
}

// Queries the peers first, since a peer that follows the platform responds within milliseconds, and
// then the platform if time is left.
void EntryInstance::Refresh(Duration timeout) {
  const auto start = MonotonicNow();
  const bool has_response = gossip_->RefreshNow(timeout).ok();
  const auto remaining = timeout - (MonotonicNow() - start);
  if (!has_response && watch_ != nullptr && remaining > Duration::zero()) {
    watch_->RefreshDeclarations(remaining);
  }
}

// ---- changes ----

// Updates the pool before the router, so that the router sends calls only to upstreams that the
// pool has.
void EntryInstance::ApplyConfiguration(const std::shared_ptr<const ConfigurationSnapshot>& snapshot,
                                       Instant now) {
  quotas_.Apply(snapshot->customers.get(), now);
  customer_calls_.Apply(snapshot->customers.get());
  services_.Store(std::make_shared<const ServiceTable>(snapshot->services, snapshot->customers));
  pool_.Apply(*snapshot);
  router_.Apply(snapshot, now);
  metrics_->SetConfigurationRevision(snapshot->revision);
  events_.Emit("configuration_in_force",
               {{"revision", std::to_string(snapshot->revision.value())},
                {"text", std::to_string(snapshot->text_revision.value())},
                {"declarations", std::to_string(snapshot->declarations_revision.value())},
                {"instances", std::to_string(snapshot->instances_revision.value())}});
  // An empty message still carries the new revision to the peers.
  gossip_->SendUrgent({});
}

void EntryInstance::ApplyMembership(const MembershipView& view, Instant now) {
  std::set<Seat> live_seats;
  std::set<Seat> local_live_seats;
  for (const auto& member : view.members) {
    if (member.id != settings_.id) {
      quotas_.RecordRun(member.id, member.incarnation);
    }
    if (member.state != MemberState::kDead) {
      live_seats.insert(member.seat);
    }
    if (member.state != MemberState::kDead && member.data_centre == settings_.data_centre) {
      local_live_seats.insert(member.seat);
    }
  }
  quotas_.SetFleet(view, !leaving_.load());
  is_seat_taken_.store(view.is_seat_taken);
  pool_.SetSeatTaken(view.is_seat_taken);
  router_.SetLiveSeats(live_seats, now);
  if (watch_ != nullptr) {
    watch_->SetLiveSeats(local_live_seats);
  }
}

// ---- maintenance ----

void EntryInstance::RunMaintenance() {
  std::unique_lock<std::mutex> lock(maintenance_mutex_);
  int ticks = 0;
  while (!maintenance_changed_.wait_for(lock, ProbeController::kTickInterval,
                                        [this] { return maintenance_stopping_; })) {
    const Instant now = MonotonicNow();
    probes_->Tick(now);
    freshness_->KeepFresh(now);
    if (++ticks % kTicksPerMaintenance == 0) {
      pool_.CloseExpired(now);
      UpdateTrafficMetrics();
      UpdateCustomerMetrics();
    }
  }
}

void EntryInstance::UpdateTrafficMetrics() {
  const auto traffic = gossip_->traffic();
  metrics_->peer_bytes_sent().Increment(
      static_cast<double>(traffic.bytes_sent - counted_bytes_sent_));
  metrics_->peer_bytes_received().Increment(
      static_cast<double>(traffic.bytes_received - counted_bytes_received_));
  counted_bytes_sent_ = traffic.bytes_sent;
  counted_bytes_received_ = traffic.bytes_received;
}

void EntryInstance::UpdateCustomerMetrics() {
  std::vector<CustomerMetric> metrics;
  for (const auto& [customer, counts] : customer_calls_.Snapshot()) {
    metrics.push_back({customer, "served", "", static_cast<double>(counts.served)});
    metrics.push_back({customer, "unknown", "", static_cast<double>(counts.unknown)});
    for (const auto& [reason, calls] : counts.refused) {
      metrics.push_back({customer, "refused", reason, static_cast<double>(calls)});
    }
  }
  metrics_->SetCustomerCalls(metrics);
  if (quotas_.has_quotas()) {
    metrics_->SetQuotaShare(quotas_.UsableShare(MonotonicNow()));
  }
}

void EntryInstance::StopMaintenance() {
  {
    const std::lock_guard<std::mutex> lock(maintenance_mutex_);
    maintenance_stopping_ = true;
    maintenance_changed_.notify_all();
  }
  if (maintenance_thread_.joinable()) {
    maintenance_thread_.join();
  }
}

// ---- stop ----

void EntryInstance::Stop(Duration drain_delay) {
  events_.Emit("entry_leaving", {{"serve_ms", std::to_string(ToMilliseconds(drain_delay))}});
  leaving_.store(true);
  gossip_->DeclareLeaving();
  std::this_thread::sleep_for(drain_delay);
  server_->StopAccepting();
  events_.Emit("entry_draining", {{"connections", std::to_string(server_->connection_count())}});
  server_->WaitUntilIdle();
  gossip_->Stop();
  events_.Emit("entry_stopped", {});
}

}  // namespace primroseweir
