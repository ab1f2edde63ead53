#include "simulated_fleet.h"

#include <malloc.h>

#include <ctime>
#include <memory>
#include <queue>
#include <unordered_map>
#include <utility>

#include "observation_store.h"
#include "primroseweir/base/random.h"
#include "primroseweir/membership/gossip_node.h"
#include "primroseweir/peer/gossip_codec.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTimeStep = milliseconds(1);
constexpr Duration kTickInterval = milliseconds(200);
constexpr Duration kSettlingTime = seconds(10);
constexpr Duration kMeasurementTime = seconds(10);
constexpr Duration kMaxPropagationTime = seconds(30);
constexpr std::uint64_t kLossPercent = 1;
constexpr std::size_t kDataCentres = 7;

constexpr Instant kStartTime{};

double Seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double ProcessorSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

struct Instance {
  GossipHooks hooks;
  ConfigurationState configuration;
  ObservationStore store;
  std::unique_ptr<GossipNode> node;
  Instant next_tick;
};

struct DatagramInFlight {
  Instant arrival_time;
  std::size_t receiver = 0;
  std::string bytes;
  bool operator<(const DatagramInFlight& other) const { return arrival_time > other.arrival_time; }
};

class SimulatedFleet {
 public:
  explicit SimulatedFleet(const FleetPlan& plan)
      : plan_(plan),
        signer_("fleet key of the bench"),
        random_(plan.seed),
        instances_(plan.members) {
    for (std::size_t i = 0; i < instances_.size(); ++i) StartInstance(i);
  }

  FleetResult Measure();

 private:
  Member MakeMember(std::size_t index) const;
  void StartInstance(std::size_t index);
  void AdvanceOneStep();
  void Send(const std::vector<OutgoingDatagram>& datagrams);
  void Deliver(const DatagramInFlight& flight);
  void RunFor(Duration duration);
  template <typename Condition>
  double SecondsUntil(Condition condition);
  bool HaveAllJoined() const;
  double MeanWrongSuspicions() const;

  const FleetPlan plan_;
  const MessageSigner signer_;
  Random random_;
  Instant now_ = kStartTime;
  std::vector<Instance> instances_;
  std::unordered_map<std::string, std::size_t> index_by_address_;
  std::priority_queue<DatagramInFlight> datagrams_in_flight_;
  std::uint64_t datagrams_sent_ = 0;
  std::uint64_t bytes_sent_ = 0;
};

Member SimulatedFleet::MakeMember(std::size_t index) const {
  Member member;
  member.id = InstanceId("entry-" + std::to_string(index));
  member.incarnation = Incarnation(1'700'000'000'000'000 + index);
  member.data_centre = DataCentre("dc-" + std::to_string(index % kDataCentres));
  const std::string ip =
      "10.0." + std::to_string(index / 200) + "." + std::to_string(1 + index % 200);
  member.peer_address = {ip, 9'101};
  member.caller_address = {ip, 8'080};
  member.seat = Seat(index);
  return member;
}

void SimulatedFleet::StartInstance(std::size_t index) {
  Instance& instance = instances_[index];
  instance.store.Fill(plan_.upstreams);
  instance.hooks.configuration_state = [&instance] { return instance.configuration; };
  instance.hooks.newest_observations = [&instance](std::size_t max_count) {
    return instance.store.NextReported(max_count);
  };
  instance.hooks.merge_observations = [&instance](const auto& received, Instant) {
    instance.store.Merge(received);
  };
  GossipSettings settings;
  settings.self = MakeMember(index);
  for (std::size_t seed = 0; seed < std::min<std::size_t>(3, plan_.members); ++seed) {
    settings.seeds.push_back(MakeMember(seed).peer_address);
  }
  settings.random_seed = plan_.seed * 10'000 + index;
  instance.node = std::make_unique<GossipNode>(settings, &instance.hooks, &signer_, kStartTime);
  instance.node->RecordSnapshot(instance.store.All());
  instance.next_tick = kStartTime + milliseconds(random_.UniformBelow(200));
  index_by_address_[settings.self.peer_address.ToString()] = index;
}

void SimulatedFleet::Send(const std::vector<OutgoingDatagram>& datagrams) {
  for (const OutgoingDatagram& datagram : datagrams) {
    ++datagrams_sent_;
    bytes_sent_ += datagram.bytes.size() + GossipNode::kIpUdpHeaderBytes;
    if (random_.UniformBelow(100) < kLossPercent) continue;
    const Duration delay = std::chrono::microseconds(1'000 + random_.UniformBelow(2'000));
    datagrams_in_flight_.push(
        {now_ + delay, index_by_address_.at(datagram.to.ToString()), datagram.bytes});
  }
}

void SimulatedFleet::Deliver(const DatagramInFlight& flight) {
  auto message = DecodeGossip(flight.bytes, "", signer_);
  if (!message.ok()) return;
  Instance& instance = instances_[flight.receiver];
  const ConfigurationState peer_state = message->header.configuration;
  // In a real fleet the values follow by JSON-RPC, which takes some milliseconds; here they arrive
  // together with their revision.
  if (peer_state.revision > instance.configuration.revision) instance.configuration = peer_state;
  const HybridTime received_at{ToMicroseconds(now_ - kStartTime), 0};
  instance.node->Receive(std::move(*message), Duration::zero(), received_at, now_);
}

void SimulatedFleet::AdvanceOneStep() {
  now_ += kTimeStep;
  while (!datagrams_in_flight_.empty() && datagrams_in_flight_.top().arrival_time <= now_) {
    const DatagramInFlight flight = datagrams_in_flight_.top();
    datagrams_in_flight_.pop();
    Deliver(flight);
  }
  const HybridTime time{ToMicroseconds(now_ - kStartTime), 0};
  for (Instance& instance : instances_) {
    if (instance.node->has_urgent()) Send(instance.node->UrgentDatagrams(time, now_));
    if (instance.next_tick > now_) continue;
    instance.next_tick += kTickInterval;
    Send(instance.node->Tick(time, now_, nullptr));
  }
}

void SimulatedFleet::RunFor(Duration duration) {
  const Instant end = now_ + duration;
  while (now_ < end) AdvanceOneStep();
}

template <typename Condition>
double SimulatedFleet::SecondsUntil(Condition condition) {
  const Instant begin = now_;
  while (now_ - begin < kMaxPropagationTime) {
    if (condition()) return Seconds(now_ - begin);
    RunFor(milliseconds(10));
  }
  return -1;
}

bool SimulatedFleet::HaveAllJoined() const {
  for (const Instance& instance : instances_) {
    if (instance.node->table().LiveCount() + 1 < plan_.members) return false;
  }
  return true;
}

double SimulatedFleet::MeanWrongSuspicions() const {
  double wrong_suspicions_total = 0;
  for (const Instance& instance : instances_) {
    std::size_t alive = 0;
    for (const Member& member : instance.node->table().View().members) {
      alive += member.state == MemberState::kAlive ? 1 : 0;
    }
    wrong_suspicions_total += static_cast<double>(plan_.members - alive);
  }
  return wrong_suspicions_total / static_cast<double>(plan_.members);
}

FleetResult SimulatedFleet::Measure() {
  FleetResult result;
  result.kind = "simulated";
  result.plan = plan_;
  result.joined_seconds = SecondsUntil([this] { return HaveAllJoined(); });
  RunFor(kSettlingTime);
  const std::uint64_t datagrams_before = datagrams_sent_;
  const std::uint64_t bytes_before = bytes_sent_;
  const double processor_seconds_before = ProcessorSeconds();
  RunFor(kMeasurementTime);
  const double node_seconds = Seconds(kMeasurementTime) * static_cast<double>(plan_.members);
  result.datagrams_sent_per_second =
      static_cast<double>(datagrams_sent_ - datagrams_before) / node_seconds;
  result.bytes_sent_per_second = static_cast<double>(bytes_sent_ - bytes_before) / node_seconds;
  result.bytes_received_per_second = result.bytes_sent_per_second * (100 - kLossPercent) / 100.0;
  result.processor_percent = 100 * (ProcessorSeconds() - processor_seconds_before) / node_seconds;
  result.wrong_suspicions = MeanWrongSuspicions();
  result.megabytes =
      static_cast<double>(mallinfo2().uordblks) / 1e6 / static_cast<double>(plan_.members);

  Instance& origin = instances_.back();
  origin.configuration.revision = Revision(1'000);
  origin.node->QueueUrgent({}, now_);
  result.revision_seconds = SecondsUntil([this] {
    for (const Instance& instance : instances_) {
      if (instance.configuration.revision < Revision(1'000)) return false;
    }
    return true;
  });
  RunFor(seconds(2));
  origin.store.Merge({ObservationStore::NewEpochObservation()});
  origin.node->QueueUrgent({{ObservationStore::NewEpochObservation()}, {}}, now_);
  result.epoch_seconds = SecondsUntil([this] {
    for (Instance& instance : instances_) {
      if (instance.store.EpochOf(0) < 2) return false;
    }
    return true;
  });
  return result;
}

}  // namespace

FleetResult MeasureSimulatedFleet(const FleetPlan& plan) { return SimulatedFleet(plan).Measure(); }

}  // namespace primroseweir
