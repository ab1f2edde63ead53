#ifndef PRIMROSEWEIR_PEER_SEAT_HEARTBEATS_H_
#define PRIMROSEWEIR_PEER_SEAT_HEARTBEATS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace primroseweir {

// The newest heartbeats of the members in consecutive seats, one byte each. Receivers know which
// member holds a seat from complete member records.
struct SeatHeartbeats {
  std::size_t first_seat = 0;
  // One entry per seat, starting at `first_seat`: the heartbeat modulo kModulus, or kNone unless
  // exactly one live member holds the seat.
  std::vector<std::uint8_t> counters;

  // The counters wrap after 51 s at the default gossip period of 200 ms. A member whose
  // heartbeats stop is declared dead long before that.
  static constexpr std::uint64_t kModulus = 255;
  static constexpr std::uint8_t kNone = 255;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_SEAT_HEARTBEATS_H_
