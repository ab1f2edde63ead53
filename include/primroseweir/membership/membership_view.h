#ifndef PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_VIEW_H_
#define PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_VIEW_H_

#include <vector>

#include "primroseweir/membership/member.h"

namespace primroseweir {

// The fleet as one instance sees it at one moment, itself included. Immutable once published
// through an RcuCell.
struct MembershipView {
  std::vector<Member> members;
  // Another live process has this instance's seat and is older: this one must hold no connections
  // and serve no calls.
  bool seat_taken = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_MEMBERSHIP_VIEW_H_
