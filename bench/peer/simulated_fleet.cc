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

constexpr Duration kStep = milliseconds(1);
constexpr Duration kPeriod = milliseconds(200);
constexpr Duration kSettling = seconds(10);
constexpr Duration kMeasured = seconds(10);
constexpr Duration kLongestSpread = seconds(30);
constexpr std::uint64_t kLossPercent = 1;
constexpr std::size_t kDataCentres = 7;

constexpr Instant kStart{};

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

struct Flight {
  Instant at;
  std::size_t to = 0;
  std::string bytes;
  bool operator<(const Flight& other) const { return at > other.at; }
};

class SimulatedFleet {
 public:
  explicit SimulatedFleet(const FleetPlan& plan)
      : plan_(plan),
        signer_("fleet key of the bench"),
        random_(plan.seed),
        instances_(plan.members) {
    for (std::size_t i = 0; i < instances_.size(); ++i) Begin(i);
  }

  FleetResult Measure();

 private:
  Member MemberOf(std::size_t index) const;
  void Begin(std::size_t index);
  void Step();
  void Send(const std::vector<OutgoingDatagram>& datagrams);
  void Deliver(const Flight& flight);
  void Run(Duration duration);
  template <typename Condition>
  double Until(Condition condition);
  bool AllJoined() const;
  double WrongSuspicions() const;

  const FleetPlan plan_;
  const MessageSigner signer_;
  Random random_;
  Instant now_ = kStart;
  std::vector<Instance> instances_;
  std::unordered_map<std::string, std::size_t> by_address_;
  std::priority_queue<Flight> flights_;
  std::uint64_t datagrams_ = 0;
  std::uint64_t bytes_ = 0;
};

Member SimulatedFleet::MemberOf(std::size_t index) const {
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

void SimulatedFleet::Begin(std::size_t index) {
  Instance& instance = instances_[index];
  instance.store.Fill(plan_.upstreams);
  instance.hooks.configuration_state = [&instance] { return instance.configuration; };
  instance.hooks.newest_observations = [&instance](std::size_t limit) {
    return instance.store.Newest(limit);
  };
  instance.hooks.merge_observations = [&instance](const auto& received, Instant) {
    instance.store.Merge(received);
  };
  GossipSettings settings;
  settings.self = MemberOf(index);
  for (std::size_t seed = 0; seed < std::min<std::size_t>(3, plan_.members); ++seed) {
    settings.seeds.push_back(MemberOf(seed).peer_address);
  }
  settings.random_seed = plan_.seed * 10'000 + index;
  instance.node = std::make_unique<GossipNode>(settings, &instance.hooks, &signer_, kStart);
  instance.node->RecordSnapshot(instance.store.All());
  instance.next_tick = kStart + milliseconds(random_.Below(200));
  by_address_[settings.self.peer_address.ToString()] = index;
}

void SimulatedFleet::Send(const std::vector<OutgoingDatagram>& datagrams) {
  for (const OutgoingDatagram& datagram : datagrams) {
    ++datagrams_;
    bytes_ += datagram.bytes.size() + GossipNode::kHeaderBytes;
    if (random_.Below(100) < kLossPercent) continue;
    const Duration delay = std::chrono::microseconds(1'000 + random_.Below(2'000));
    flights_.push({now_ + delay, by_address_.at(datagram.to.ToString()), datagram.bytes});
  }
}

void SimulatedFleet::Deliver(const Flight& flight) {
  auto message = DecodeGossip(flight.bytes, "", signer_);
  if (!message.ok()) return;
  Instance& instance = instances_[flight.to];
  const ConfigurationState theirs = message->header.configuration;
  // A transfer by JSON-RPC takes some milliseconds; here the values arrive with their revision.
  if (theirs.revision > instance.configuration.revision) instance.configuration = theirs;
  const HybridTime received{ToMicroseconds(now_ - kStart), 0};
  instance.node->Receive(std::move(*message), Duration::zero(), received, now_);
}

void SimulatedFleet::Step() {
  now_ += kStep;
  while (!flights_.empty() && flights_.top().at <= now_) {
    const Flight flight = flights_.top();
    flights_.pop();
    Deliver(flight);
  }
  const HybridTime time{ToMicroseconds(now_ - kStart), 0};
  for (Instance& instance : instances_) {
    if (instance.node->has_urgent()) Send(instance.node->UrgentDatagrams(time, now_));
    if (instance.next_tick > now_) continue;
    instance.next_tick += kPeriod;
    Send(instance.node->Tick(time, now_, nullptr));
  }
}

void SimulatedFleet::Run(Duration duration) {
  const Instant end = now_ + duration;
  while (now_ < end) Step();
}

template <typename Condition>
double SimulatedFleet::Until(Condition condition) {
  const Instant begin = now_;
  while (now_ - begin < kLongestSpread) {
    if (condition()) return Seconds(now_ - begin);
    Run(milliseconds(10));
  }
  return -1;
}

bool SimulatedFleet::AllJoined() const {
  for (const Instance& instance : instances_) {
    if (instance.node->table().LiveCount() + 1 < plan_.members) return false;
  }
  return true;
}

double SimulatedFleet::WrongSuspicions() const {
  double wrong = 0;
  for (const Instance& instance : instances_) {
    std::size_t alive = 0;
    for (const Member& member : instance.node->table().View().members) {
      alive += member.state == MemberState::kAlive ? 1 : 0;
    }
    wrong += static_cast<double>(plan_.members - alive);
  }
  return wrong / static_cast<double>(plan_.members);
}

FleetResult SimulatedFleet::Measure() {
  FleetResult result;
  result.kind = "simulated";
  result.plan = plan_;
  result.joined_seconds = Until([this] { return AllJoined(); });
  Run(kSettling);
  const std::uint64_t datagrams = datagrams_;
  const std::uint64_t bytes = bytes_;
  const double processor = ProcessorSeconds();
  Run(kMeasured);
  const double node_seconds = Seconds(kMeasured) * static_cast<double>(plan_.members);
  result.datagrams_sent_per_second = static_cast<double>(datagrams_ - datagrams) / node_seconds;
  result.bytes_sent_per_second = static_cast<double>(bytes_ - bytes) / node_seconds;
  result.bytes_received_per_second = result.bytes_sent_per_second * (100 - kLossPercent) / 100.0;
  result.processor_percent = 100 * (ProcessorSeconds() - processor) / node_seconds;
  result.wrong_suspicions = WrongSuspicions();
  result.megabytes =
      static_cast<double>(mallinfo2().uordblks) / 1e6 / static_cast<double>(plan_.members);

  Instance& origin = instances_.back();
  origin.configuration.revision = Revision(1'000);
  origin.node->QueueUrgent({}, now_);
  result.revision_seconds = Until([this] {
    for (const Instance& instance : instances_) {
      if (instance.configuration.revision < Revision(1'000)) return false;
    }
    return true;
  });
  Run(seconds(2));
  origin.store.Merge({ObservationStore::NewEpoch()});
  origin.node->QueueUrgent({{ObservationStore::NewEpoch()}, {}}, now_);
  result.epoch_seconds = Until([this] {
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
