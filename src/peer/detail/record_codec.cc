#include "primroseweir/peer/detail/record_codec.h"

#include <arpa/inet.h>

#include <algorithm>
#include <limits>

#include "primroseweir/peer/detail/field_reader.h"
#include "primroseweir/peer/detail/wire_format.h"

namespace primroseweir {
namespace detail {
namespace {

constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaxAddress = (1ULL << 48) - 1;
constexpr std::uint64_t kMaxState = static_cast<std::uint64_t>(MemberState::kDead);

std::uint64_t Clamp(std::int64_t value, std::uint64_t maximum) {
  if (value < 0) return 0;
  return std::min(static_cast<std::uint64_t>(value), maximum);
}

std::uint64_t EncodeAge(Duration age) { return Clamp(ToMilliseconds(age), kMaxAgeMilliseconds); }

Duration ReadAge(FieldReader* reader) {
  return std::chrono::milliseconds(reader->ReadUnsigned("age", 0, kMaxAgeMilliseconds));
}

// Encodes an IPv4 address and port as one integer: 9 bytes in MessagePack instead of up to 22 as
// text.
std::uint64_t EncodeAddress(const SocketAddress& address) {
  in_addr binary{};
  inet_pton(AF_INET, address.ip.c_str(), &binary);
  return (static_cast<std::uint64_t>(ntohl(binary.s_addr)) << 16) | address.port;
}

SocketAddress ReadAddress(FieldReader* reader, const char* field) {
  const std::uint64_t number = reader->ReadUnsigned(field, 0, kMaxAddress);
  in_addr binary{};
  binary.s_addr = htonl(static_cast<std::uint32_t>(number >> 16));
  char text[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &binary, text, sizeof(text));
  return {text, static_cast<std::uint16_t>(number & 0xffff)};
}

}  // namespace

nlohmann::json MemberToJson(const MemberRecord& record) {
  const Member& member = record.member;
  return nlohmann::json::array({member.id.value(), member.incarnation.value(), record.heartbeat,
                                member.data_centre.value(), EncodeAddress(member.caller_address),
                                EncodeAddress(member.peer_address), member.seat.value(),
                                static_cast<std::uint64_t>(member.state), member.revision.value(),
                                EncodeAge(record.age)});
}

MemberRecord MemberFromJson(const nlohmann::json& value, std::string* error) {
  FieldReader reader(value, "member record", error);
  reader.ExpectSize(kMemberFields);
  MemberRecord record;
  Member& member = record.member;
  member.id = InstanceId(reader.ReadId("id"));
  member.incarnation = Incarnation(reader.ReadUnsigned("incarnation", 1, kMaxUint64));
  record.heartbeat = reader.ReadUnsigned("heartbeat", 0, kMaxUint64 - 1);
  member.data_centre = DataCentre(reader.ReadId("data_centre"));
  member.caller_address = ReadAddress(&reader, "caller_address");
  member.peer_address = ReadAddress(&reader, "peer_address");
  member.seat = Seat(reader.ReadUnsigned("seat", 0, kMaxSeat));
  member.state = static_cast<MemberState>(reader.ReadUnsigned("state", 0, kMaxState));
  member.revision = Revision(reader.ReadUnsigned("revision", 0, kMaxUint64));
  record.age = ReadAge(&reader);
  return record;
}

std::string PackHeartbeats(const SeatHeartbeats& heartbeats, std::size_t count) {
  std::string bytes;
  bytes.push_back(static_cast<char>(heartbeats.first_seat >> 8));
  bytes.push_back(static_cast<char>(heartbeats.first_seat & 0xff));
  const auto& counters = heartbeats.counters;
  bytes.append(counters.begin(), counters.begin() + static_cast<std::ptrdiff_t>(count));
  return bytes;
}

SeatHeartbeats HeartbeatsFromJson(const nlohmann::json& value, std::string* error) {
  SeatHeartbeats heartbeats;
  if (!error->empty()) return heartbeats;
  if (!value.is_binary() || value.get_binary().size() == 1) {
    *error = "heartbeats are not a byte string, or are too short for the number of the first seat";
    return heartbeats;
  }
  const std::vector<std::uint8_t>& bytes = value.get_binary();
  if (bytes.empty()) return heartbeats;
  heartbeats.first_seat = static_cast<std::size_t>(bytes[0]) << 8 | bytes[1];
  heartbeats.counters.assign(bytes.begin() + kFirstSeatBytes, bytes.end());
  return heartbeats;
}

nlohmann::json ObservationToJson(const UpstreamObservation& observation) {
  auto fields = nlohmann::json::array(
      {observation.id.value(), observation.epoch.value(), observation.window, observation.leaving});
  if (!observation.report) return fields;
  fields.push_back(observation.report->in_flight);
  fields.push_back(Clamp(ToMicroseconds(observation.report->latency), kMaxLatencyMicroseconds));
  fields.push_back(EncodeAge(observation.report->age));
  return fields;
}

UpstreamObservation ObservationFromJson(const nlohmann::json& value, std::string* error) {
  FieldReader reader(value, "observation", error);
  const bool has_report = reader.size() != kObservationFields;
  reader.ExpectSize(has_report ? kReportedObservationFields : kObservationFields);
  UpstreamObservation observation;
  observation.id = UpstreamId(reader.ReadId("id"));
  observation.epoch = Epoch(reader.ReadUnsigned("epoch", 0, kMaxUint64 - 1));
  observation.window = static_cast<std::uint32_t>(reader.ReadUnsigned("window", 1, kMaxWindow));
  observation.leaving = reader.ReadBoolean("leaving");
  if (!has_report) return observation;
  LoadReport report;
  report.in_flight = static_cast<std::uint32_t>(reader.ReadUnsigned("in_flight", 0, kMaxInFlight));
  report.latency =
      std::chrono::microseconds(reader.ReadUnsigned("latency", 0, kMaxLatencyMicroseconds));
  report.age = ReadAge(&reader);
  observation.report = report;
  return observation;
}

nlohmann::json StrikeToJson(const CrashStrike& strike) {
  return nlohmann::json::array(
      {strike.fingerprint, strike.upstream.value(), EncodeAge(strike.age), strike.succeeded});
}

CrashStrike StrikeFromJson(const nlohmann::json& value, std::string* error) {
  FieldReader reader(value, "crash strike", error);
  reader.ExpectSize(kStrikeFields);
  CrashStrike strike;
  strike.fingerprint = reader.ReadUnsigned("fingerprint", 0, kMaxUint64);
  strike.upstream = UpstreamId(reader.ReadId("upstream"));
  strike.age = ReadAge(&reader);
  strike.succeeded = reader.ReadBoolean("succeeded");
  return strike;
}

}  // namespace detail
}  // namespace primroseweir
