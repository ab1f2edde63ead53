#include "primroseweir/peer/datagram_packer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "primroseweir/peer/detail/record_codec.h"
#include "primroseweir/peer/detail/wire_format.h"
#include "primroseweir/peer/gossip_codec.h"

namespace primroseweir {
namespace {

// MessagePack: an array of up to 15 elements has its length in the first byte.
constexpr unsigned char kShortArray = 0x90;
// MessagePack: an array with a length of 16 bits.
constexpr unsigned char kLongArray = 0xdc;
constexpr std::size_t kLongArrayHeadBytes = 3;
// MessagePack: a byte string with a length of 16 bits.
constexpr unsigned char kLongBytes = 0xc5;

std::string Packed(const nlohmann::json& value) {
  std::string bytes;
  nlohmann::json::to_msgpack(value, bytes);
  return bytes;
}

std::string PackedHead(const GossipHeader& header) {
  std::string bytes(1, static_cast<char>(kShortArray | (detail::kHeadFields + detail::kSections)));
  bytes += Packed(detail::kGossipVersion);
  bytes += Packed(header.sender.value());
  bytes += Packed(header.incarnation.value());
  bytes +=
      Packed(static_cast<std::uint64_t>(std::max<std::int64_t>(0, header.sent_at.microseconds)));
  bytes += Packed(header.sent_at.counter);
  bytes += Packed(header.configuration.revision.value());
  bytes += Packed(header.configuration.digest);
  bytes += Packed(header.query_id);
  bytes += Packed(header.response_to);
  return bytes;
}

// `kind` says what follows, `length` how many elements or bytes of it.
void AppendSized(unsigned char kind, std::size_t length, const std::string& content,
                 std::string* bytes) {
  bytes->push_back(static_cast<char>(kind));
  bytes->push_back(static_cast<char>(length >> 8));
  bytes->push_back(static_cast<char>(length & 0xff));
  bytes->append(content);
}

}  // namespace

DatagramPacker::DatagramPacker(const GossipHeader& header, std::size_t limit)
    : limit_(std::min(limit, kMaximumBytes)), head_(PackedHead(header)) {}

std::size_t DatagramPacker::size() const {
  return head_.size() + detail::kSections * kLongArrayHeadBytes + members_.bytes.size() +
         heartbeats_.size() + observations_.bytes.size() + strikes_.bytes.size() +
         MessageSigner::kSignatureBytes;
}

bool DatagramPacker::AddRecord(const std::string& record, Section* section) {
  if (size() + record.size() > limit_) return false;
  section->bytes += record;
  ++section->count;
  return true;
}

bool DatagramPacker::Add(const MemberRecord& record) {
  return AddRecord(Packed(detail::MemberToJson(record)), &members_);
}

std::size_t DatagramPacker::AddHeartbeats(const SeatHeartbeats& heartbeats, std::size_t bytes) {
  const std::size_t available = std::min(bytes, room());
  if (available <= detail::kFirstSeatBytes) return 0;
  const std::size_t count =
      std::min(heartbeats.counters.size(), available - detail::kFirstSeatBytes);
  heartbeats_ = detail::PackedHeartbeats(heartbeats, count);
  return count;
}

bool DatagramPacker::Add(const UpstreamObservation& observation) {
  return AddRecord(Packed(detail::ObservationToJson(observation)), &observations_);
}

bool DatagramPacker::Add(const CrashStrike& strike) {
  return AddRecord(Packed(detail::StrikeToJson(strike)), &strikes_);
}

std::string DatagramPacker::Finish(const MessageSigner& signer) const {
  std::string bytes = head_;
  AppendSized(kLongArray, members_.count, members_.bytes, &bytes);
  AppendSized(kLongBytes, heartbeats_.size(), heartbeats_, &bytes);
  AppendSized(kLongArray, observations_.count, observations_.bytes, &bytes);
  AppendSized(kLongArray, strikes_.count, strikes_.bytes, &bytes);
  return bytes + signer.Sign(kGossipPurpose, bytes);
}

}  // namespace primroseweir
