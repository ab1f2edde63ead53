#include "real_fleet.h"

#include <malloc.h>

#include <algorithm>
#include <ctime>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "observation_store.h"
#include "primroseweir/base/event_log.h"
#include "primroseweir/base/random.h"
#include "primroseweir/membership/gossip_controller.h"
#include "primroseweir/membership/gossip_node.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSettlingTime = seconds(3);
constexpr Duration kMeasurementTime = seconds(10);
constexpr Duration kMaxPropagationTime = seconds(30);

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

// A gossip controller with a configuration of a single key and a store of observations.
class Instance {
 public:
  Instance(std::size_t index, const FleetPlan& plan, const std::string& ip,
           const std::vector<SocketAddress>& seeds)
      : events_("entry-" + std::to_string(index)) {
    store_.Fill(plan.upstreams);
    GossipSettings settings;
    settings.self.id = InstanceId("entry-" + std::to_string(index));
    settings.self.incarnation = Incarnation(static_cast<std::uint64_t>(WallMicroseconds()));
    settings.self.data_centre = DataCentre("dc-" + std::to_string(index % 3));
    settings.self.seat = Seat(index);
    settings.self.peer_address = {ip, 0};
    settings.self.caller_address = {ip, 80};
    settings.seeds = seeds;
    settings.fleet_key = "fleet key of the bench";
    settings.random_seed = plan.seed * 10'000 + index;
    controller_ = std::make_unique<GossipController>(settings, MakeHooks(), &events_);
  }

  bool Start() { return controller_->Start().ok(); }
  GossipController& controller() { return *controller_; }
  ObservationStore& store() { return store_; }

  Revision revision() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return value_.revision;
  }
  void SetValue(Revision revision, std::size_t bytes) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (revision > value_.revision) value_ = {revision, std::string(bytes, 'x')};
  }

 private:
  GossipHooks MakeHooks() {
    GossipHooks hooks;
    hooks.configuration_state = [this] { return ConfigurationState{revision(), 0}; };
    hooks.configuration_values = [this](Revision after) {
      const std::lock_guard<std::mutex> lock(mutex_);
      ConfigurationValues values;
      if (value_.revision > after) values["text"] = value_;
      return values;
    };
    hooks.offer_configuration = [this](const ConfigurationValues& values, Instant) {
      for (const auto& [key, value] : values) SetValue(value.revision, value.text.size());
    };
    hooks.newest_observations = [this](std::size_t max_count) {
      return store_.NextReported(max_count);
    };
    hooks.all_observations = [this] { return store_.All(); };
    hooks.merge_observations = [this](const auto& received, Instant) { store_.Merge(received); };
    return hooks;
  }

  EventLog events_;
  ObservationStore store_;
  std::mutex mutex_;
  ConfigurationValue value_;
  std::unique_ptr<GossipController> controller_;
};

using Instances = std::vector<std::unique_ptr<Instance>>;

double SecondsUntil(const Instances& instances, const std::function<bool(Instance&)>& condition) {
  const Instant begin = MonotonicNow();
  while (MonotonicNow() - begin < kMaxPropagationTime) {
    const bool all_match = std::all_of(instances.begin(), instances.end(),
                                       [&condition](const auto& i) { return condition(*i); });
    if (all_match) return Seconds(MonotonicNow() - begin);
    std::this_thread::sleep_for(milliseconds(2));
  }
  return -1;
}

std::size_t CountAliveMembers(Instance& instance) {
  const auto view = instance.controller().View();
  return static_cast<std::size_t>(
      std::count_if(view->members.begin(), view->members.end(),
                    [](const Member& member) { return member.state == MemberState::kAlive; }));
}

GossipController::Traffic TotalTraffic(const Instances& instances) {
  GossipController::Traffic total;
  for (const auto& instance : instances) {
    const auto traffic = instance->controller().traffic();
    total.datagrams_sent += traffic.datagrams_sent;
    total.bytes_sent += traffic.bytes_sent;
    total.datagrams_received += traffic.datagrams_received;
    total.bytes_received += traffic.bytes_received;
  }
  return total;
}

double WireBytes(std::uint64_t bytes, std::uint64_t datagrams) {
  return static_cast<double>(bytes + datagrams * GossipNode::kIpUdpHeaderBytes);
}

void MeasureTraffic(const Instances& instances, FleetResult* result) {
  const auto before = TotalTraffic(instances);
  const double processor_seconds_before = ProcessorSeconds();
  const Instant begin = MonotonicNow();
  std::this_thread::sleep_for(kMeasurementTime);
  const double node_seconds =
      Seconds(MonotonicNow() - begin) * static_cast<double>(instances.size());
  const double processor_seconds = ProcessorSeconds() - processor_seconds_before;
  const auto after = TotalTraffic(instances);
  const std::uint64_t sent = after.datagrams_sent - before.datagrams_sent;
  const std::uint64_t received = after.datagrams_received - before.datagrams_received;
  result->datagrams_sent_per_second = static_cast<double>(sent) / node_seconds;
  result->bytes_sent_per_second =
      WireBytes(after.bytes_sent - before.bytes_sent, sent) / node_seconds;
  result->bytes_received_per_second =
      WireBytes(after.bytes_received - before.bytes_received, received) / node_seconds;
  result->processor_percent = 100 * processor_seconds / node_seconds;
  result->megabytes =
      static_cast<double>(mallinfo2().uordblks) / 1e6 / static_cast<double>(instances.size());
  for (const auto& instance : instances) {
    result->wrong_suspicions +=
        static_cast<double>(instances.size() - CountAliveMembers(*instance)) /
        static_cast<double>(instances.size());
  }
}

}  // namespace

FleetResult MeasureRealFleet(const FleetPlan& plan) {
  FleetResult result;
  result.kind = "real";
  result.plan = plan;
  Random random(EntropySeed());
  const std::string ip = "127." + std::to_string(1 + random.UniformBelow(250)) + "." +
                         std::to_string(random.UniformBelow(250)) + ".1";
  Instances instances;
  std::vector<SocketAddress> seeds;
  for (std::size_t i = 0; i < plan.members; ++i) {
    instances.push_back(std::make_unique<Instance>(i, plan, ip, seeds));
    if (!instances.back()->Start()) return result;
    if (seeds.size() < 3) seeds.push_back(instances.back()->controller().local_address());
  }
  result.joined_seconds = SecondsUntil(
      instances, [&plan](Instance& i) { return CountAliveMembers(i) == plan.members; });
  std::this_thread::sleep_for(kSettlingTime);
  MeasureTraffic(instances, &result);

  constexpr std::size_t kValueBytes = 20'000;
  instances.back()->SetValue(Revision(1'000), kValueBytes);
  instances.back()->controller().SendUrgent({});
  result.revision_seconds =
      SecondsUntil(instances, [](Instance& i) { return i.revision() == Revision(1'000); });
  instances.back()->store().Merge({ObservationStore::NewEpochObservation()});
  instances.back()->controller().SendUrgent({{ObservationStore::NewEpochObservation()}, {}});
  result.epoch_seconds =
      SecondsUntil(instances, [](Instance& i) { return i.store().EpochOf(0) == 2; });
  return result;
}

}  // namespace primroseweir
