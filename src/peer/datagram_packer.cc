#include "primroseweir/peer/datagram_packer.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "primroseweir/peer/detail/record_codec.h"
#include "primroseweir/peer/detail/wire_format.h"
#include "primroseweir/peer/gossip_codec.h"

namespace primroseweir {
namespace {

// MessagePack type fixarray: up to 15 elements, with the length in the low bits of this byte.
constexpr unsigned char kFixArray = 0x90;
// MessagePack type array 16: a length of 16 bits follows.
constexpr unsigned char kArray16 = 0xdc;
constexpr std::size_t kArray16HeaderBytes = 3;
// MessagePack type bin 16: a byte string; a length of 16 bits follows.
constexpr unsigned char kBin16 = 0xc5;

std::string Pack(const nlohmann::json& value) {
  std::string bytes;
  nlohmann::json::to_msgpack(value, bytes);
  return bytes;
}

std::string PackHeader(const GossipHeader& header) {
  std::string bytes(1, static_cast<char>(kFixArray | (detail::kHeaderFields + detail::kSections)));
  bytes += Pack(detail::kGossipVersion);
  bytes += Pack(header.sender.value());
  bytes += Pack(header.incarnation.value());
  bytes += Pack(static_cast<std::uint64_t>(std::max<std::int64_t>(0, header.sent_at.microseconds)));
  bytes += Pack(header.sent_at.counter);
  bytes += Pack(header.configuration.revision.value());
  bytes += Pack(header.configuration.digest);
  bytes += Pack(header.query_id);
  bytes += Pack(header.response_to);
  return bytes;
}

// Appends a MessagePack type byte, the number of elements or bytes of `content` in 16 bits, and
// `content` itself.
void AppendSized(unsigned char type, std::size_t length, const std::string& content,
                 std::string* bytes) {
  bytes->push_back(static_cast<char>(type));
  bytes->push_back(static_cast<char>(length >> 8));
  bytes->push_back(static_cast<char>(length & 0xff));
  bytes->append(content);
}

}  // namespace

DatagramPacker::DatagramPacker(const GossipHeader& header, std::size_t limit)
    : limit_(std::min(limit, kMaxDatagramBytes)), header_(PackHeader(header)) {}

std::size_t DatagramPacker::size() const {
  return header_.size() + detail::kSections * kArray16HeaderBytes + members_.bytes.size() +
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
  return AddRecord(Pack(detail::MemberToJson(record)), &members_);
}

std::size_t DatagramPacker::AddHeartbeats(const SeatHeartbeats& heartbeats, std::size_t bytes) {
  const std::size_t available = std::min(bytes, room());
  if (available <= detail::kFirstSeatBytes) return 0;
  const std::size_t count =
      std::min(heartbeats.counters.size(), available - detail::kFirstSeatBytes);
  heartbeats_ = detail::PackHeartbeats(heartbeats, count);
  return count;
}

bool DatagramPacker::Add(const UpstreamObservation& observation) {
  return AddRecord(Pack(detail::ObservationToJson(observation)), &observations_);
}

bool DatagramPacker::Add(const CrashStrike& strike) {
  return AddRecord(Pack(detail::StrikeToJson(strike)), &strikes_);
}

std::string DatagramPacker::Finish(const MessageSigner& signer) const {
  std::string bytes = header_;
  AppendSized(kArray16, members_.count, members_.bytes, &bytes);
  AppendSized(kBin16, heartbeats_.size(), heartbeats_, &bytes);
  AppendSized(kArray16, observations_.count, observations_.bytes, &bytes);
  AppendSized(kArray16, strikes_.count, strikes_.bytes, &bytes);
  return bytes + signer.Sign(kGossipPurpose, bytes);
}

}  // namespace primroseweir
