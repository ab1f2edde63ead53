#include "primroseweir/fleet/fleet_table.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fake_fleet.h"
#include "primroseweir/base/rendezvous.h"
#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/fleet/peer_loads.h"
#include "primroseweir/fleet/subset_picker.h"
#include "support/property.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("instances discover each other through one seed and time out lost ones", "[fleet]") {
  for (const int instances : {2, 17, 60}) {
    auto fleet = FleetOf(instances);
    fleet.Run(seconds(12));
    for (int i = 1; i <= instances; ++i) {
      CHECK(fleet.At(Ip(i)).LivePeers(fleet.now).size() == static_cast<std::size_t>(instances - 1));
      CHECK(fleet.At(Ip(i)).PeakSize(fleet.now) == static_cast<std::size_t>(instances));
    }
    fleet.Kill(Ip(2));
    // Address responses must not name an instance that has been gone for six seconds.
    fleet.Run(seconds(6));
    CHECK(fleet.At(Ip(1)).LivePeers(fleet.now).size() == static_cast<std::size_t>(instances - 2));
    CHECK(fleet.At(Ip(1)).PeakSize(fleet.now) == static_cast<std::size_t>(instances));
  }
}

// Guards against a restarted instance that is ignored because the time of day, from which its
// incarnation starts, stepped back.
TEST_CASE("a restart with a lower incarnation is accepted", "[fleet]") {
  auto fleet = FleetOf(4);
  fleet.Run(seconds(4));
  fleet.Kill(Ip(3));
  fleet.Run(seconds(5));
  REQUIRE(fleet.At(Ip(1)).LivePeers(fleet.now).size() == 2);
  fleet.Add(MemberOf(Ip(3), "dc0", 7));
  fleet.Run(seconds(4));
  CHECK(fleet.At(Ip(1)).LivePeers(fleet.now).size() == 3);
}

// Guards against halves of the fleet that stay unknown to each other after a partition.
TEST_CASE("the halves of a healed partition find each other", "[fleet]") {
  auto fleet = FleetOf(10);
  fleet.Run(seconds(4));
  fleet.is_connected = [](const std::string& a, const std::string& b) {
    return (std::stoi(a.substr(7)) > 5) == (std::stoi(b.substr(7)) > 5);
  };
  fleet.Run(seconds(20));
  REQUIRE(fleet.At(Ip(1)).LivePeers(fleet.now).size() == 4);
  fleet.is_connected = [](const std::string&, const std::string&) { return true; };
  fleet.Run(seconds(10));
  CHECK(fleet.At(Ip(1)).LivePeers(fleet.now).size() == 9);
}

// Guards against a data centre without a store reader after its reader is gone or cut off, and
// against many readers, since the store prices each call.
TEST_CASE("one instance of a data centre reads the store, and others try when it stops",
          "[fleet]") {
  auto fleet = FleetOf(12);
  fleet.Run(seconds(6));
  std::string reader;
  for (int i = 3; i <= 12; i += 3) {
    if (reader.empty() || StableHash(Ip(i)) < StableHash(reader)) {
      reader = Ip(i);
    }
  }
  const auto readers = [&fleet] {
    int count = 0;
    for (int i = 3; i <= 12; i += 3) {
      count += fleet.At(Ip(i)).ShouldReadStore(fleet.now) ? 1 : 0;
    }
    return count;
  };
  // The store serves no instance yet, so all should try.
  CHECK(readers() == 4);
  fleet.At(reader).SetReadsStore(true);
  fleet.Run(seconds(2));
  CHECK(readers() == 1);
  fleet.At(reader).SetReadsStore(false);
  fleet.Run(seconds(1));
  CHECK(readers() == 4);
}

// Guards against a data centre whose instances copy a large configuration over a reader's slow
// link.
TEST_CASE("the instance with the fastest link reads the store", "[fleet][config-in-force]") {
  auto small = MemberOf(Ip(1), "a");
  small.capacity.link_kilobytes_per_second = 1250;
  small.reads_store = true;
  auto large = MemberOf(Ip(2), "a");
  large.capacity.link_kilobytes_per_second = 25000;
  large.reads_store = true;
  const Instant now(seconds(10));
  FleetTable at_small(small, 1);
  at_small.Merge(large, now);
  CHECK_FALSE(at_small.ShouldReadStore(now));
  FleetTable at_large(large, 1);
  at_large.Merge(small, now);
  CHECK(at_large.ShouldReadStore(now));
}

// The instances of one data centre, which know each other and none of which the store serves.
struct DataCentreWithoutReader {
  explicit DataCentreWithoutReader(int instances) {
    for (int number = 1; number <= instances; ++number) {
      tables.push_back(std::make_unique<FleetTable>(MemberOf(Ip(number), "a"), 1));
    }
    next_check.resize(tables.size(), start);
  }

  // Advances all heartbeats and merges each record into each table.
  void AdvanceHeartbeat(Instant now) {
    ++heartbeat;
    for (auto& table : tables) {
      for (std::size_t i = 1; i <= tables.size(); ++i) {
        auto member = MemberOf(Ip(static_cast<int>(i)), "a");
        member.heartbeat = heartbeat;
        table->Merge(member, now);
      }
      table->AdvanceHeartbeat(now);
    }
  }

  // Returns when instances call the store, in milliseconds from the start.
  std::vector<std::int64_t> CollectStoreCalls(Duration time) {
    std::vector<std::int64_t> call_times;
    for (auto now = start; now < start + time; now += milliseconds(10)) {
      if ((now - start) % milliseconds(250) == Duration::zero()) {
        AdvanceHeartbeat(now);
      }
      for (std::size_t i = 0; i < tables.size(); ++i) {
        if (now >= next_check[i]) {
          const auto until = tables[i]->TimeUntilRead(now);
          if (until == Duration::zero()) {
            call_times.push_back(ToMilliseconds(now - start));
          }
          next_check[i] = now + std::max<Duration>(until, milliseconds(10));
        }
      }
    }
    return call_times;
  }

  const Instant start{seconds(10)};
  std::uint64_t heartbeat = 0;
  std::vector<std::unique_ptr<FleetTable>> tables;
  std::vector<Instant> next_check;
};

// Guards against a flood of calls from a large data centre while the store is down. Guards also
// against changes that are in force too late: when the store refused the reader and the others
// called it at random times, it took over a second until one of them did.
TEST_CASE("without a reader the instances call the store one after the other",
          "[fleet][config-in-force]") {
  for (const int instances : {1, 6, 25, 62}) {
    DataCentreWithoutReader data_centre(instances);
    const auto call_times = data_centre.CollectStoreCalls(milliseconds(3500));
    REQUIRE(!call_times.empty());
    CHECK(call_times.front() == 0);
    CHECK(call_times.size() <= 16);
    for (std::size_t i = 1; i < call_times.size(); ++i) {
      CHECK(call_times[i] - call_times[i - 1] <= (call_times[i] < 1000 ? 500 : 2500));
      CHECK(call_times[i] > call_times[i - 1]);
    }
    const auto early = std::min(instances, 4);
    CHECK(call_times[static_cast<std::size_t>(early) - 1] <= 400);
  }
}

TEST_CASE("a store reader goes on and the others do not call the store", "[fleet]") {
  DataCentreWithoutReader data_centre(5);
  data_centre.AdvanceHeartbeat(data_centre.start);
  data_centre.tables[2]->SetReadsStore(true);
  auto reader = MemberOf(Ip(3), "a");
  reader.reads_store = true;
  reader.heartbeat = 2;
  for (auto& table : data_centre.tables) {
    table->Merge(reader, data_centre.start);
    CHECK(
        table->TimeUntilRead(data_centre.start) ==
        (table->self().reads_store ? Duration::zero() : Duration(FleetTable::kReadCheckInterval)));
  }
}

// Guards against store calls that grow with the number of data centres, and against a fleet without
// a store reader because the data centres that should read are gone.
TEST_CASE("instances of three data centres read the store", "[fleet][config-in-force]") {
  const Instant now(seconds(10));
  std::vector<std::string> names = {"a", "b", "c", "d", "e"};
  const auto readers = [&names, now](const std::vector<std::string>& reading) {
    std::size_t count = 0;
    for (const auto& own_data_centre : names) {
      FleetTable table(MemberOf(Ip(100), own_data_centre), 1);
      table.SetReadsStore(std::count(reading.begin(), reading.end(), own_data_centre) != 0);
      int number = 0;
      for (const auto& name : reading) {
        auto member = MemberOf(Ip(++number), name);
        member.reads_store = true;
        if (name != own_data_centre) {
          table.Merge(member, now);
        }
      }
      count += table.ShouldReadStore(now) ? 1 : 0;
    }
    return count;
  };
  CHECK(readers({}) == names.size());
  CHECK(readers(names) == FleetTable::kMaxReadingDataCentres);
  CHECK(readers({"a", "b"}) == names.size());
  // An instance that does not read leaves the store to the readers of three other data centres.
  CHECK(readers({"a", "b", "c"}) == 3);
}

// Guards against store calls by every instance of a fleet whose operators have not written a
// configuration yet: readers without a configuration accept no callers and were not counted as
// readers.
TEST_CASE("a reader without a configuration counts as a store reader", "[fleet]") {
  const Instant now(seconds(10));
  auto reader = MemberOf(Ip(1), "a");
  reader.reads_store = true;
  reader.leaving = true;
  FleetTable local(MemberOf(Ip(2), "a"), 1);
  local.Merge(reader, now);
  CHECK_FALSE(local.ShouldReadStore(now));
  FleetTable remote(MemberOf(Ip(3), "b"), 1);
  for (int i = 4; i < 7; ++i) {
    reader.ip = Ip(i);
    reader.data_centre = DataCentre("r" + std::to_string(i));
    remote.Merge(reader, now);
  }
  CHECK_FALSE(remote.ShouldReadStore(now));
}

// Guards against an instance that stays behind although a peer in another data centre has a newer
// revision.
TEST_CASE("the live peer with the newest revision is picked, a local one between equals",
          "[fleet]") {
  auto fleet = FleetOf(6);
  fleet.Run(seconds(4));
  CHECK_FALSE(fleet.At(Ip(1)).MostUpToDatePeer(fleet.now).has_value());
  fleet.At(Ip(2)).SetPublishedRevision(Revision(9));
  fleet.Run(seconds(3));
  REQUIRE(fleet.At(Ip(1)).MostUpToDatePeer(fleet.now).has_value());
  CHECK(fleet.At(Ip(1)).MostUpToDatePeer(fleet.now)->ip == Ip(2));
  fleet.At(Ip(4)).SetPublishedRevision(Revision(9));
  fleet.Run(seconds(3));
  // Instances 1 and 4 share a data centre.
  CHECK(fleet.At(Ip(1)).MostUpToDatePeer(fleet.now)->ip == Ip(4));
}

TEST_CASE("an instance that knows no others assumes a large fleet", "[fleet][cold-start]") {
  FleetTable table(MemberOf(Ip(1), "a"), 1);
  CHECK(table.PeakSize(Instant(seconds(10))) == FleetTable::kUnknownFleetSize);
}

TEST_CASE("callers get local instances that accept callers, remote ones if there are none",
          "[fleet]") {
  std::vector<FleetMember> fleet;
  for (int i = 1; i <= 9; ++i) {
    fleet.push_back(MemberOf(Ip(i), i <= 5 ? "a" : "b"));
  }
  const auto local = SubsetPicker::Pick(fleet, DataCentre("a"));
  CHECK(local.size() == SubsetPicker::kMinSubsetSize);
  for (const auto& ip : local) {
    CHECK(std::stoi(ip.substr(7)) <= 5);
  }
  for (auto& member : fleet) {
    member.leaving = member.data_centre == DataCentre("a");
  }
  for (const auto& ip : SubsetPicker::Pick(fleet, DataCentre("a"))) {
    CHECK(std::stoi(ip.substr(7)) > 5);
  }
  CHECK(SubsetPicker::Pick(fleet, DataCentre("unknown")).size() == SubsetPicker::kMinSubsetSize);
}

// Guards against callers that are sent to machines too small for their load.
TEST_CASE("the load of a data centre decides how many instances its callers get", "[fleet]") {
  std::vector<FleetMember> fleet;
  for (int i = 1; i <= 9; ++i) {
    auto member = MemberOf(Ip(i), "a");
    member.capacity = {i == 7 ? 500U : 100U, 1250, 0, 0};
    fleet.push_back(member);
  }
  CHECK(SubsetPicker::Pick(fleet, DataCentre("a")).size() == 2);
  CHECK(SubsetPicker::Pick(fleet, DataCentre("a"))[0] == Ip(7));
  fleet[0].capacity.kilobytes_per_second = 2000;
  CHECK(SubsetPicker::Pick(fleet, DataCentre("a")).size() == 5);
  fleet[0].capacity.kilobytes_per_second = 0;
  fleet[0].capacity.calls_per_second = 700;
  // 700 calls a second need 735 millicores with headroom, which takes eight machines of 100.
  CHECK(SubsetPicker::Pick(fleet, DataCentre("a")).size() == 8);
}

// Guards against a small machine that gets as many callers as a large one: responses waited behind
// downloads on its link while the second large machine was replaced.
TEST_CASE("a subset with small machines has enough of them for the load", "[fleet]") {
  std::vector<FleetMember> fleet;
  for (int i = 1; i <= 20; ++i) {
    auto member = MemberOf(Ip(i), "a");
    const bool large = i <= 2;
    member.capacity = {large ? 500U : 100U, large ? 25000U : 1250U, 0, 0};
    fleet.push_back(member);
  }
  fleet[0].capacity.kilobytes_per_second = 2000;
  fleet[0].capacity.calls_per_second = 250;
  CHECK(SubsetPicker::Pick(fleet, DataCentre("a")).size() == 2);
  fleet[0].leaving = true;
  const auto subset = SubsetPicker::Pick(fleet, DataCentre("a"));
  CHECK(subset.front() == Ip(2));
  CHECK(2000.0 / static_cast<double>(subset.size()) * SubsetPicker::kHeadroomFactor <= 1250);
}

TEST_CASE("load reports of silent peers expire", "[fleet]") {
  PeerLoads loads;
  const Instant now(seconds(10));
  loads.ReplaceReport("a", {{7, 2, 100, 0}}, now);
  loads.ReplaceReport("b", {{7, 3, 100, 0}}, now + milliseconds(300));
  CHECK(loads.InFlightByUpstream(now + milliseconds(300))[7] == 5);
  CHECK(loads.InFlightByUpstream(now + PeerLoads::kReportValidity + milliseconds(1))[7] == 3);
}

TEST_CASE("a decoded message equals the encoded one", "[fleet]") {
  CHECK(CheckProperty("round trip", [](std::uint64_t number, const std::string& text, bool flag) {
    FleetMessage message;
    auto member = MemberOf(text, text, number);
    member.heartbeat = number / 3;
    member.leaving = flag;
    member.reads_store = !flag;
    member.published_revision = Revision(number / 2);
    message.members = {member};
    message.heartbeats = {{static_cast<std::uint32_t>(number),
                           static_cast<std::uint16_t>(number / 3),
                           static_cast<std::uint16_t>(number / 7)}};
    message.forwarded = flag;
    message.requested_records = {AddressText(static_cast<std::uint32_t>(number / 5))};
    message.load.upstream_loads = {{number, 3, 500, 20}};
    message.load.strikes = {{number, UpstreamId(text), milliseconds(70), flag}};
    const auto decoded = DecodeFleetMessage(EncodeFleetMessage(message));
    RC_ASSERT(decoded.ok());
    RC_ASSERT(EncodeFleetMessage(*decoded) == EncodeFleetMessage(message));
    RC_ASSERT(decoded->members[0].ip == text);
    RC_ASSERT(decoded->heartbeats == message.heartbeats);
    RC_ASSERT(decoded->forwarded == flag);
    RC_ASSERT(decoded->requested_records == message.requested_records);
    RC_ASSERT(decoded->members[0].reads_store == !flag);
  }));
}

// Guards against datagrams from unknown senders that crash the process.
TEST_CASE("arbitrary bytes and truncated messages are rejected", "[fleet]") {
  CHECK(CheckProperty("any bytes", [](const std::string& bytes) {
    const auto decoded = DecodeFleetMessage(bytes);
    const bool has_sender = decoded.ok() && !decoded->members.empty();
    RC_ASSERT(has_sender || !decoded.ok());
  }));
  FleetMessage message;
  message.members = {MemberOf(Ip(1), "a")};
  const auto encoded = EncodeFleetMessage(message);
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    CHECK_FALSE(DecodeFleetMessage(encoded.substr(0, size)).ok());
  }
}

}  // namespace
}  // namespace primroseweir
