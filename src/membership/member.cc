#include "primroseweir/membership/member.h"

namespace primroseweir {

const char* MemberStateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "unknown";
}

}  // namespace primroseweir
