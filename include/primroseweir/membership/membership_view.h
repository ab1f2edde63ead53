#ifndef PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_VIEW_H_

#include <vector>

#include "primroseweir/membership/member.h"

namespace primroseweir {

// Snapshot of the fleet as known to one instance, itself included. Immutable once published through
// an RcuCell.
struct MembershipView {
  std::vector<Member> members;
  // True when an older live process holds this instance's seat. This instance must then hold no
  // connections and serve no calls.
  bool is_seat_taken = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_VIEW_H_
