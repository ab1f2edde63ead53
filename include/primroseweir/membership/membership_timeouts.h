#ifndef PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_TIMEOUTS_H_
#define PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_TIMEOUTS_H_

#include "primroseweir/base/time.h"

namespace primroseweir {

// How long a member may be silent (docs/design.md section 6).
struct MembershipTimeouts {
  Duration suspect = std::chrono::seconds(1);
  Duration dead = std::chrono::seconds(3);
  // Counted from the member's death.
  Duration removed = std::chrono::seconds(60);
  // The longest time between two calls that counts as silence of others. A longer one doesn't count
  // at all: this process was paused and could not have heard anybody.
  Duration max_step = std::chrono::milliseconds(600);
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_TIMEOUTS_H_
