#include "primroseweir/membership/gossip_node.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

#include "primroseweir/peer/gossip_codec.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart{};
constexpr std::int64_t kWallStart = 1'700'000'000'000'000;

const MessageSigner& Signer() {
  static const MessageSigner signer("fleet key of the tests");
  return signer;
}

HybridTime WallAt(Duration since_start) { return {kWallStart + ToMicroseconds(since_start), 0}; }

Member MemberNamed(std::uint64_t number) {
  Member member;
  member.id = InstanceId("entry-" + std::to_string(number));
  member.incarnation = Incarnation(kWallStart + number);
  member.data_centre = DataCentre(number % 3 == 0 ? "krems" : "melk");
  member.peer_address = {"10.0.0." + std::to_string(number), 9101};
  member.seat = Seat(number);
  return member;
}

UpstreamObservation ObservationOf(std::uint64_t number, std::uint64_t epoch, Duration age) {
  UpstreamObservation observation;
  observation.id = UpstreamId("upstream-" + std::to_string(number));
  observation.epoch = Epoch(epoch);
  observation.window = 6;
  observation.report = LoadReport{3, milliseconds(4), age};
  return observation;
}

// A node whose sinks keep what they get.
struct Recorder {
  explicit Recorder(std::size_t members) : node(Settings(), &hooks, &Signer(), kStart) {
    hooks.merge_observations = [this](const std::vector<UpstreamObservation>& received, Instant) {
      for (const auto& observation : received) observations.push_back(observation);
    };
    hooks.merge_strikes = [this](const std::vector<CrashStrike>& received, Instant) {
      for (const auto& strike : received) strikes.push_back(strike);
    };
    Introduce(members, Duration::zero());
  }
  static GossipSettings Settings() {
    GossipSettings settings;
    settings.self = MemberNamed(1);
    settings.fleet_key = "fleet key of the tests";
    return settings;
  }
  // Heartbeats of members 2 to `members`.
  void Introduce(std::size_t members, Duration at) {
    for (std::size_t i = 2; i <= members; ++i) {
      const auto heartbeat = static_cast<std::uint64_t>(ToMilliseconds(at));
      node.table().Receive({MemberNamed(i), heartbeat, {}}, {}, kStart + at);
    }
  }
  void Receive(const GossipMessage& message, Duration at) {
    node.Receive(message, Duration::zero(), WallAt(at), kStart + at);
  }
  GossipHooks hooks;
  GossipNode node;
  std::vector<UpstreamObservation> observations;
  std::vector<CrashStrike> strikes;
};

GossipMessage MessageFrom(std::uint64_t number, Duration sent_at) {
  GossipMessage message;
  message.header.sender = MemberNamed(number).id;
  message.header.incarnation = MemberNamed(number).incarnation;
  message.header.sent_at = WallAt(sent_at);
  message.members.push_back({MemberNamed(number), 1, {}});
  return message;
}

// ---- replays ----

// Guards against a replayed datagram whose old load report passes for a fresh one.
TEST_CASE("a replayed report has its true age") {
  Recorder recorder(3);
  GossipMessage old = MessageFrom(2, seconds(1));
  old.observations.push_back(ObservationOf(1, 1, milliseconds(5)));
  recorder.Receive(old, seconds(1));
  CHECK(recorder.observations.back().report->age == milliseconds(5));
  recorder.Receive(MessageFrom(2, seconds(20)), seconds(20));
  recorder.Receive(old, seconds(20));
  CHECK(recorder.observations.back().report->age >= seconds(19));
}

TEST_CASE("a replayed report of an unknown sender is aged by the hybrid clock") {
  Recorder recorder(1);
  GossipMessage old = MessageFrom(9, seconds(0));
  old.observations.push_back(ObservationOf(1, 1, milliseconds(5)));
  old.strikes.push_back({7, UpstreamId("upstream-1"), milliseconds(1), false});
  recorder.Receive(old, std::chrono::hours(1));
  CHECK(recorder.observations.back().report->age >= std::chrono::minutes(58));
  // Strikes are void after ten minutes.
  CHECK(recorder.strikes.empty());
}

// ---- budget ----

struct Sent {
  std::size_t periodic = 0;
  std::size_t urgent = 0;
  std::size_t bytes = 0;
  std::size_t largest = 0;
  std::size_t without_own_record = 0;

  void Add(const std::vector<OutgoingDatagram>& datagrams, std::size_t* count) {
    *count += datagrams.size();
    for (const OutgoingDatagram& datagram : datagrams) {
      bytes += datagram.bytes.size() + GossipNode::kHeaderBytes;
      largest = std::max(largest, datagram.bytes.size());
      const auto message = DecodeGossip(datagram.bytes, "", Signer());
      if (!message.ok() || message->members.front().member.id != MemberNamed(1).id) {
        ++without_own_record;
      }
    }
  }
};

std::vector<UpstreamObservation> ManyObservations(std::size_t limit) {
  std::vector<UpstreamObservation> observations;
  for (std::size_t i = 0; i < limit; ++i) {
    observations.push_back(ObservationOf(i, 1, milliseconds(1)));
  }
  return observations;
}

// Runs a node for ten seconds in steps of 10 ms; `urgent` of every 100 steps bring an urgent item.
Sent RunTenSeconds(int urgent) {
  Recorder recorder(40);
  recorder.hooks.newest_observations = ManyObservations;
  Sent sent;
  for (int step = 0; step < 1'000; ++step) {
    const Duration at = milliseconds(10 * step);
    if (step % 20 == 0) {
      recorder.Introduce(40, at);
      sent.Add(recorder.node.Tick(WallAt(at), kStart + at, nullptr), &sent.periodic);
    }
    if (step % 100 < urgent) {
      const auto epoch = static_cast<std::uint64_t>(step + 2);
      recorder.node.QueueUrgent({{ObservationOf(epoch % 50, epoch, {})}, {}}, kStart + at);
    }
    sent.Add(recorder.node.UrgentDatagrams(WallAt(at), kStart + at), &sent.urgent);
  }
  return sent;
}

// Guards against a node that costs more than its budget, with and without urgent items.
TEST_CASE("a node sends at most 7 KB and 20 urgent datagrams a second") {
  for (const int urgent : {0, 1, 50}) {
    const Sent sent = RunTenSeconds(urgent);
    INFO("urgent items of 100 steps: " << urgent << " bytes " << sent.bytes << " periodic "
                                       << sent.periodic << " urgent " << sent.urgent);
    // The bucket holds one second's budget at the start.
    CHECK(sent.bytes <= 7'000 * 11);
    CHECK(sent.urgent <= 20 * 11);
    CHECK(sent.largest <= DatagramPacker::kMaximumBytes);
    CHECK(sent.without_own_record == 0);
    CHECK(sent.periodic >= 100);
  }
}

// Guards against an urgent item that waits behind periodic datagrams.
TEST_CASE("urgent datagrams go to all peers at once, up to 20") {
  Recorder recorder(17);
  recorder.hooks.newest_observations = ManyObservations;
  Duration at{};
  for (; at < seconds(4); at += milliseconds(200)) {
    recorder.Introduce(17, at);
    recorder.node.Tick(WallAt(at), kStart + at, nullptr);
  }
  recorder.node.QueueUrgent({{ObservationOf(1, 5, {})}, {}}, kStart + at);
  CHECK(recorder.node.UrgentDatagrams(WallAt(at), kStart + at).size() == 16);
}

// ---- passing changes on ----

// Guards against a change that is repeated for ever, and one that is passed on too seldom.
TEST_CASE("a received change is passed on a limited number of times") {
  Recorder recorder(17);
  GossipMessage message = MessageFrom(2, seconds(0));
  message.observations.push_back(ObservationOf(1, 1, milliseconds(5)));
  recorder.Receive(message, seconds(0));
  std::map<std::string, int> sent;
  for (int i = 0; i < 100; ++i) {
    const Duration at = milliseconds(200 * i);
    recorder.Introduce(17, at + milliseconds(1));
    for (const auto& datagram : recorder.node.Tick(WallAt(at), kStart + at, nullptr)) {
      const auto read = DecodeGossip(datagram.bytes, "", Signer());
      REQUIRE(read.ok());
      for (const auto& observation : read->observations) ++sent[observation.id.value()];
    }
  }
  CHECK(sent["upstream-1"] >= 15);
  CHECK(sent["upstream-1"] <= 24);
}

}  // namespace
}  // namespace primroseweir
