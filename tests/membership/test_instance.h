#ifndef PRIMROSEWEIR_TESTS_MEMBERSHIP_TEST_INSTANCE_H_
#define PRIMROSEWEIR_TESTS_MEMBERSHIP_TEST_INSTANCE_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "primroseweir/base/event_log.h"
#include "primroseweir/base/random.h"
#include "primroseweir/membership/gossip_controller.h"
#include "primroseweir/peer/observation_merge.h"

namespace primroseweir {

// Simulated network that records which instances can't reach each other. Thread-safe.
class Network {
 public:
  void Disconnect(const SocketAddress& a, const SocketAddress& b) {
    const std::lock_guard<std::mutex> lock(mutex_);
    disconnected_.insert({a, b});
    disconnected_.insert({b, a});
  }
  void ReconnectAll() {
    const std::lock_guard<std::mutex> lock(mutex_);
    disconnected_.clear();
  }
  bool IsConnected(const SocketAddress& from, const SocketAddress& to) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return disconnected_.count({from, to}) == 0;
  }

 private:
  std::mutex mutex_;
  std::set<std::pair<SocketAddress, SocketAddress>> disconnected_;
};

struct TestInstanceOptions {
  std::string id;
  std::string data_centre = "krems";
  std::uint64_t seat = 0;
  std::uint64_t incarnation = 0;
  std::vector<SocketAddress> seeds;
  std::string ip;
  MembershipTimeouts timeouts;
};

// A GossipController whose hooks use a small configuration and a map of observations.
class TestInstance {
 public:
  TestInstance(const TestInstanceOptions& options, Network* network)
      : events_(options.id), network_(network) {
    GossipSettings settings;
    settings.self.id = InstanceId(options.id);
    settings.self.incarnation =
        Incarnation(options.incarnation != 0 ? options.incarnation
                                             : static_cast<std::uint64_t>(WallMicroseconds()));
    settings.self.data_centre = DataCentre(options.data_centre);
    settings.self.seat = Seat(options.seat);
    settings.self.peer_address = {options.ip, 0};
    settings.self.caller_address = {options.ip, 80};
    settings.seeds = options.seeds;
    settings.fleet_key = "fleet key of the tests";
    settings.timeouts = options.timeouts;
    settings.random_seed = EntropySeed();
    settings.snapshot_timeout = std::chrono::milliseconds(500);
    settings.send_filter = [this](const SocketAddress& to) {
      return network_->IsConnected(address(), to);
    };
    controller_ = std::make_unique<GossipController>(settings, Hooks(), &events_);
    raw_controller_ = controller_.get();
  }

  absl::Status Start() { return controller_->Start(); }
  GossipController& controller() { return *controller_; }
  // Uses the raw pointer because the controller's threads call this while Crash destroys the
  // controller and waits for them.
  SocketAddress address() const { return raw_controller_->local_address(); }
  // Ends without notifying the peers, as in a crash.
  void Crash() { controller_.reset(); }

  void SetValue(const std::string& key, std::uint64_t revision, const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    values_[key] = {Revision(revision), text};
  }
  std::string Value(const std::string& key) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return values_[key].text;
  }
  Revision HighestPeerRevision() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return highest_peer_revision_;
  }

  // Raises an upstream's epoch at this instance and sends it to the peers.
  void RaiseEpoch(const std::string& upstream, std::uint64_t epoch) {
    UpstreamObservation observation;
    observation.id = UpstreamId(upstream);
    observation.epoch = Epoch(epoch);
    Merge({observation});
    controller_->SendUrgent({{observation}, {}});
  }
  void SetObservation(const UpstreamObservation& observation) { Merge({observation}); }
  std::uint64_t EpochOf(const std::string& upstream) {
    const std::lock_guard<std::mutex> lock(mutex_);
    return observations_[UpstreamId(upstream)].epoch.value();
  }
  std::size_t StrikeCount() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return strikes_.size();
  }

  // Returns the number of members in this state, this instance included.
  std::size_t CountInState(MemberState state) const {
    const auto view = controller_->View();
    return static_cast<std::size_t>(
        std::count_if(view->members.begin(), view->members.end(),
                      [state](const Member& member) { return member.state == state; }));
  }
  // Returns the number of recorded events with this name and this value of the field `to`.
  std::size_t CountEvents(const std::string& name, const std::string& to) {
    std::size_t count = 0;
    for (const Event& event : events_.EventsAfter(0)) {
      if (event.name != name) continue;
      for (const auto& [key, value] : event.fields) count += key == "to" && value == to ? 1 : 0;
    }
    return count;
  }
  EventLog& events() { return events_; }

 private:
  GossipHooks Hooks() {
    GossipHooks hooks;
    hooks.configuration_state = [this] { return State(); };
    hooks.configuration_values = [this](Revision after) { return ValuesAfter(after); };
    hooks.all_observations = [this] { return Observations(1'000'000); };
    hooks.newest_observations = [this](std::size_t limit) { return Observations(limit); };
    hooks.offer_configuration = [this](const ConfigurationValues& values, Instant) {
      Offer(values);
    };
    hooks.merge_observations = [this](const std::vector<UpstreamObservation>& observations,
                                      Instant) { Merge(observations); };
    hooks.merge_strikes = [this](const std::vector<CrashStrike>& strikes, Instant) {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (const CrashStrike& strike : strikes) strikes_.insert(strike.fingerprint);
    };
    hooks.record_contact = [this](Revision revision, Instant) {
      const std::lock_guard<std::mutex> lock(mutex_);
      highest_peer_revision_ = std::max(highest_peer_revision_, revision);
    };
    return hooks;
  }

  ConfigurationState State() {
    const std::lock_guard<std::mutex> lock(mutex_);
    ConfigurationState state;
    for (const auto& [key, value] : values_) {
      state.revision = std::max(state.revision, value.revision);
      state.digest = state.digest * 31 + value.revision.value();
    }
    return state;
  }
  ConfigurationValues ValuesAfter(Revision after) {
    const std::lock_guard<std::mutex> lock(mutex_);
    ConfigurationValues values;
    for (const auto& [key, value] : values_) {
      if (value.revision > after) values[key] = value;
    }
    return values;
  }
  void Offer(const ConfigurationValues& values) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& [key, value] : values) {
      if (value.revision > values_[key].revision) values_[key] = value;
    }
  }
  std::vector<UpstreamObservation> Observations(std::size_t limit) {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<UpstreamObservation> observations;
    for (const auto& [id, observation] : observations_) {
      if (observations.size() < limit) observations.push_back(observation);
    }
    return observations;
  }
  void Merge(const std::vector<UpstreamObservation>& observations) {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const UpstreamObservation& observation : observations) {
      const auto [entry, inserted] = observations_.emplace(observation.id, observation);
      if (!inserted) entry->second = MergeObservations(entry->second, observation);
    }
  }

  EventLog events_;
  Network* const network_;
  std::mutex mutex_;
  ConfigurationValues values_;
  std::map<UpstreamId, UpstreamObservation> observations_;
  std::set<std::uint64_t> strikes_;
  Revision highest_peer_revision_;
  std::unique_ptr<GossipController> controller_;
  GossipController* raw_controller_ = nullptr;
};

// Polls until `condition` holds. Returns false if it does not hold within `timeout`.
inline bool WaitFor(const std::function<bool()>& condition, Duration timeout) {
  const Instant deadline = MonotonicNow() + timeout;
  while (MonotonicNow() < deadline) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return condition();
}

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_TESTS_MEMBERSHIP_TEST_INSTANCE_H_
