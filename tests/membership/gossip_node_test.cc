#include "primroseweir/membership/gossip_node.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "primroseweir/peer/gossip_codec.h"
#include "primroseweir/peer/usage_datagram.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart{};
constexpr std::int64_t kWallStartMicroseconds = 1'700'000'000'000'000;

const MessageSigner& Signer() {
  static const MessageSigner signer("fleet key of the tests");
  return signer;
}

HybridTime HybridTimeAt(Duration since_start) {
  return {kWallStartMicroseconds + ToMicroseconds(since_start), 0};
}

Member MakeMember(std::uint64_t number) {
  Member member;
  member.id = InstanceId("entry-" + std::to_string(number));
  member.incarnation = Incarnation(kWallStartMicroseconds + number);
  member.data_centre = DataCentre(number % 3 == 0 ? "krems" : "melk");
  member.peer_address = {"10.0.0." + std::to_string(number), 9101};
  member.seat = Seat(number);
  return member;
}

UpstreamObservation MakeObservation(std::uint64_t number, std::uint64_t epoch, Duration age) {
  UpstreamObservation observation;
  observation.id = UpstreamId("upstream-" + std::to_string(number));
  observation.epoch = Epoch(epoch);
  observation.window = 6;
  observation.report = LoadReport{3, milliseconds(4), age};
  return observation;
}

// A GossipNode with hooks that record what it passes to them.
struct NodeFixture {
  explicit NodeFixture(std::size_t members) : node(Settings(), &hooks, &Signer(), kStart) {
    hooks.merge_observations = [this](const std::vector<UpstreamObservation>& received, Instant) {
      for (const auto& observation : received) observations.push_back(observation);
    };
    hooks.merge_strikes = [this](const std::vector<CrashStrike>& received, Instant) {
      for (const auto& strike : received) strikes.push_back(strike);
    };
    ReceiveHeartbeats(members, Duration::zero());
  }
  static GossipSettings Settings() {
    GossipSettings settings;
    settings.self = MakeMember(1);
    settings.fleet_key = "fleet key of the tests";
    return settings;
  }
  // Passes records of members 2 to `members` to the node, with heartbeats that rise with time.
  void ReceiveHeartbeats(std::size_t members, Duration at) {
    for (std::size_t i = 2; i <= members; ++i) {
      const auto heartbeat = static_cast<std::uint64_t>(ToMilliseconds(at));
      node.table().Receive({MakeMember(i), heartbeat, {}}, {}, kStart + at);
    }
  }
  void Receive(const GossipMessage& message, Duration at) {
    node.Receive(message, Duration::zero(), HybridTimeAt(at), kStart + at);
  }
  GossipHooks hooks;
  GossipNode node;
  std::vector<UpstreamObservation> observations;
  std::vector<CrashStrike> strikes;
};

GossipMessage MakeMessage(std::uint64_t number, Duration sent_at) {
  GossipMessage message;
  message.header.sender = MakeMember(number).id;
  message.header.incarnation = MakeMember(number).incarnation;
  message.header.sent_at = HybridTimeAt(sent_at);
  message.members.push_back({MakeMember(number), 1, {}});
  return message;
}

// ---- replays ----

// Guards against a replayed datagram whose old load report is treated as fresh.
TEST_CASE("a replayed load report has its true age") {
  NodeFixture fixture(3);
  GossipMessage replayed = MakeMessage(2, seconds(1));
  replayed.observations.push_back(MakeObservation(1, 1, milliseconds(5)));
  fixture.Receive(replayed, seconds(1));
  CHECK(fixture.observations.back().report->age == milliseconds(5));
  fixture.Receive(MakeMessage(2, seconds(20)), seconds(20));
  fixture.Receive(replayed, seconds(20));
  CHECK(fixture.observations.back().report->age >= seconds(19));
}

TEST_CASE("a load report replayed from an unknown sender gets its age from the hybrid clock") {
  NodeFixture fixture(1);
  GossipMessage replayed = MakeMessage(9, seconds(0));
  replayed.observations.push_back(MakeObservation(1, 1, milliseconds(5)));
  replayed.strikes.push_back({7, UpstreamId("upstream-1"), milliseconds(1), false});
  fixture.Receive(replayed, std::chrono::hours(1));
  CHECK(fixture.observations.back().report->age >= std::chrono::minutes(58));
  // Strikes older than ten minutes are dropped.
  CHECK(fixture.strikes.empty());
}

// ---- send budget ----

struct SendTotals {
  std::size_t periodic = 0;
  std::size_t urgent = 0;
  std::size_t bytes = 0;
  std::size_t largest_datagram = 0;
  std::size_t without_self_record = 0;

  void Add(const std::vector<OutgoingDatagram>& datagrams, std::size_t* count) {
    *count += datagrams.size();
    for (const OutgoingDatagram& datagram : datagrams) {
      bytes += datagram.bytes.size() + GossipNode::kIpUdpHeaderBytes;
      largest_datagram = std::max(largest_datagram, datagram.bytes.size());
      const auto message = DecodeGossip(datagram.bytes, "", Signer());
      if (!message.ok() || message->members.front().member.id != MakeMember(1).id) {
        ++without_self_record;
      }
    }
  }
};

std::vector<UpstreamObservation> MakeObservations(std::size_t limit) {
  std::vector<UpstreamObservation> observations;
  for (std::size_t i = 0; i < limit; ++i) {
    observations.push_back(MakeObservation(i, 1, milliseconds(1)));
  }
  return observations;
}

// Runs a node for ten seconds of simulated time in steps of 10 ms. An urgent item is queued in
// `urgent_steps` of every 100 steps.
SendTotals RunTenSeconds(int urgent_steps) {
  NodeFixture fixture(40);
  fixture.hooks.newest_observations = MakeObservations;
  SendTotals sent;
  for (int step = 0; step < 1'000; ++step) {
    const Duration at = milliseconds(10 * step);
    if (step % 20 == 0) {
      fixture.ReceiveHeartbeats(40, at);
      sent.Add(fixture.node.Tick(HybridTimeAt(at), kStart + at, nullptr), &sent.periodic);
    }
    if (step % 100 < urgent_steps) {
      const auto epoch = static_cast<std::uint64_t>(step + 2);
      fixture.node.QueueUrgent({{MakeObservation(epoch % 50, epoch, {})}, {}}, kStart + at);
    }
    sent.Add(fixture.node.UrgentDatagrams(HybridTimeAt(at), kStart + at), &sent.urgent);
  }
  return sent;
}

// Guards against a node that exceeds its send budget, with and without urgent items.
TEST_CASE("a node sends at most 7 KB and 20 urgent datagrams per second") {
  for (const int urgent_steps : {0, 1, 50}) {
    const SendTotals sent = RunTenSeconds(urgent_steps);
    INFO("urgent items per 100 steps: " << urgent_steps << " bytes " << sent.bytes << " periodic "
                                        << sent.periodic << " urgent " << sent.urgent);
    // Both buckets start full with the budget of one second, hence 11 s for a run of 10 s.
    CHECK(sent.bytes <= 7'000 * 11);
    CHECK(sent.urgent <= 20 * 11);
    CHECK(sent.largest_datagram <= DatagramPacker::kMaxDatagramBytes);
    CHECK(sent.without_self_record == 0);
    CHECK(sent.periodic >= 100);
  }
}

// Guards against urgent items that are delayed because periodic datagrams used up the budget.
TEST_CASE("urgent datagrams go to all 16 peers at once, within the limit of 20") {
  NodeFixture fixture(17);
  fixture.hooks.newest_observations = MakeObservations;
  Duration at{};
  for (; at < seconds(4); at += milliseconds(200)) {
    fixture.ReceiveHeartbeats(17, at);
    fixture.node.Tick(HybridTimeAt(at), kStart + at, nullptr);
  }
  fixture.node.QueueUrgent({{MakeObservation(1, 5, {})}, {}}, kStart + at);
  CHECK(fixture.node.UrgentDatagrams(HybridTimeAt(at), kStart + at).size() == 16);
}

// ---- forwarding changes ----

// Guards against a change that is forwarded indefinitely, and one that is forwarded too few times.
TEST_CASE("a received change is forwarded a limited number of times") {
  NodeFixture fixture(17);
  GossipMessage message = MakeMessage(2, seconds(0));
  message.observations.push_back(MakeObservation(1, 1, milliseconds(5)));
  fixture.Receive(message, seconds(0));
  std::map<std::string, int> times_sent;
  for (int i = 0; i < 100; ++i) {
    const Duration at = milliseconds(200 * i);
    fixture.ReceiveHeartbeats(17, at + milliseconds(1));
    for (const auto& datagram : fixture.node.Tick(HybridTimeAt(at), kStart + at, nullptr)) {
      const auto decoded = DecodeGossip(datagram.bytes, "", Signer());
      REQUIRE(decoded.ok());
      for (const auto& observation : decoded->observations) ++times_sent[observation.id.value()];
    }
  }
  CHECK(times_sent["upstream-1"] >= 15);
  CHECK(times_sent["upstream-1"] <= 24);
}

// ---- use of quotas ----

// Guards against reports that use up the byte budget, that go to some peers only, or that are sent
// although there is nothing to report.
TEST_CASE("reports of quotas keep within the byte budget and reach all peers with such calls") {
  NodeFixture fixture(40);
  CHECK(fixture.node.UsageDatagrams(kStart).empty());
  fixture.hooks.usage_report = [](Instant) {
    UsageReport report;
    report.customers = {{1, 2, 3}};
    return std::optional<UsageReport>(report);
  };
  fixture.hooks.usage_targets = [](const MembershipView&, Instant) {
    std::set<InstanceId> active;
    for (std::uint64_t i = 2; i <= 16; ++i) active.insert(InstanceId("entry-" + std::to_string(i)));
    return active;
  };
  std::map<std::string, int> received;
  std::size_t bytes = 0;
  std::size_t periodic = 0;
  for (int round = 0; round < 100; ++round) {
    const Duration at = round * GossipNode::kUsageReportInterval;
    fixture.ReceiveHeartbeats(40, at);
    for (const auto& datagram : fixture.node.UsageDatagrams(kStart + at)) {
      ++received[datagram.to.ip];
      bytes += datagram.bytes.size() + GossipNode::kIpUdpHeaderBytes;
      CHECK(DecodeUsage(datagram.bytes, "", Signer()).ok());
    }
    if (round % 2 != 0) continue;
    for (const auto& datagram : fixture.node.Tick(HybridTimeAt(at), kStart + at, nullptr)) {
      ++periodic;
      bytes += datagram.bytes.size() + GossipNode::kIpUdpHeaderBytes;
    }
  }
  // Ten seconds, and the capacity of the budget, which is full at the start.
  CHECK(static_cast<double>(bytes) <= 11 * NodeFixture::Settings().bytes_per_second);
  CHECK(periodic == 150);
  for (int i = 2; i <= 16; ++i) CHECK(received["10.0.0." + std::to_string(i)] >= 8);
}

}  // namespace
}  // namespace primroseweir
