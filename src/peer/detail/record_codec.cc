#include "primroseweir/peer/detail/record_codec.h"

#include <arpa/inet.h>

#include <algorithm>
#include <limits>

#include "primroseweir/peer/detail/field_reader.h"
#include "primroseweir/peer/detail/wire_format.h"

namespace primroseweir {
namespace detail {
namespace {

constexpr std::uint64_t kAny = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t kMaximumAddress = (1ULL << 48) - 1;
constexpr std::uint64_t kMaximumState = static_cast<std::uint64_t>(MemberState::kDead);

std::uint64_t Bounded(std::int64_t value, std::uint64_t maximum) {
  if (value < 0) return 0;
  return std::min(static_cast<std::uint64_t>(value), maximum);
}

std::uint64_t AgeNumber(Duration age) {
  return Bounded(ToMilliseconds(age), kMaximumAgeMilliseconds);
}

Duration ReadAge(FieldReader* reader) {
  return std::chrono::milliseconds(reader->Unsigned("age", 0, kMaximumAgeMilliseconds));
}

// An IPv4 address and port as one number takes 9 bytes, as text up to 22.
std::uint64_t AddressNumber(const SocketAddress& address) {
  in_addr binary{};
  inet_pton(AF_INET, address.ip.c_str(), &binary);
  return (static_cast<std::uint64_t>(ntohl(binary.s_addr)) << 16) | address.port;
}

SocketAddress ReadAddress(FieldReader* reader, const char* field) {
  const std::uint64_t number = reader->Unsigned(field, 0, kMaximumAddress);
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
                                member.data_centre.value(), AddressNumber(member.caller_address),
                                AddressNumber(member.peer_address), member.seat.value(),
                                static_cast<std::uint64_t>(member.state), member.revision.value(),
                                AgeNumber(record.age)});
}

MemberRecord MemberFromJson(const nlohmann::json& value, std::string* error) {
  FieldReader reader(value, "member record", error);
  reader.ExpectSize(kMemberFields);
  MemberRecord record;
  Member& member = record.member;
  member.id = InstanceId(reader.Id("id"));
  member.incarnation = Incarnation(reader.Unsigned("incarnation", 1, kAny));
  record.heartbeat = reader.Unsigned("heartbeat", 0, kAny - 1);
  member.data_centre = DataCentre(reader.Id("data_centre"));
  member.caller_address = ReadAddress(&reader, "caller_address");
  member.peer_address = ReadAddress(&reader, "peer_address");
  member.seat = Seat(reader.Unsigned("seat", 0, kMaximumSeat));
  member.state = static_cast<MemberState>(reader.Unsigned("state", 0, kMaximumState));
  member.revision = Revision(reader.Unsigned("revision", 0, kAny));
  record.age = ReadAge(&reader);
  return record;
}

std::string PackedHeartbeats(const SeatHeartbeats& heartbeats, std::size_t count) {
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
    *error = "heartbeats are not a byte string with a first seat";
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
  fields.push_back(
      Bounded(ToMicroseconds(observation.report->latency), kMaximumLatencyMicroseconds));
  fields.push_back(AgeNumber(observation.report->age));
  return fields;
}

UpstreamObservation ObservationFromJson(const nlohmann::json& value, std::string* error) {
  FieldReader reader(value, "observation", error);
  const bool reported = reader.size() != kObservationFields;
  reader.ExpectSize(reported ? kReportedObservationFields : kObservationFields);
  UpstreamObservation observation;
  observation.id = UpstreamId(reader.Id("id"));
  observation.epoch = Epoch(reader.Unsigned("epoch", 0, kAny - 1));
  observation.window = static_cast<std::uint32_t>(reader.Unsigned("window", 1, kMaximumWindow));
  observation.leaving = reader.Boolean("leaving");
  if (!reported) return observation;
  LoadReport report;
  report.in_flight = static_cast<std::uint32_t>(reader.Unsigned("in_flight", 0, kMaximumInFlight));
  report.latency =
      std::chrono::microseconds(reader.Unsigned("latency", 0, kMaximumLatencyMicroseconds));
  report.age = ReadAge(&reader);
  observation.report = report;
  return observation;
}

nlohmann::json StrikeToJson(const CrashStrike& strike) {
  return nlohmann::json::array(
      {strike.fingerprint, strike.upstream.value(), AgeNumber(strike.age), strike.succeeded});
}

CrashStrike StrikeFromJson(const nlohmann::json& value, std::string* error) {
  FieldReader reader(value, "crash strike", error);
  reader.ExpectSize(kStrikeFields);
  CrashStrike strike;
  strike.fingerprint = reader.Unsigned("fingerprint", 0, kAny);
  strike.upstream = UpstreamId(reader.Id("upstream"));
  strike.age = ReadAge(&reader);
  strike.succeeded = reader.Boolean("succeeded");
  return strike;
}

}  // namespace detail
}  // namespace primroseweir
