#include "primroseweir/routing/router.h"

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

#include "primroseweir/base/error.h"
#include "primroseweir/base/event_log.h"
#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/configuration/configuration_snapshot.h"
#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/routing/call_request.h"
#include "primroseweir/routing/detail/explain.h"
#include "primroseweir/routing/detail/picker.h"
#include "primroseweir/routing/detail/scratch_pool.h"
#include "primroseweir/routing/detail/service_runtime.h"
#include "primroseweir/routing/routing_table.h"
#include "primroseweir/upstream/upstream_state.h"

namespace primroseweir {
namespace {

constexpr Duration::rep kNever = INT64_MIN;

std::uint64_t NextServiceNumber() {
  static std::atomic<std::uint64_t> next{1};
  return next.fetch_add(1, std::memory_order_relaxed);
}

absl::Status NotExecuted(absl::StatusCode code, const std::string& message) {
  return MakeError(code, {"admission", ""}, message);
}

detail::ScratchPool::PolicyFactory PolicyFactoryOf(const Router::Options& options) {
  if (options.make_policy) return options.make_policy;
  return [] { return MakeLoadBalancingPolicy(LoadBalancingPolicyNames().front()); };
}

}  // namespace

class Router::Implementation {
 public:
  Implementation(const Options& options, EventLog* events)
      : options_(options),
        events_(events),
        shared_(std::make_shared<detail::RouterShared>(options.seat)),
        pool_(options.random_seed, PolicyFactoryOf(options)),
        table_(std::make_shared<const RoutingTable>()) {}

  // ---- calls ----

  absl::StatusOr<UpstreamLease> TryAcquire(const CallRequest& request, Instant now,
                                           bool from_queue) {
    // Loads the table for each attempt, so that a call that waited is not routed by an outdated
    // table.
    const std::shared_ptr<const RoutingTable> table = table_.Load();
    const auto entry = table->services.find(request.service);
    if (entry == table->services.end()) {
      return NotExecuted(absl::StatusCode::kNotFound, "no such service");
    }
    const detail::Picker::Rules rules{IsWindowUntrusted(now), MayClaim(now), from_queue};
    return detail::Picker(entry->second, shared_.get(), &pool_, rules).Acquire(request, now);
  }

  absl::StatusOr<UpstreamLease> Acquire(const CallRequest& request, Instant now) {
    auto result = TryAcquire(request, now, false);
    if (result.ok() || result.status().code() != absl::StatusCode::kResourceExhausted) {
      return result;
    }
    const std::shared_ptr<detail::ServiceRuntime> runtime = RuntimeOf(request.service);
    if (runtime == nullptr) return result;
    AdmissionController& admission = runtime->limits().admission;
    if (now + admission.ExpectedWait(request.priority) > request.deadline) {
      return NotExecuted(absl::StatusCode::kResourceExhausted,
                         "the expected wait exceeds the deadline");
    }
    const bool is_suspect =
        shared_->guard->Check(request.fingerprint, now) == CrashGuard::Classification::kSuspect;
    const AdmissionController::WaitRequest wait_request{request.priority, request.deadline,
                                                        !is_suspect && request.excluded.empty()};
    admission.Wait(wait_request, now, [&](Instant present) {
      result = TryAcquire(request, present, true);
      return result.ok() || result.status().code() != absl::StatusCode::kResourceExhausted;
    });
    return result;
  }

  absl::StatusOr<UpstreamLease> AcquireProbe(const UpstreamId& id, Instant now) {
    const std::shared_ptr<const RoutingTable> table = table_.Load();
    const auto found = table->upstreams.find(id);
    if (found == table->upstreams.end()) {
      return MakeError(absl::StatusCode::kUnavailable, {"probe", id.value()}, "not listed");
    }
    const std::shared_ptr<UpstreamState>& state = found->second;
    const auto service = table->services.find(state->record().service);
    if (service == table->services.end() || state->is_leaving() ||
        table->drained.count(state->record().data_centre) != 0) {
      return MakeError(absl::StatusCode::kUnavailable, {"probe", id.value()}, "not in use");
    }
    if (!state->window().is_settled(now) || !state->TryStart(state->window().limit(), now)) {
      return MakeError(absl::StatusCode::kUnavailable, {"probe", id.value()}, "at its limit");
    }
    return UpstreamLease(LeaseContext{state, now, 0, false, true}, service->second.runtime);
  }

  std::shared_ptr<detail::ServiceRuntime> RuntimeOf(const ServiceName& service) const {
    const std::shared_ptr<const RoutingTable> table = table_.Load();
    const auto entry = table->services.find(service);
    return entry == table->services.end() ? nullptr : entry->second.runtime;
  }

  CrashGuard& crash_guard() { return *shared_->guard; }

  // ---- state ----

  void Apply(const ConfigurationSnapshot& snapshot, Instant now) {
    std::shared_ptr<const RoutingTable> table;
    {
      const std::lock_guard<std::mutex> lock(writers_mutex_);
      if (first_apply_at_.load() == kNever) first_apply_at_.store(now.time_since_epoch().count());
      const std::shared_ptr<const RoutingTable> before = table_.Load();
      table = RoutingTableBuilder(*before, BuilderSettings(), now).Build(snapshot);
      for (const auto& [name, entry] : table->services) SetUpstreams(entry);
      table_.Store(table);
      WakeCallsOfRemovedServices(*before, *table);
    }
    for (const auto& [name, entry] : table->services) entry.runtime->AssignSlots();
    for (const auto& state : table->restarted) shared_->NotifyPeers(*state, now);
    LogTableChange(*table, snapshot);
  }

  void SetLiveSeats(const std::set<Seat>& seats, Instant now) {
    const std::lock_guard<std::mutex> lock(writers_mutex_);
    auto live = std::make_shared<std::vector<std::uint64_t>>();
    for (const Seat seat : seats) live->push_back(seat.value());
    if (seats.count(options_.seat) == 0) live->push_back(options_.seat.value());
    if (live_seats_ != nullptr && *live_seats_ == *live) return;
    live_seats_ = std::move(live);
    shared_->live_count.store(live_seats_->size(), std::memory_order_release);
    {
      const std::lock_guard<std::mutex> live_lock(shared_->live_mutex);
      shared_->live_seats = seats;
      shared_->live_seats.insert(options_.seat);
    }
    const std::shared_ptr<const RoutingTable> table = table_.Load();
    for (const auto& [id, state] : table->upstreams) state->window().SetLiveSeats(live_seats_);
    for (const auto& [name, entry] : table->services) entry.runtime->AssignSlots();
  }

  void Merge(const std::vector<UpstreamObservation>& observations, Instant now) {
    const std::lock_guard<std::mutex> lock(writers_mutex_);
    const std::shared_ptr<const RoutingTable> table = table_.Load();
    std::set<ServiceName> changed;
    for (const UpstreamObservation& observation : observations) {
      const auto removed = table->removed.find(observation.id);
      if (removed != table->removed.end()) removed->second.state->Merge(observation, now);
      const auto found = table->upstreams.find(observation.id);
      if (found == table->upstreams.end()) continue;
      if (found->second->Merge(observation, now)) changed.insert(found->second->record().service);
    }
    for (const ServiceName& name : changed) {
      const auto entry = table->services.find(name);
      if (entry != table->services.end()) entry->second.runtime->AssignSlots();
    }
    RecordContact(now);
  }

  // Wakes no waiting calls: those that wait because windows are untrusted try again at the next
  // recheck of the admission queue.
  void RecordContact(Instant now) {
    last_contact_.store(now.time_since_epoch().count(), std::memory_order_release);
  }

  void SetUrgentSender(std::function<void(const UpstreamObservation&)> sender) {
    const std::lock_guard<std::mutex> lock(shared_->urgent_sender_mutex);
    shared_->urgent_sender = std::move(sender);
  }

  std::shared_ptr<const RoutingTable> table() const { return table_.Load(); }

 private:
  RoutingTableBuilder::Settings BuilderSettings() const {
    return {options_.data_centre, {options_.seat, options_.seat_count, live_seats_}, [this] {
              return std::make_shared<detail::ServiceRuntime>(NextServiceNumber(), shared_);
            }};
  }

  static void SetUpstreams(const ServiceEntry& entry) {
    std::vector<std::shared_ptr<UpstreamState>> states;
    for (const ServiceEntry::UsableUpstream& usable : entry.in_use) states.push_back(usable.state);
    entry.runtime->SetUpstreams(std::move(states));
  }

  // Wakes the calls that wait for a service that is no longer configured, so that they fail at
  // once.
  static void WakeCallsOfRemovedServices(const RoutingTable& before, const RoutingTable& after) {
    for (const auto& [name, entry] : before.services) {
      if (after.services.count(name) == 0) entry.runtime->limits().admission.Wake();
    }
  }

  void LogTableChange(const RoutingTable& table, const ConfigurationSnapshot& snapshot) const {
    if (events_ == nullptr) return;
    events_->Emit("routing_table_changed", {{"revision", std::to_string(snapshot.revision.value())},
                                            {"services", std::to_string(table.services.size())},
                                            {"upstreams", std::to_string(table.upstreams.size())},
                                            {"out", std::to_string(table.drained.size())},
                                            {"restarted", std::to_string(table.restarted.size())}});
  }

  bool IsWindowUntrusted(Instant now) const {
    const Duration::rep last = last_contact_.load(std::memory_order_acquire);
    if (last == kNever || shared_->live_count.load(std::memory_order_acquire) <= 1) return false;
    return now.time_since_epoch().count() - last > kContactTimeout.count();
  }

  bool MayClaim(Instant now) const {
    if (last_contact_.load(std::memory_order_acquire) != kNever) return !IsWindowUntrusted(now);
    const Duration::rep first_apply = first_apply_at_.load(std::memory_order_relaxed);
    return first_apply != kNever &&
           now.time_since_epoch().count() - first_apply > kClaimDelay.count();
  }

  const Options options_;
  EventLog* const events_;
  const std::shared_ptr<detail::RouterShared> shared_;
  detail::ScratchPool pool_;
  RcuCell<RoutingTable> table_;
  std::mutex writers_mutex_;
  WarmUpWindow::Seats live_seats_;
  std::atomic<Duration::rep> last_contact_{kNever};
  std::atomic<Duration::rep> first_apply_at_{kNever};
};

// ---- calls ----

Router::Router(const Options& options, EventLog* events)
    : implementation_(std::make_unique<Implementation>(options, events)) {}

Router::~Router() = default;

absl::StatusOr<UpstreamLease> Router::Acquire(const CallRequest& request, Instant now) {
  return implementation_->Acquire(request, now);
}

absl::StatusOr<UpstreamLease> Router::TryAcquire(const CallRequest& request, Instant now) {
  return implementation_->TryAcquire(request, now, false);
}

absl::StatusOr<UpstreamLease> Router::AcquireProbe(const UpstreamId& upstream, Instant now) {
  return implementation_->AcquireProbe(upstream, now);
}

Duration Router::RetryAfter(const ServiceName& service) const {
  const auto runtime = implementation_->RuntimeOf(service);
  if (runtime == nullptr) return Duration::zero();
  return runtime->limits().admission.ExpectedWait(Priority::kRefreshable);
}

std::shared_ptr<ServiceLimits> Router::Limits(const ServiceName& service) const {
  const auto runtime = implementation_->RuntimeOf(service);
  if (runtime == nullptr) return nullptr;
  return {runtime, &runtime->limits()};
}

CrashGuard& Router::crash_guard() { return implementation_->crash_guard(); }

// ---- state ----

void Router::Apply(std::shared_ptr<const ConfigurationSnapshot> snapshot, Instant now) {
  const std::shared_ptr<const ConfigurationSnapshot> owned_snapshot = std::move(snapshot);
  implementation_->Apply(*owned_snapshot, now);
}

void Router::SetLiveSeats(const std::set<Seat>& seats, Instant now) {
  implementation_->SetLiveSeats(seats, now);
}

void Router::Merge(const std::vector<UpstreamObservation>& observations, Instant now) {
  implementation_->Merge(observations, now);
}

void Router::RecordContact(Instant now) { implementation_->RecordContact(now); }

void Router::SetUrgentSender(std::function<void(const UpstreamObservation&)> sender) {
  implementation_->SetUrgentSender(std::move(sender));
}

std::vector<UpstreamObservation> Router::Observations(Instant now) const {
  std::vector<UpstreamObservation> all;
  // Held for the whole loop: Apply may replace the table meanwhile.
  const auto table = implementation_->table();
  for (const auto& [id, state] : table->upstreams) {
    all.push_back(state->Observation(now));
  }
  return all;
}

std::vector<std::shared_ptr<UpstreamState>> Router::Upstreams() const {
  std::vector<std::shared_ptr<UpstreamState>> all;
  const auto table = implementation_->table();
  for (const auto& [id, state] : table->upstreams) all.push_back(state);
  return all;
}

absl::StatusOr<ServiceExplanation> Router::Explain(const ServiceName& service, Instant now) const {
  return detail::Explain(*implementation_->table(), service, now);
}

}  // namespace primroseweir
