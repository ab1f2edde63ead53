#include "primroseweir/loop/connection_eviction.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <vector>

namespace primroseweir {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kKilobyte = 1024;
constexpr std::uint64_t kMegabyte = 1024 * kKilobyte;

ConnectionLoad MakeLoad(std::uint64_t held_bytes, double bytes_per_second, Duration stalled_for,
                        std::uint32_t address = 1) {
  ConnectionLoad load;
  load.held_bytes = held_bytes;
  load.bytes_per_second = bytes_per_second;
  load.stalled_for = stalled_for;
  load.address = address;
  load.waits_for_caller = true;
  return load;
}

// A caller with a small request on a connection that was used before.
ConnectionLoad MakeOrdinaryLoad() {
  auto load = MakeLoad(4 * kKilobyte, 20 * kKilobyte, milliseconds(100), 2);
  load.has_been_served = true;
  return load;
}

std::set<std::size_t> Chosen(const std::vector<ConnectionLoad>& loads, std::uint64_t bytes,
                             std::size_t connections) {
  const auto chosen = ConnectionEviction::Choose(loads, bytes, connections);
  return {chosen.begin(), chosen.end()};
}

// Guards against an upload in progress that pays for callers that have stopped.
TEST_CASE("a body that stopped goes before a larger one that arrives", "[loop]") {
  const std::vector<ConnectionLoad> loads = {
      MakeOrdinaryLoad(), MakeLoad(2 * kMegabyte, 4.0 * kMegabyte, milliseconds(0)),
      MakeLoad(kMegabyte, 0, seconds(1))};
  CHECK(Chosen(loads, kMegabyte, 0) == std::set<std::size_t>{2});
}

// Guards against callers that send a byte at a time and so never stall for long.
TEST_CASE("a body that arrives a byte at a time counts as stopped", "[loop]") {
  const std::vector<ConnectionLoad> loads = {
      MakeLoad(500 * kKilobyte, 500.0 * kKilobyte, milliseconds(0)),
      MakeLoad(300 * kKilobyte, 10, milliseconds(0)), MakeOrdinaryLoad()};
  CHECK(Chosen(loads, kKilobyte, 0) == std::set<std::size_t>{1});
}

// Guards against ordinary callers that are closed without releasing memory, once only calls at
// upstreams hold more.
TEST_CASE("callers that hold little are not closed for the sake of memory", "[loop]") {
  auto at_upstream = MakeLoad(kMegabyte, 0, seconds(5));
  at_upstream.waits_for_caller = false;
  const std::vector<ConnectionLoad> loads = {MakeOrdinaryLoad(), at_upstream, MakeOrdinaryLoad()};
  CHECK(Chosen(loads, kMegabyte, 0).empty());
}

// Guards against connections without a request that crowd out those in use.
TEST_CASE("connections that were never served go first when connections run short", "[loop]") {
  auto idle = MakeLoad(3 * kKilobyte, 0, seconds(4));
  idle.has_been_served = true;
  auto in_call = MakeLoad(20 * kKilobyte, 0, seconds(9));
  in_call.waits_for_caller = false;
  const auto silent = MakeLoad(3 * kKilobyte, 0, seconds(2));
  const std::vector<ConnectionLoad> loads = {idle, silent, in_call, silent, idle};
  CHECK(Chosen(loads, 0, 2) == std::set<std::size_t>{1, 3});
}

// Guards against many connections of one address that hold as much as the others' together.
TEST_CASE("of equal connections, those of the address that holds most go first", "[loop]") {
  std::vector<ConnectionLoad> loads;
  for (std::uint32_t i = 0; i < 20; ++i) {
    loads.push_back(MakeLoad(100 * kKilobyte, 0, seconds(1), i < 10 ? 7 : 100 + i));
  }
  const auto chosen = Chosen(loads, 1000 * kKilobyte, 0);
  CHECK(chosen == std::set<std::size_t>{0, 1, 2, 3, 4, 5, 6, 7, 8, 9});
}

// Guards against a loop without connections.
TEST_CASE("no connection is chosen if there is none", "[loop]") {
  CHECK(ConnectionEviction::Choose({}, kMegabyte, 1).empty());
}

}  // namespace
}  // namespace primroseweir
