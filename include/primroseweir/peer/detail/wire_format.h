#ifndef PRIMROSEWEIR_PEER_DETAIL_WIRE_FORMAT_H_
#define PRIMROSEWEIR_PEER_DETAIL_WIRE_FORMAT_H_

#include <cstddef>
#include <cstdint>

namespace primroseweir {
namespace detail {

// A datagram is a MessagePack array followed by the signature. The array holds kHeaderFields header
// fields and kSections sections: an array of member records, a byte string of heartbeats, an array
// of observations and an array of crash strikes. Incompatible changes raise kGossipVersion.
constexpr std::uint64_t kGossipVersion = 1;
constexpr std::size_t kHeaderFields = 9;
constexpr std::size_t kSections = 4;

// Number of fields of each record. An observation without a load report has kObservationFields.
constexpr std::size_t kMemberFields = 10;
constexpr std::size_t kObservationFields = 4;
constexpr std::size_t kReportedObservationFields = 7;
constexpr std::size_t kStrikeFields = 4;

// The byte string of heartbeats starts with the number of the first seat in big-endian order.
constexpr std::size_t kFirstSeatBytes = 2;

// Upper bounds of single fields.
constexpr std::size_t kMaxIdBytes = 64;
constexpr std::uint64_t kMaxSeat = 65'535;
constexpr std::uint64_t kMaxWindow = 1'000'000;
constexpr std::uint64_t kMaxInFlight = 10'000'000;
// Ages and latencies above these bounds are clamped when sent.
constexpr std::uint64_t kMaxAgeMilliseconds = 7ULL * 24 * 3'600 * 1'000;
constexpr std::uint64_t kMaxLatencyMicroseconds = 3'600ULL * 1'000'000;

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_WIRE_FORMAT_H_
