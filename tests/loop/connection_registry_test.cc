#include "primroseweir/loop/connection_registry.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <vector>

namespace primroseweir {
namespace {

constexpr Instant kStart = Instant(std::chrono::hours(1));

// Holds memory until it is evicted.
class FakeConnection : public ConnectionRegistry::Connection {
 public:
  FakeConnection(ConnectionRegistry* registry, std::int64_t bytes, bool waits_for_caller)
      : registry_(registry), bytes_(bytes), waits_for_caller_(waits_for_caller) {
    registry_->Add(this);
    registry_->memory().Charge(bytes_);
  }
  ~FakeConnection() override { Close(); }

  ConnectionLoad Load(Instant /*now*/) override {
    ConnectionLoad load;
    load.held_bytes = static_cast<std::uint64_t>(bytes_);
    load.waits_for_caller = waits_for_caller_;
    return load;
  }
  void Evict(ConnectionRegistry::Shortage /*shortage*/) override { Close(); }
  void Continue() override { ++continued_; }

  bool is_open() const { return is_open_; }
  int continued() const { return continued_; }

 private:
  void Close() {
    if (is_open_) {
      is_open_ = false;
      registry_->memory().Charge(-bytes_);
      registry_->Remove(this);
    }
  }

  ConnectionRegistry* registry_;
  const std::int64_t bytes_;
  const bool waits_for_caller_;
  bool is_open_ = true;
  int continued_ = 0;
};

// Guards against connections that stay held back for good after memory was released.
TEST_CASE("the largest connection is closed and those held back continue", "[loop]") {
  ConnectionRegistry registry;
  registry.memory().SetBudget(1000);
  FakeConnection small(&registry, 100, true);
  FakeConnection large(&registry, 950, true);
  registry.HoldBack(&small);
  REQUIRE(registry.has_work());
  registry.RelieveMemory(kStart);
  CHECK_FALSE(large.is_open());
  CHECK(small.is_open());
  CHECK(small.continued() == 1);
  CHECK(registry.evicted_for_memory() == 1);
  CHECK_FALSE(registry.has_work());
}

// Guards against closing calls at upstreams, and against a connection that continues too early.
TEST_CASE("nothing is closed while only calls at upstreams hold memory", "[loop]") {
  ConnectionRegistry registry;
  registry.memory().SetBudget(1000);
  FakeConnection at_upstream(&registry, 2000, false);
  FakeConnection small(&registry, 10, true);
  registry.HoldBack(&small);
  registry.RelieveMemory(kStart);
  CHECK(at_upstream.is_open());
  CHECK(small.is_open());
  CHECK(small.continued() == 0);
}

// Guards against a new caller that is refused while connections without a call are open.
TEST_CASE("room for a connection is made unless all wait for upstreams", "[loop]") {
  ConnectionRegistry registry;
  registry.SetMaxConnections(2);
  FakeConnection at_upstream(&registry, 10, false);
  auto silent = std::make_unique<FakeConnection>(&registry, 10, true);
  CHECK(registry.MakeRoom(kStart));
  CHECK_FALSE(silent->is_open());
  FakeConnection second_at_upstream(&registry, 10, false);
  CHECK_FALSE(registry.MakeRoom(kStart));
  CHECK(registry.refused() == 1);
}

// Guards the limits that follow from the settings of the users' machines.
TEST_CASE("machines have room for the connections that their descriptors allow", "[loop]") {
  CHECK(ConnectionRegistry::MaxConnectionsFor(4100) == 2000);
  CHECK(ConnectionRegistry::MaxConnectionsFor(400) == 125);
  CHECK(ConnectionRegistry::MaxConnectionsFor(100) == 16);
}

}  // namespace
}  // namespace primroseweir
