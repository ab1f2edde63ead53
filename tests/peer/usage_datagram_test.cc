#include "primroseweir/peer/usage_datagram.h"

#include <catch2/catch.hpp>
#include <string>

#include "primroseweir/base/random.h"
#include "primroseweir/peer/datagram_packer.h"
#include "primroseweir/peer/gossip_codec.h"
#include "primroseweir/peer/message_signer.h"

namespace primroseweir {
namespace {

const MessageSigner& Signer() {
  static const MessageSigner signer("fleet key of the tests");
  return signer;
}

UsageDatagram MakeDatagram(std::size_t customers) {
  UsageDatagram datagram{InstanceId("entry-1"), Incarnation(7), {}};
  for (std::uint32_t i = 0; i < customers; ++i) {
    datagram.usage.customers.push_back(
        {0xf0000000U + i, 4'000'000'000U + i, static_cast<std::uint16_t>(i)});
  }
  datagram.usage.active_peers = {1, 0xffffffffU};
  return datagram;
}

// Guards against counts that change on their way, which would charge or free quotas.
TEST_CASE("a report of the use of quotas is decoded as it was encoded") {
  auto datagram = MakeDatagram(1);
  datagram.usage.is_active = false;
  const auto bytes = EncodeUsage(datagram, Signer());
  CHECK(IsUsageDatagram(bytes));
  const auto decoded = DecodeUsage(bytes, "peer", Signer());
  REQUIRE(decoded.ok());
  CHECK(decoded->sender == datagram.sender);
  CHECK(decoded->incarnation == datagram.incarnation);
  CHECK_FALSE(decoded->usage.is_active);
  CHECK(decoded->usage.customers == datagram.usage.customers);
  CHECK(decoded->usage.active_peers == datagram.usage.active_peers);
}

// Guards against reports above the size of a datagram, and against busy customers left out of them.
TEST_CASE("a report of many customers fits into a datagram and keeps the busiest") {
  auto datagram = MakeDatagram(256);
  datagram.sender = InstanceId(std::string(64, 'e'));
  datagram.usage.active_peers.assign(300, 0xffffffffU);
  const auto bytes = EncodeUsage(datagram, Signer());
  CHECK(bytes.size() <= DatagramPacker::kMaxDatagramBytes);
  const auto decoded = DecodeUsage(bytes, "peer", Signer());
  REQUIRE(decoded.ok());
  REQUIRE(decoded->usage.customers.size() == 100);
  CHECK(decoded->usage.customers[0].recently_admitted == 255);
  CHECK(decoded->usage.customers[99].recently_admitted == 156);
}

// Guards against reports that an instance of the previous version takes for gossip, and the
// reverse.
TEST_CASE("the decoder of gossip refuses reports, and that of reports refuses gossip") {
  const auto bytes = EncodeUsage(MakeDatagram(3), Signer());
  CHECK_FALSE(DecodeGossip(bytes, "peer", Signer()).ok());
  GossipHeader header;
  header.sender = InstanceId("entry-1");
  header.incarnation = Incarnation(7);
  const auto gossip = DatagramPacker(header, 1'200).Finish(Signer());
  CHECK_FALSE(IsUsageDatagram(gossip));
  CHECK_FALSE(DecodeUsage(gossip, "peer", Signer()).ok());
}

// Guards against reports of processes without the fleet key.
TEST_CASE("a report with an invalid signature is rejected") {
  const MessageSigner other("another fleet key");
  CHECK(DecodeUsage(EncodeUsage(MakeDatagram(1), other), "peer", Signer()).status().code() ==
        absl::StatusCode::kPermissionDenied);
}

// Guards against crashes of the decoder. The inputs are signed, else they would not be decoded.
TEST_CASE("the decoder of reports does not crash on damaged content") {
  Random random(20261207);
  const auto valid = EncodeUsage(MakeDatagram(5), Signer());
  const auto content = valid.substr(0, valid.size() - MessageSigner::kSignatureBytes);
  int accepted = 0;
  for (int i = 0; i < 20'000; ++i) {
    std::string damaged = content.substr(0, 1 + random.UniformBelow(content.size()));
    for (std::uint64_t flip = random.UniformBelow(4); flip > 0; --flip) {
      const auto bit = random.UniformBelow(damaged.size() * 8);
      damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
    }
    const auto decoded = DecodeUsage(damaged + Signer().Sign("usage", damaged), "", Signer());
    accepted += decoded.ok() ? 1 : 0;
  }
  CHECK(accepted > 0);
}

}  // namespace
}  // namespace primroseweir
