#include "primroseweir/peer/gossip_codec.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "primroseweir/base/error.h"
#include "primroseweir/peer/datagram_packer.h"
#include "primroseweir/peer/detail/field_reader.h"
#include "primroseweir/peer/detail/record_codec.h"
#include "primroseweir/peer/detail/wire_format.h"

namespace primroseweir {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxCounter = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaxMicroseconds = std::numeric_limits<std::int64_t>::max();

absl::Status DecodeError(absl::StatusCode code, const std::string& peer,
                         const std::string& message) {
  return MakeError(code, {"decode datagram", peer}, message);
}

GossipHeader ReadHeader(detail::FieldReader* reader) {
  GossipHeader header;
  header.sender = InstanceId(reader->ReadId("sender"));
  header.incarnation = Incarnation(reader->ReadUnsigned("incarnation", 1, kMaxUint64));
  header.sent_at.microseconds =
      static_cast<std::int64_t>(reader->ReadUnsigned("time", 0, kMaxMicroseconds));
  header.sent_at.counter =
      static_cast<std::uint32_t>(reader->ReadUnsigned("counter", 0, kMaxCounter));
  header.configuration.revision = Revision(reader->ReadUnsigned("revision", 0, kMaxUint64));
  header.configuration.digest = reader->ReadUnsigned("digest", 0, kMaxUint64);
  header.query_id = reader->ReadUnsigned("question", 0, kMaxUint64);
  header.response_to = reader->ReadUnsigned("answer_to", 0, kMaxUint64);
  return header;
}

template <typename Record>
std::vector<Record> ReadRecords(const json& values, Record (*read)(const json&, std::string*),
                                std::string* error) {
  std::vector<Record> records;
  for (const json& value : values) {
    if (!error->empty()) break;
    records.push_back(read(value, error));
  }
  return records;
}

void CheckSender(const GossipMessage& message, std::string* error) {
  if (!error->empty()) return;
  const bool matches = !message.members.empty() &&
                       message.members.front().member.id == message.header.sender &&
                       message.members.front().member.incarnation == message.header.incarnation;
  if (!matches) *error = "message does not start with the record of its sender";
}

GossipMessage ReadMessage(detail::FieldReader* reader, std::string* error) {
  GossipMessage message;
  message.header = ReadHeader(reader);
  message.members = ReadRecords(reader->ReadArray("members"), detail::MemberFromJson, error);
  message.heartbeats = detail::HeartbeatsFromJson(reader->ReadAny("heartbeats"), error);
  message.observations =
      ReadRecords(reader->ReadArray("observations"), detail::ObservationFromJson, error);
  message.strikes = ReadRecords(reader->ReadArray("strikes"), detail::StrikeFromJson, error);
  CheckSender(message, error);
  return message;
}

absl::StatusOr<GossipMessage> DecodeContent(const std::string& content, const std::string& peer) {
  // The parser recurses once per nesting level. The size limit of a datagram limits the depth.
  const json value = json::from_msgpack(content, true, false);
  if (value.is_discarded()) {
    return DecodeError(absl::StatusCode::kInvalidArgument, peer,
                       "content is not valid MessagePack");
  }
  std::string error;
  detail::FieldReader reader(value, "message", &error);
  const std::uint64_t version = reader.ReadUnsigned("version", 0, kMaxUint64);
  if (error.empty() && version != detail::kGossipVersion) {
    return DecodeError(absl::StatusCode::kUnimplemented, peer,
                       "version " + std::to_string(version) + " is not supported");
  }
  reader.ExpectSize(detail::kHeaderFields + detail::kSections);
  GossipMessage message = ReadMessage(&reader, &error);
  if (!error.empty()) return DecodeError(absl::StatusCode::kInvalidArgument, peer, error);
  return message;
}

}  // namespace

absl::StatusOr<GossipMessage> DecodeGossip(const std::string& datagram, const std::string& peer,
                                           const MessageSigner& signer) {
  constexpr std::size_t kSignatureSize = MessageSigner::kSignatureBytes;
  if (datagram.size() <= kSignatureSize || datagram.size() > DatagramPacker::kMaxDatagramBytes) {
    return DecodeError(absl::StatusCode::kInvalidArgument, peer,
                       "datagram of " + std::to_string(datagram.size()) +
                           " bytes is too short for a signature or above the size limit");
  }
  const std::string content = datagram.substr(0, datagram.size() - kSignatureSize);
  if (!signer.Verify(kGossipPurpose, content, datagram.substr(content.size()))) {
    return DecodeError(absl::StatusCode::kPermissionDenied, peer, "signature is invalid");
  }
  return DecodeContent(content, peer);
}

}  // namespace primroseweir
