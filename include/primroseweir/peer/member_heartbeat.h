#ifndef PRIMROSEWEIR_PEER_MEMBER_HEARTBEAT_H_
#define PRIMROSEWEIR_PEER_MEMBER_HEARTBEAT_H_

#include <cstdint>

#include "primroseweir/base/time.h"
#include "primroseweir/membership/member.h"

namespace primroseweir {

// The part of a MemberRecord that changes all the time, for members that the receiver knows.
struct MemberHeartbeat {
  // Hash of id and incarnation.
  std::uint32_t key = 0;
  // The low kCounterBits bits of the heartbeat; they repeat after 54 minutes, long after a silent
  // member was forgotten.
  std::uint16_t counter = 0;
  // As the member declared itself.
  MemberState state = MemberState::kAlive;
  // In steps of kAgeStep, at most kMaximumAge.
  Duration age{};

  static constexpr unsigned kCounterBits = 14;
  static constexpr std::uint16_t kCounterMask = (1U << kCounterBits) - 1;
  static constexpr Duration kAgeStep = std::chrono::milliseconds(20);
  static constexpr Duration kMaximumAge = 255 * kAgeStep;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_MEMBER_HEARTBEAT_H_
