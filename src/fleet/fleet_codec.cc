#include "primroseweir/fleet/fleet_codec.h"

// Without this, msgpack includes headers of Boost.
#define MSGPACK_NO_BOOST

#include <array>
#include <chrono>
#include <exception>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
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

// Optional element after those of MessageTuple, which instances of earlier versions ignore: whether
// the sender is active, its customers packed by PackUsage, and addresses of active instances.
using UsageTuple = std::tuple<bool, std::string, std::vector<std::uint32_t>>;
constexpr std::uint32_t kUsageIndex = std::tuple_size<MessageTuple>::value;
// Optional element after the usage, which is nil if only this one is present: known strikes.
constexpr std::uint32_t kKnownStrikesIndex = kUsageIndex + 1;
// Bound on what a message is trusted with; a sender stays below it.
constexpr std::size_t kMaxKnownStrikes = 1024;
// Bytes of one customer: hash, admitted calls and recently admitted calls.
constexpr std::size_t kCustomerBytes = 10;
// Bounds on what a message is trusted with. A sender stays below FleetQuota's limits.
constexpr std::size_t kMaxCustomers = 1024;
constexpr std::size_t kMaxActivePeers = 256;

// Limits of the decoder, since it allocates an array by its stated size before it reads the
// elements: 64 KB of nested headers held 94 MB. A datagram of 64 KB has room for fewer heartbeats,
// and a message has four levels; later versions may have more.
constexpr std::size_t kMaxElements = 8192;
constexpr std::size_t kMaxBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxLevels = 16;
// Records beyond these are ignored. Instances request at most FleetTable::kMaxRequestedRecords at a
// time, and few instances of a fleet read the store.
constexpr std::size_t kMaxRecords = 256;

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

void AppendNumber(std::uint32_t number, std::size_t bytes, std::string* text) {
  for (std::size_t i = 0; i < bytes; ++i) {
    text->push_back(static_cast<char>(number >> (8 * i) & 0xffU));
  }
}

std::uint32_t NumberAt(std::string_view text, std::size_t start, std::size_t bytes) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    number |= static_cast<std::uint32_t>(static_cast<unsigned char>(text[start + i])) << (8 * i);
  }
  return number;
}

std::string PackUsage(const std::vector<CustomerUsage>& customers) {
  std::string text;
  text.reserve(customers.size() * kCustomerBytes);
  for (const auto& customer : customers) {
    AppendNumber(customer.customer, 4, &text);
    AppendNumber(customer.admitted, 4, &text);
    AppendNumber(customer.recently_admitted, 2, &text);
  }
  return text;
}

// Reads the optional element of a message; nothing if it is absent or of another layout, which a
// later version may have.
std::optional<UsageReport> ReadUsage(const msgpack::object& message) {
  if (message.via.array.size <= kUsageIndex) {
    return std::nullopt;
  }
  UsageTuple tuple;
  try {
    tuple = message.via.array.ptr[kUsageIndex].as<UsageTuple>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
  auto& [is_active, packed, active_peers] = tuple;
  if (packed.size() % kCustomerBytes != 0 || packed.size() > kMaxCustomers * kCustomerBytes ||
      active_peers.size() > kMaxActivePeers) {
    return std::nullopt;
  }
  UsageReport usage;
  usage.is_active = is_active;
  usage.active_peers = std::move(active_peers);
  for (std::size_t start = 0; start < packed.size(); start += kCustomerBytes) {
    usage.customers.push_back({NumberAt(packed, start, 4), NumberAt(packed, start + 4, 4),
                               static_cast<std::uint16_t>(NumberAt(packed, start + 8, 2))});
  }
  return usage;
}

std::vector<StrikeTuple> ToTuples(const std::vector<CrashStrike>& strikes) {
  std::vector<StrikeTuple> tuples;
  for (const auto& strike : strikes) {
    tuples.emplace_back(strike.fingerprint, strike.upstream.value(), ToMilliseconds(strike.age),
                        strike.succeeded);
  }
  return tuples;
}

std::vector<CrashStrike> FromTuples(const std::vector<StrikeTuple>& tuples) {
  std::vector<CrashStrike> strikes;
  for (const auto& [fingerprint, upstream, age, succeeded] : tuples) {
    strikes.push_back(
        {fingerprint, UpstreamId(upstream), std::chrono::milliseconds(age), succeeded});
  }
  return strikes;
}

// Reads the optional element of a message, as ReadUsage.
std::optional<std::vector<CrashStrike>> ReadKnownStrikes(const msgpack::object& message) {
  if (message.via.array.size <= kKnownStrikesIndex) {
    return std::nullopt;
  }
  try {
    const auto tuples = message.via.array.ptr[kKnownStrikesIndex].as<std::vector<StrikeTuple>>();
    return tuples.size() > kMaxKnownStrikes ? std::nullopt : std::make_optional(FromTuples(tuples));
  } catch (const std::exception&) {
    return std::nullopt;
  }
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
  strikes = ToTuples(message.load.strikes);
  return result;
}

FleetMessage FromTuple(const MessageTuple& tuple) {
  FleetMessage message;
  for (const auto& [ip, data_centre, incarnation, heartbeat, leaving, reads_store, published,
                    capacity] : std::get<1>(tuple)) {
    if (message.members.size() == kMaxRecords) {
      break;
    }
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
  message.load.strikes = FromTuples(std::get<3>(tuple));
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
  std::optional<UsageTuple> usage;
  if (message.usage) {
    usage.emplace(message.usage->is_active, PackUsage(message.usage->customers),
                  message.usage->active_peers);
  }
  const auto tuple = ToTuple(message);
  if (message.known_strikes) {
    msgpack::zone zone;
    const auto usage_or_nil = usage ? msgpack::object(*usage, zone) : msgpack::object();
    msgpack::pack(buffer, std::tuple_cat(tuple, std::make_tuple(usage_or_nil,
                                                                ToTuples(*message.known_strikes))));
  } else if (usage) {
    msgpack::pack(buffer, std::tuple_cat(tuple, std::make_tuple(*usage)));
  } else {
    msgpack::pack(buffer, tuple);
  }
  return {buffer.data(), buffer.size()};
}

absl::StatusOr<FleetMessage> DecodeFleetMessage(std::string_view data) {
  try {
    const msgpack::unpack_limit limit(kMaxElements, kMaxElements, kMaxBytes, kMaxBytes, kMaxBytes,
                                      kMaxLevels);
    const auto handle = msgpack::unpack(data.data(), data.size(), nullptr, nullptr, limit);
    const auto tuple = handle.get().as<MessageTuple>();
    if (std::get<0>(tuple) != kFormatVersion || std::get<1>(tuple).empty()) {
      return MakeError(absl::StatusCode::kInvalidArgument, {"peer message", ""},
                       "unknown message format, or no record of the sender");
    }
    auto message = FromTuple(tuple);
    message.usage = ReadUsage(handle.get());
    message.known_strikes = ReadKnownStrikes(handle.get());
    return message;
  } catch (const std::exception& error) {
    return MakeError(absl::StatusCode::kInvalidArgument, {"peer message", ""}, error.what());
  }
}

}  // namespace primroseweir
