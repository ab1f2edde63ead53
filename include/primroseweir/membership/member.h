#ifndef PRIMROSEWEIR_MEMBERSHIP_MEMBER_H_
#define PRIMROSEWEIR_MEMBERSHIP_MEMBER_H_

#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {

enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

// Returns the name used in events and on the admin port: "alive", "suspect", "leaving" or "dead".
const char* MemberStateName(MemberState state);

// One entry instance as recorded in the membership.
struct Member {
  InstanceId id;
  Incarnation incarnation;
  DataCentre data_centre;
  SocketAddress caller_address;
  SocketAddress peer_address;
  Seat seat;
  MemberState state = MemberState::kAlive;
  // Revision of the configuration in force at the member.
  Revision revision;
  // In a MembershipView: whether the member has declared its end, or a later incarnation at its
  // address proves it. A dead member that has not ended may be cut off and serving calls.
  bool has_ended = false;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_MEMBER_H_
