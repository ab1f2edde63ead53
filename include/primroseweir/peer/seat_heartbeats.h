#ifndef PRIMROSEWEIR_PEER_SEAT_HEARTBEATS_H_
#define PRIMROSEWEIR_PEER_SEAT_HEARTBEATS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace primroseweir {

// The newest heartbeats of the members in consecutive seats, one byte each. Both sides know who has
// a seat from whole member records.
struct SeatHeartbeats {
  std::size_t first_seat = 0;
  // By seat from `first_seat`: the heartbeat modulo kModulus, or kNone when the seat has no live
  // member or several.
  std::vector<std::uint8_t> counters;

  // The counters repeat after 51 s, long after a silent member is dead.
  static constexpr std::uint64_t kModulus = 255;
  static constexpr std::uint8_t kNone = 255;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_SEAT_HEARTBEATS_H_
