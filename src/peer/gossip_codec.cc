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

constexpr std::uint64_t kAny = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaximumCounter = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMaximumMicroseconds = std::numeric_limits<std::int64_t>::max();

absl::Status DecodeError(absl::StatusCode code, const std::string& peer,
                         const std::string& message) {
  return MakeError(code, {"decode datagram", peer}, message);
}

GossipHeader ReadHeader(detail::FieldReader* reader) {
  GossipHeader header;
  header.sender = InstanceId(reader->Id("sender"));
  header.incarnation = Incarnation(reader->Unsigned("incarnation", 1, kAny));
  header.sent_at.microseconds =
      static_cast<std::int64_t>(reader->Unsigned("time", 0, kMaximumMicroseconds));
  header.sent_at.counter =
      static_cast<std::uint32_t>(reader->Unsigned("counter", 0, kMaximumCounter));
  header.configuration.revision = Revision(reader->Unsigned("revision", 0, kAny));
  header.configuration.digest = reader->Unsigned("digest", 0, kAny);
  header.query_id = reader->Unsigned("question", 0, kAny);
  header.response_to = reader->Unsigned("answer_to", 0, kAny);
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
  message.members = ReadRecords(reader->Array("members"), detail::MemberFromJson, error);
  message.heartbeats = detail::HeartbeatsFromJson(reader->Any("heartbeats"), error);
  message.observations =
      ReadRecords(reader->Array("observations"), detail::ObservationFromJson, error);
  message.strikes = ReadRecords(reader->Array("strikes"), detail::StrikeFromJson, error);
  CheckSender(message, error);
  return message;
}

absl::StatusOr<GossipMessage> DecodeContent(const std::string& content, const std::string& peer) {
  // The reader recurses once per nesting level; the size bound of a datagram bounds the depth.
  const json value = json::from_msgpack(content, true, false);
  if (value.is_discarded()) {
    return DecodeError(absl::StatusCode::kInvalidArgument, peer, "content is not MessagePack");
  }
  std::string error;
  detail::FieldReader reader(value, "message", &error);
  const std::uint64_t version = reader.Unsigned("version", 0, kAny);
  if (error.empty() && version != detail::kGossipVersion) {
    return DecodeError(absl::StatusCode::kUnimplemented, peer,
                       "version " + std::to_string(version) + " is not known");
  }
  reader.ExpectSize(detail::kHeadFields + detail::kSections);
  GossipMessage message = ReadMessage(&reader, &error);
  if (!error.empty()) return DecodeError(absl::StatusCode::kInvalidArgument, peer, error);
  return message;
}

}  // namespace

absl::StatusOr<GossipMessage> DecodeGossip(const std::string& datagram, const std::string& peer,
                                           const MessageSigner& signer) {
  constexpr std::size_t kSignature = MessageSigner::kSignatureBytes;
  if (datagram.size() <= kSignature || datagram.size() > DatagramPacker::kMaximumBytes) {
    return DecodeError(absl::StatusCode::kInvalidArgument, peer,
                       "datagram of " + std::to_string(datagram.size()) + " bytes");
  }
  const std::string content = datagram.substr(0, datagram.size() - kSignature);
  if (!signer.Verify(kGossipPurpose, content, datagram.substr(content.size()))) {
    return DecodeError(absl::StatusCode::kPermissionDenied, peer, "signature is wrong");
  }
  return DecodeContent(content, peer);
}

}  // namespace primroseweir
