#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/fleet/fleet_message.h"
#include "support/property.h"

namespace primroseweir {
namespace {

FleetMessage MakeMessage() {
  FleetMessage message;
  FleetMember member;
  member.ip = "10.0.0.1";
  message.members = {member};
  return message;
}

// First byte of a MessagePack array of 9 and of 10 elements.
constexpr char kNineElements = static_cast<char>(0x99);
constexpr char kTenElements = static_cast<char>(0x9a);

// Guards against counts that arrive at another customer, or changed.
TEST_CASE("a usage report is read as it was written", "[fleet]") {
  CHECK(CheckProperty("usage round trip", [] {
    auto message = MakeMessage();
    message.usage.emplace();
    message.usage->is_active = *rc::gen::arbitrary<bool>();
    message.usage->active_peers = *rc::gen::arbitrary<std::vector<std::uint32_t>>();
    for (const auto customer : *rc::gen::arbitrary<std::vector<std::uint32_t>>()) {
      message.usage->customers.push_back(
          {customer, *rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint16_t>()});
    }
    const auto read = DecodeFleetMessage(EncodeFleetMessage(message));
    RC_ASSERT(read.ok());
    RC_ASSERT(read->usage.has_value());
    RC_ASSERT(read->usage->is_active == message.usage->is_active);
    RC_ASSERT(read->usage->active_peers == message.usage->active_peers);
    RC_ASSERT(read->usage->customers == message.usage->customers);
  }));
}

// Guards against bytes in the messages of fleets without quotas.
TEST_CASE("a message without usage has no further element", "[fleet]") {
  const auto encoded = EncodeFleetMessage(MakeMessage());
  CHECK(encoded[0] == kNineElements);
  CHECK_FALSE(DecodeFleetMessage(encoded)->usage.has_value());
}

// Guards against messages that instances of the previous or of the next version reject: those of
// the previous version read only the first nine elements, and later ones may append others.
TEST_CASE("further elements of a message are ignored", "[fleet]") {
  auto with_usage = MakeMessage();
  with_usage.usage.emplace();
  const auto plain = EncodeFleetMessage(MakeMessage());
  const auto encoded = EncodeFleetMessage(with_usage);
  REQUIRE(encoded[0] == kTenElements);
  // Apart from the number of elements, the first nine are those of the previous version.
  CHECK(encoded.substr(1, plain.size() - 1) == plain.substr(1));
  auto unknown = plain;
  unknown[0] = kTenElements;
  unknown.push_back(7);
  const auto read = DecodeFleetMessage(unknown);
  REQUIRE(read.ok());
  CHECK(read->members.size() == 1);
  CHECK_FALSE(read->usage.has_value());
}

// Guards against a crash or a huge allocation by a report that no instance writes.
TEST_CASE("a usage report that is cut or too large is left out", "[fleet]") {
  auto message = MakeMessage();
  message.usage.emplace();
  message.usage->customers.resize(1025);
  CHECK_FALSE(DecodeFleetMessage(EncodeFleetMessage(message))->usage.has_value());
  message.usage->customers.resize(3);
  message.usage->active_peers.resize(257);
  CHECK_FALSE(DecodeFleetMessage(EncodeFleetMessage(message))->usage.has_value());
  message.usage->active_peers.resize(3);
  const auto whole = EncodeFleetMessage(message);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(DecodeFleetMessage(whole.substr(0, size)).ok());
  }
}

}  // namespace
}  // namespace primroseweir
