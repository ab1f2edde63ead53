#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "primroseweir/base/error.h"
#include "primroseweir/base/event.h"
#include "primroseweir/base/event_log.h"
#include "primroseweir/base/hybrid_clock.h"
#include "primroseweir/base/ids.h"
#include "primroseweir/base/rcu_cell.h"
#include "primroseweir/base/rendezvous.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {
namespace {

// Guards against errors in a log without the step and peer that caused them.
TEST_CASE("errors carry step and peer") {
  const auto status =
      MakeError(absl::StatusCode::kUnavailable, {"connect", "10.0.0.1:80"}, "refused");
  CHECK(OriginOf(status).step == "connect");
  CHECK(OriginOf(status).peer == "10.0.0.1:80");
  CHECK(MessageOf(status) == "refused");
}

// Guards against input of a caller that forges log lines or fields.
TEST_CASE("FormatEvent escapes values with line breaks") {
  Event event;
  event.sequence = 7;
  event.time = {5, 1};
  event.name = "call_finished";
  event.fields = {{"target", "/a b\nevent=fake"}, {"status", "200"}};
  CHECK(FormatEvent(event) ==
        "time=5.1 seq=7 event=call_finished target=\"/a b\\x0aevent=fake\" status=200");
}

// Guards against an effect that is ordered before its cause because the clock of the sender is
// ahead.
TEST_CASE("a hybrid clock keeps causal order across skewed wall clocks") {
  HybridClock sender;
  HybridClock receiver;
  const HybridTime sent = sender.Tick(5'000'000);
  const HybridTime received = receiver.Observe(sent, 1'000'000);
  CHECK(sent < received);
  CHECK(received < receiver.Tick(1'000'001));
}

TEST_CASE("a hybrid clock ignores a remote time beyond the maximum skew") {
  HybridClock clock;
  const HybridTime remote{10 * HybridClock::kMaxSkewMicroseconds, 0};
  CHECK(clock.Observe(remote, 1'000).microseconds == 1'000);
}

TEST_CASE("the event ring keeps the newest events") {
  EventLog log("test", 2);
  log.Emit("a", {});
  log.Emit("b", {});
  log.Emit("c", {});
  const auto events = log.EventsAfter(0);
  REQUIRE(events.size() == 2);
  CHECK(events[0].name == "b");
  CHECK(log.EventsAfter(2).size() == 1);
}

// Guards against a use after free: a reader still uses a value that a writer has freed.
TEST_CASE("an RCU cell serves readers while a writer replaces the value") {
  RcuCell<int> cell(std::make_shared<const int>(0));
  std::vector<std::thread> readers;
  for (int i = 0; i < 4; ++i) {
    readers.emplace_back([&cell] {
      int last = 0;
      while (last < 200) {
        const int value = *cell.Load();
        if (value < last) std::abort();
        last = value;
      }
    });
  }
  for (int i = 1; i <= 200; ++i) cell.Store(std::make_shared<const int>(i));
  for (auto& reader : readers) reader.join();
  CHECK(*cell.Load() == 200);
}

// Guards against instances that disagree on the order of the candidates for a key.
TEST_CASE("rendezvous order and rendezvous rank agree") {
  const auto order = RendezvousOrder("upstream-1", {0, 1, 2, 3, 4, 5, 6});
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    CHECK(RendezvousRank("upstream-1", order[rank], 7) == rank);
  }
}

TEST_CASE("ParseSocketAddress accepts only an IPv4 address with a port") {
  CHECK(ParseSocketAddress("127.0.0.1:80")->ToString() == "127.0.0.1:80");
  for (const char* text :
       {"", "127.0.0.1", "127.0.0.1:", "localhost:80", "1.2.3.4:70000", "1.2.3.4:8x"}) {
    CHECK_FALSE(ParseSocketAddress(text).ok());
  }
}

}  // namespace
}  // namespace primroseweir
