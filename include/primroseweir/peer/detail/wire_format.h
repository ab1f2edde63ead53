#ifndef PRIMROSEWEIR_PEER_DETAIL_WIRE_FORMAT_H_
#define PRIMROSEWEIR_PEER_DETAIL_WIRE_FORMAT_H_

#include <cstddef>
#include <cstdint>

namespace primroseweir {
namespace detail {

// A datagram is a MessagePack array of kHeadFields fields, then the array of member records, a byte
// string of heartbeats and the arrays of observations and strikes; the signature follows. An
// incompatible change raises the version.
constexpr std::uint64_t kGossipVersion = 1;
constexpr std::size_t kHeadFields = 9;
constexpr std::size_t kSections = 4;

// Fields of the records. An observation without a report has kObservationFields only.
constexpr std::size_t kMemberFields = 10;
constexpr std::size_t kObservationFields = 4;
constexpr std::size_t kReportedObservationFields = 7;
constexpr std::size_t kStrikeFields = 4;

// The byte string of heartbeats begins with the first seat, high byte first.
constexpr std::size_t kFirstSeatBytes = 2;

// Bounds of single fields.
constexpr std::size_t kMaximumIdBytes = 64;
constexpr std::uint64_t kMaximumSeat = 65'535;
constexpr std::uint64_t kMaximumWindow = 1'000'000;
constexpr std::uint64_t kMaximumInFlight = 10'000'000;
// An age or latency above this is sent as this.
constexpr std::uint64_t kMaximumAgeMilliseconds = 7ULL * 24 * 3'600 * 1'000;
constexpr std::uint64_t kMaximumLatencyMicroseconds = 3'600ULL * 1'000'000;

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_WIRE_FORMAT_H_
