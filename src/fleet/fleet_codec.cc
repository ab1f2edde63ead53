#include "primroseweir/fleet/fleet_codec.h"

// Without this, msgpack includes headers of Boost.
#define MSGPACK_NO_BOOST

#include <array>
#include <chrono>
#include <exception>
#include <msgpack.hpp>
#include <tuple>
#include <vector>

#include "primroseweir/base/error.h"

namespace primroseweir {
namespace {

// First element of each message. Must change whenever the layout changes.
constexpr std::uint32_t kFormatVersion = 5;

using MemberTuple = std::tuple<std::string, std::string, std::uint64_t, std::uint64_t, bool, bool,
                               std::uint64_t, std::array<std::uint32_t, 4>>;
using UpstreamLoadTuple = std::tuple<std::uint64_t, std::uint32_t, std::uint32_t, std::uint32_t>;
using StrikeTuple = std::tuple<std::uint64_t, std::string, std::int64_t, bool>;
// Each heartbeat is packed into one number, and requested addresses are sent as numbers, since
// hundreds of them are exchanged many times a second.
using MessageTuple =
    std::tuple<std::uint32_t, std::vector<MemberTuple>, std::vector<UpstreamLoadTuple>,
               std::vector<StrikeTuple>, bool, std::string, std::vector<std::uint64_t>, bool,
               std::vector<std::uint32_t>>;

constexpr unsigned kAddressShift = 32;
constexpr unsigned kDigestShift = 16;

std::uint64_t Pack(const FleetHeartbeat& heartbeat) {
  return static_cast<std::uint64_t>(heartbeat.address) << kAddressShift |
         static_cast<std::uint64_t>(heartbeat.record_digest) << kDigestShift | heartbeat.heartbeat;
}

FleetHeartbeat Unpack(std::uint64_t packed) {
  return {static_cast<std::uint32_t>(packed >> kAddressShift),
          static_cast<std::uint16_t>(packed >> kDigestShift), static_cast<std::uint16_t>(packed)};
}

MessageTuple ToTuple(const FleetMessage& message) {
  MessageTuple result;
  auto& [format, members, upstream_loads, strikes, requests_readers, change, heartbeats, forwarded,
         requested_records] = result;
  format = kFormatVersion;
  requests_readers = message.requests_readers;
  change = message.change;
  forwarded = message.forwarded;
  for (const auto& member : message.members) {
    const auto& capacity = member.capacity;
    members.emplace_back(
        member.ip, member.data_centre.value(), member.incarnation.value(), member.heartbeat,
        member.leaving, member.reads_store, member.published_revision.value(),
        std::array<std::uint32_t, 4>{capacity.millicores, capacity.link_kilobytes_per_second,
                                     capacity.calls_per_second, capacity.kilobytes_per_second});
  }
  for (const auto& heartbeat : message.heartbeats) {
    heartbeats.push_back(Pack(heartbeat));
  }
  for (const auto& ip : message.requested_records) {
    requested_records.push_back(AddressBits(ip));
  }
  for (const auto& upstream_load : message.load.upstream_loads) {
    upstream_loads.emplace_back(upstream_load.upstream, upstream_load.in_flight,
                                upstream_load.slowdown_percent, upstream_load.age_ms);
  }
  for (const auto& strike : message.load.strikes) {
    strikes.emplace_back(strike.fingerprint, strike.upstream.value(), ToMilliseconds(strike.age),
                         strike.succeeded);
  }
  return result;
}

FleetMessage FromTuple(const MessageTuple& tuple) {
  FleetMessage message;
  for (const auto& [ip, data_centre, incarnation, heartbeat, leaving, reads_store, published,
                    capacity] : std::get<1>(tuple)) {
    FleetMember member;
    member.ip = ip;
    member.data_centre = DataCentre(data_centre);
    member.incarnation = Incarnation(incarnation);
    member.heartbeat = heartbeat;
    member.leaving = leaving;
    member.reads_store = reads_store;
    member.published_revision = Revision(published);
    member.capacity = {capacity[0], capacity[1], capacity[2], capacity[3]};
    message.members.push_back(member);
  }
  for (const auto& [upstream, in_flight, slowdown, age] : std::get<2>(tuple)) {
    message.load.upstream_loads.push_back({upstream, in_flight, slowdown, age});
  }
  for (const auto& [fingerprint, upstream, age, succeeded] : std::get<3>(tuple)) {
    message.load.strikes.push_back(
        {fingerprint, UpstreamId(upstream), std::chrono::milliseconds(age), succeeded});
  }
  message.requests_readers = std::get<4>(tuple);
  message.change = std::get<5>(tuple);
  for (const auto packed : std::get<6>(tuple)) {
    message.heartbeats.push_back(Unpack(packed));
  }
  message.forwarded = std::get<7>(tuple);
  for (const auto bits : std::get<8>(tuple)) {
    message.requested_records.push_back(AddressText(bits));
  }
  return message;
}

}  // namespace

std::string EncodeFleetMessage(const FleetMessage& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, ToTuple(message));
  return {buffer.data(), buffer.size()};
}

absl::StatusOr<FleetMessage> DecodeFleetMessage(std::string_view data) {
  try {
    const auto handle = msgpack::unpack(data.data(), data.size());
    const auto tuple = handle.get().as<MessageTuple>();
    if (std::get<0>(tuple) != kFormatVersion || std::get<1>(tuple).empty()) {
      return MakeError(absl::StatusCode::kInvalidArgument, {"peer message", ""},
                       "unknown message format, or no record of the sender");
    }
    return FromTuple(tuple);
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument, {"peer message", ""}, error.what());
  }
}

}  // namespace primroseweir
