#include "primroseweir/peer/gossip_codec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "primroseweir/base/error.h"
#include "primroseweir/base/random.h"
#include "primroseweir/peer/datagram_packer.h"

namespace primroseweir {
namespace {

using std::chrono::milliseconds;

const MessageSigner& Signer() {
  static const MessageSigner signer("fleet key of the tests");
  return signer;
}

MemberRecord SampleMember(const std::string& id) {
  MemberRecord record;
  record.member.id = InstanceId(id);
  record.member.incarnation = Incarnation(1'700'000'000'123'456);
  record.member.data_centre = DataCentre("krems");
  record.member.caller_address = {"127.0.0.1", 8080};
  record.member.peer_address = {"10.1.2.3", 9101};
  record.member.seat = Seat(3);
  record.member.state = MemberState::kLeaving;
  record.member.revision = Revision(77);
  record.heartbeat = 12'345;
  record.age = milliseconds(250);
  return record;
}

UpstreamObservation SampleObservation(const std::string& id) {
  UpstreamObservation observation;
  observation.id = UpstreamId(id);
  observation.epoch = Epoch(4);
  observation.window = 2;
  observation.report = LoadReport{5, milliseconds(7), milliseconds(30)};
  return observation;
}

GossipHeader SampleHeader() {
  GossipHeader header;
  header.sender = InstanceId("entry-1");
  header.incarnation = Incarnation(1'700'000'000'123'456);
  header.sent_at = {1'700'000'100'000'000, 3};
  header.configuration = {Revision(78), 0xfeedULL};
  header.query_id = 9;
  return header;
}

std::string SampleDatagram() {
  DatagramPacker packer(SampleHeader(), DatagramPacker::kMaxDatagramBytes);
  REQUIRE(packer.Add(SampleMember("entry-1")));
  REQUIRE(packer.Add(SampleMember("entry-2")));
  REQUIRE(packer.AddHeartbeats({300, {1, 254, SeatHeartbeats::kNone}}, 100) == 3);
  REQUIRE(packer.Add(SampleObservation("ib-1")));
  REQUIRE(packer.Add(CrashStrike{0xabcdefULL, UpstreamId("ib-2"), milliseconds(40), true}));
  return packer.Finish(Signer());
}

// Returns a signed datagram with this content.
std::string MakeSignedDatagram(const nlohmann::json& content) {
  std::string bytes;
  nlohmann::json::to_msgpack(content, bytes);
  return bytes + Signer().Sign(kGossipPurpose, bytes);
}

nlohmann::json ParseContent(const std::string& datagram) {
  return nlohmann::json::from_msgpack(
      datagram.substr(0, datagram.size() - MessageSigner::kSignatureBytes));
}

absl::Status DecodeStatus(const std::string& datagram) {
  return DecodeGossip(datagram, "10.0.0.9:1", Signer()).status();
}

// Guards against fields that are lost or swapped between packing and decoding.
TEST_CASE("decoding a packed datagram returns every field unchanged") {
  const auto message = DecodeGossip(SampleDatagram(), "10.0.0.9:1", Signer());
  REQUIRE(message.ok());
  CHECK(message->header.sender == InstanceId("entry-1"));
  CHECK(message->header.sent_at == SampleHeader().sent_at);
  CHECK(message->header.configuration == SampleHeader().configuration);
  CHECK(message->header.query_id == 9);
  REQUIRE(message->members.size() == 2);
  const MemberRecord& record = message->members[1];
  CHECK(record.member.id == InstanceId("entry-2"));
  CHECK(record.member.incarnation == Incarnation(1'700'000'000'123'456));
  CHECK(record.member.peer_address.ToString() == "10.1.2.3:9101");
  CHECK(record.member.caller_address.ToString() == "127.0.0.1:8080");
  CHECK(record.member.seat == Seat(3));
  CHECK(record.member.state == MemberState::kLeaving);
  CHECK(record.member.revision == Revision(77));
  CHECK(record.heartbeat == 12'345);
  CHECK(record.age == milliseconds(250));
  CHECK(message->heartbeats.first_seat == 300);
  CHECK(message->heartbeats.counters == std::vector<std::uint8_t>{1, 254, SeatHeartbeats::kNone});
  REQUIRE(message->observations.size() == 1);
  CHECK(message->observations[0].epoch == Epoch(4));
  CHECK(message->observations[0].window == 2);
  REQUIRE(message->observations[0].report);
  CHECK(message->observations[0].report->latency == milliseconds(7));
  REQUIRE(message->strikes.size() == 1);
  CHECK(message->strikes[0].fingerprint == 0xabcdefULL);
  CHECK(message->strikes[0].succeeded);
}

// Guards against datagrams above the path MTU, which are fragmented and lost.
TEST_CASE("a datagram never exceeds its size limit") {
  for (std::size_t limit = 256; limit <= DatagramPacker::kMaxDatagramBytes + 100; limit += 61) {
    DatagramPacker packer(SampleHeader(), limit);
    packer.Add(SampleMember("entry-1"));
    int count = 1;
    while (packer.Add(SampleMember("entry-" + std::to_string(count)))) ++count;
    const std::string datagram = packer.Finish(Signer());
    CHECK(datagram.size() == packer.size());
    CHECK(datagram.size() <= std::min(limit, DatagramPacker::kMaxDatagramBytes));
    const auto message = DecodeGossip(datagram, "", Signer());
    REQUIRE(message.ok());
    CHECK(message->members.size() == static_cast<std::size_t>(count));
  }
}

// Guards against a process that acts as a peer without having the fleet key.
TEST_CASE("a datagram signed with another key is rejected and each purpose has its own signature") {
  const MessageSigner other_signer("another key");
  const absl::Status status = DecodeGossip(SampleDatagram(), "10.0.0.9:1", other_signer).status();
  CHECK(status.code() == absl::StatusCode::kPermissionDenied);
  CHECK(OriginOf(status).step == "decode datagram");
  CHECK(OriginOf(status).peer == "10.0.0.9:1");
  CHECK(Signer().Sign("gossip", "x") != Signer().Sign("snapshot request", "x"));
}

// Guards against messages of a later version that are decoded as messages of this version.
TEST_CASE("an unknown version is rejected with its number in the error") {
  nlohmann::json content = ParseContent(SampleDatagram());
  content[0] = 2;
  const absl::Status status = DecodeStatus(MakeSignedDatagram(content));
  CHECK(status.code() == absl::StatusCode::kUnimplemented);
  CHECK(MessageOf(status) == "version 2 is not supported");
}

// Guards against out-of-range values that a faulty peer sends and the decoder passes on.
TEST_CASE("malformed or out-of-range fields are rejected") {
  const nlohmann::json content = ParseContent(SampleDatagram());
  struct Fault {
    const char* pointer;
    nlohmann::json value;
  };
  const Fault faults[] = {
      {"/1", ""},
      {"/1", std::string(65, 'a')},
      {"/1", "two words"},
      {"/2", 0},
      {"/3", -5},
      {"/4", 1ULL << 32},
      {"/5", "7"},
      {"/9", 5},
      {"/9/0/0", "entry-9"},
      {"/9/0/4", 1ULL << 48},
      {"/9/0/6", 65'536},
      {"/9/0/7", 4},
      {"/9/0/9", 1.5},
      {"/9/1", nlohmann::json::array({1, 2})},
      {"/11/0/2", 0},
      {"/11/0/2", 1'000'001},
      {"/11/0/3", 1},
      {"/11/0/4", 10'000'001},
      {"/12/0/1", nlohmann::json::array()},
      {"/10", nlohmann::json::array()},
      {"/10", nlohmann::json::binary({1})},
  };
  for (const Fault& fault : faults) {
    nlohmann::json changed = content;
    changed[nlohmann::json::json_pointer(fault.pointer)] = fault.value;
    INFO(fault.pointer << " = " << fault.value);
    CHECK(DecodeStatus(MakeSignedDatagram(changed)).code() == absl::StatusCode::kInvalidArgument);
  }
  nlohmann::json with_extra_field = content;
  with_extra_field.push_back(1);
  CHECK(DecodeStatus(MakeSignedDatagram(with_extra_field)).code() ==
        absl::StatusCode::kInvalidArgument);
  nlohmann::json without_sender_record = content;
  without_sender_record[9] = nlohmann::json::array();
  CHECK(DecodeStatus(MakeSignedDatagram(without_sender_record)).code() ==
        absl::StatusCode::kInvalidArgument);
}

// ---- hostile input under a valid signature ----

// Guards against crashes and hangs of the decoder. The inputs are signed, because unsigned inputs
// would be rejected before they are decoded.
void CheckDecodesOrFails(const std::string& content) {
  const std::string datagram = content + Signer().Sign(kGossipPurpose, content);
  const auto message = DecodeGossip(datagram, "", Signer());
  if (!message.ok()) CHECK(OriginOf(message.status()).step == "decode datagram");
}

std::string SampleContent() {
  const std::string datagram = SampleDatagram();
  return datagram.substr(0, datagram.size() - MessageSigner::kSignatureBytes);
}

TEST_CASE("the decoder does not crash on flipped bits") {
  Random random(20'261'204);
  for (int i = 0; i < 20'000; ++i) {
    std::string content = SampleContent();
    const std::uint64_t flips = 1 + random.UniformBelow(8);
    for (std::uint64_t flip = 0; flip < flips; ++flip) {
      const std::uint64_t bit = random.UniformBelow(content.size() * 8);
      content[bit / 8] = static_cast<char>(content[bit / 8] ^ (1 << (bit % 8)));
    }
    CheckDecodesOrFails(content);
  }
}

TEST_CASE("the decoder rejects every truncated datagram") {
  const std::string content = SampleContent();
  for (std::size_t length = 1; length < content.size(); ++length) {
    const std::string truncated = content.substr(0, length);
    CHECK(!DecodeGossip(truncated + Signer().Sign(kGossipPurpose, truncated), "", Signer()).ok());
  }
}

TEST_CASE("the decoder does not crash on random bytes") {
  Random random(7);
  for (int i = 0; i < 20'000; ++i) {
    std::string content(1 + random.UniformBelow(1'180), '\0');
    for (char& c : content) c = static_cast<char>(random.UniformBelow(256));
    CheckDecodesOrFails(content);
  }
}

TEST_CASE("the decoder does not crash on deep nesting and false lengths") {
  CheckDecodesOrFails(std::string(1'184, '\x91'));
  CheckDecodesOrFails(std::string(1'184, '\x81'));
  CheckDecodesOrFails(std::string("\xdd\xff\xff\xff\xff", 5));
  CheckDecodesOrFails(std::string("\xdb\xff\xff\xff\xff", 5));
  CheckDecodesOrFails("\x9d" + std::string(1'183, '\x91'));
}

TEST_CASE("empty and oversized datagrams are rejected before the signature is checked") {
  CHECK(DecodeStatus(std::string(2'000, 'x')).code() == absl::StatusCode::kInvalidArgument);
  CHECK(DecodeStatus("").code() == absl::StatusCode::kInvalidArgument);
}

}  // namespace
}  // namespace primroseweir
