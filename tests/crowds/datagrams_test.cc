// Floods of datagrams at the port between instances, which anyone who reaches it may send.
#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>

#include "platform/crowded_site.h"
#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/fleet/fleet_heartbeat.h"
#include "primroseweir/fleet/fleet_message.h"
#include "support/crowd_requests.h"
#include "support/datagram_crowd.h"

namespace primroseweir::testing {
namespace {

// Host numbers of the senders, which no process of the site uses.
constexpr int kFirstSender = 210;
constexpr int kSenders = 20;
// First of the addresses of instances that do not exist: 127.200.0.0, where nobody listens.
constexpr std::uint32_t kForgedAddresses = 0x7fc80000;

FleetMember Member(const std::string& ip, std::uint64_t incarnation) {
  FleetMember member;
  member.ip = ip;
  member.data_centre = DataCentre("dc0");
  member.incarnation = Incarnation(incarnation);
  member.heartbeat = 1;
  return member;
}

// Sends `count` datagrams from kSenders addresses in turn; `make` returns each from the sender's
// own record and the number of the datagram.
void Flood(CrowdedSite* site, int count,
           const std::function<std::string(FleetMessage message, int number)>& make) {
  const auto deadline = MonotonicNow() + DatagramSender::kMaxFloodTime;
  int sent = 0;
  for (int sender = 0; sender < kSenders; ++sender) {
    const auto from = site->Address(kFirstSender + sender, 0);
    const DatagramSender socket(from);
    for (int i = 0; i < count / kSenders; ++i) {
      const int number = sender * (count / kSenders) + i;
      FleetMessage message;
      message.members = {Member(from.ip, 1000 + static_cast<std::uint64_t>(number))};
      const auto bytes = make(std::move(message), number);
      REQUIRE(bytes.size() <= DatagramSender::kMaxBytes);
      if (MonotonicNow() < deadline) {
        socket.Send(site->DatagramAddress(0), bytes, deadline);
        ++sent;
      }
      if (i % 20 == 0) {
        site->Observe();
      }
    }
  }
  std::cout << "datagrams: sent=" << sent << " of=" << count << std::endl;
}

// Guards against decoders that allocate by a stated size instead of what arrived, for each level.
TEST_CASE("large malformed datagrams", "[crowd-datagrams-malformed]") {
  CrowdedSite site;
  const std::string headers[] = {
      std::string("\xdc\xff\xff", 3), std::string("\xdd\0\xff\xff\xff", 5),
      std::string("\xde\xff\xff", 3), std::string("\x91", 1),
      std::string("\x92\x01", 2),     std::string("\xc4\xff", 2)};
  Flood(&site, 1200, [&](const FleetMessage& /*message*/, int number) {
    const auto& header = headers[static_cast<std::size_t>(number) % 6];
    return Repeat(header, static_cast<int>(DatagramSender::kMaxBytes / header.size()));
  });
  site.CheckHolds();
}

// Guards against a table of instances that grows with each forged record.
TEST_CASE("forged records of instances without end", "[crowd-datagrams-members]") {
  CrowdedSite site;
  constexpr int kRecords = 900;
  Flood(&site, 1000, [](FleetMessage message, int number) {
    for (int i = 0; i < kRecords; ++i) {
      const auto address = kForgedAddresses + static_cast<std::uint32_t>(number * kRecords + i);
      message.members.push_back(Member(AddressText(address), 1));
    }
    return EncodeFleetMessage(message);
  });
  site.CheckHolds();
}

// Guards against fields of forged records that are kept whatever their size.
TEST_CASE("forged records with long texts", "[crowd-datagrams-long-texts]") {
  CrowdedSite site;
  Flood(&site, 3000, [](FleetMessage message, int number) {
    message.members.push_back(
        Member(AddressText(kForgedAddresses + static_cast<std::uint32_t>(number)), 1));
    message.members.back().data_centre =
        DataCentre(std::to_string(number) + std::string(60000, 'x'));
    message.members.push_back(Member(std::to_string(number) + std::string(5000, 'x'), 1));
    return EncodeFleetMessage(message);
  });
  site.CheckHolds();
}

// Guards against requests for records that are remembered for each forged heartbeat, and against
// replies that are much larger than their requests.
TEST_CASE("forged heartbeats and requests without end", "[crowd-datagrams-heartbeats]") {
  CrowdedSite site;
  Flood(&site, 2000, [](FleetMessage message, int number) {
    for (int i = 0; i < 4000; ++i) {
      const auto address = kForgedAddresses + static_cast<std::uint32_t>(number * 4000 + i);
      message.heartbeats.push_back({address, 1, 1});
      message.requested_records.push_back(AddressText(address));
    }
    return EncodeFleetMessage(message);
  });
  site.CheckHolds();
}

// Guards against reports of calls and crashes that are kept for each upstream or request that they
// name.
TEST_CASE("forged load reports without end", "[crowd-datagrams-load]") {
  CrowdedSite site;
  Flood(&site, 2000, [](FleetMessage message, int number) {
    for (int i = 0; i < 1200; ++i) {
      const auto id = static_cast<std::uint64_t>(number) * 1200 + static_cast<std::uint64_t>(i) +
                      (std::uint64_t{1} << 60);
      message.load.upstream_loads.push_back({id, 1, 100, 1});
      message.load.strikes.push_back({id, UpstreamId("upstream" + std::to_string(i)), {}, false});
    }
    return EncodeFleetMessage(message);
  });
  site.CheckHolds();
}

}  // namespace
}  // namespace primroseweir::testing
