#ifndef PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_TIMEOUTS_H_
#define PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_TIMEOUTS_H_

#include "primroseweir/base/time.h"

namespace primroseweir {

// Times since the last heartbeat after which a member changes its state.
struct MembershipTimeouts {
  Duration suspect = std::chrono::seconds(1);
  Duration dead = std::chrono::seconds(3);
  // Additional time after `dead` until a dead member is removed.
  Duration removed = std::chrono::seconds(60);
  // Longest time between two calls that counts towards the other timeouts. A longer one is not
  // counted at all: this process was paused and could not receive heartbeats.
  Duration max_step = std::chrono::milliseconds(600);
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_TIMEOUTS_H_
