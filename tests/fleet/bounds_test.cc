// What datagrams of anyone who reaches the port can make an instance hold.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/fleet/fleet_heartbeat.h"
#include "primroseweir/fleet/fleet_message.h"
#include "primroseweir/fleet/fleet_table.h"
#include "primroseweir/fleet/peer_loads.h"

namespace primroseweir {
namespace {

FleetMember Member(const std::string& ip) {
  FleetMember member;
  member.ip = ip;
  member.data_centre = DataCentre("dc0");
  member.incarnation = Incarnation(1);
  return member;
}

std::string Numbered(std::uint32_t number) { return AddressText(0x0a000000 + number); }

bool IsAccepted(const FleetMember& member) {
  FleetTable table(Member("10.255.0.1"), 1);
  return table.Merge(member, Instant(std::chrono::hours(1)));
}

// Guards against arrays that are allocated by their stated size at each level: 94 MB for 64 KB.
TEST_CASE("nested headers of large arrays are rejected", "[fleet]") {
  std::string datagram;
  for (int i = 0; i < 1000; ++i) {
    datagram += "\xdc\x1f\xff";
  }
  CHECK_FALSE(DecodeFleetMessage(datagram).ok());
  CHECK_FALSE(DecodeFleetMessage("\xdd\x7f\xff\xff\xff" + datagram).ok());
}

// Guards against texts of a record that are kept whatever their size: 409 MB in seconds.
TEST_CASE("records without an address or with a long name are not kept", "[fleet]") {
  CHECK(IsAccepted(Member("10.0.0.2")));
  CHECK_FALSE(IsAccepted(Member("")));
  CHECK_FALSE(IsAccepted(Member("10.0.0.2x")));
  CHECK_FALSE(IsAccepted(Member("10.0.0.02")));
  CHECK_FALSE(IsAccepted(Member(std::string(5000, '1'))));
  auto member = Member("10.0.0.2");
  member.data_centre = DataCentre(std::string(300, 'x'));
  CHECK_FALSE(IsAccepted(member));
}

// Guards against a table that forged records fill for as long as records are kept, ten minutes.
TEST_CASE("a full table takes a record in place of one that has timed out", "[fleet]") {
  FleetTable table(Member("10.255.0.1"), 1);
  Instant now{std::chrono::hours(1)};
  for (std::uint32_t i = 0; i < FleetTable::kMaxPeers; ++i) {
    CHECK(table.Merge(Member(Numbered(i)), now));
  }
  const auto late = Member("10.255.0.2");
  CHECK_FALSE(table.Merge(late, now));
  CHECK(table.LivePeers(now).size() == FleetTable::kMaxPeers);
  now += FleetTable::kRelayedHeartbeatTimeout + FleetTable::kRemoteHeartbeatTimeout;
  CHECK(table.Merge(late, now));
  CHECK(table.IsLivePeer(late.ip, now));
}

TEST_CASE("requests for records are bounded", "[fleet]") {
  FleetTable table(Member("10.255.0.1"), 1);
  const Instant now{std::chrono::hours(1)};
  std::size_t requested = 0;
  for (std::uint32_t i = 0; i < 2 * FleetTable::kMaxPeers; ++i) {
    requested += table.ReceiveHeartbeats({{0x0a000000 + i, 1, 1}}, now).requested_records.size();
  }
  CHECK(requested == FleetTable::kMaxPeers);
}

TEST_CASE("load reports together are bounded and leave with their validity", "[fleet]") {
  PeerLoads loads;
  Instant now{std::chrono::hours(1)};
  const std::vector<PeerUpstreamLoad> report(PeerLoads::kMaxLoads / 4, {7, 1, 100, 1});
  for (std::uint32_t i = 0; i < 6; ++i) {
    loads.ReplaceReport(Numbered(i), report, now);
  }
  CHECK(loads.InFlightByUpstream(now).at(7) == PeerLoads::kMaxLoads);
  // A report replaces that of the same instance.
  loads.ReplaceReport(Numbered(0), {{7, 1, 100, 1}}, now);
  CHECK(loads.InFlightByUpstream(now).at(7) == PeerLoads::kMaxLoads / 4 * 3 + 1);
  now += 2 * PeerLoads::kReportValidity;
  CHECK(loads.InFlightByUpstream(now).empty());
  for (std::uint32_t i = 0; i < 6; ++i) {
    loads.ReplaceReport(Numbered(i), report, now);
  }
  CHECK(loads.InFlightByUpstream(now).at(7) == PeerLoads::kMaxLoads);
}

}  // namespace
}  // namespace primroseweir
