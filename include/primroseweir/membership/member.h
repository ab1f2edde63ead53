#ifndef PRIMROSEWEIR_MEMBERSHIP_MEMBER_H_
#define PRIMROSEWEIR_MEMBERSHIP_MEMBER_H_

#include "primroseweir/base/ids.h"
#include "primroseweir/base/socket_address.h"

namespace primroseweir {

enum class MemberState { kAlive, kSuspect, kLeaving, kDead };

// Name as in events and on the admin port: "alive", "suspect", "leaving" or "dead".
const char* MemberStateName(MemberState state);

// One entry instance as the membership knows it.
struct Member {
  InstanceId id;
  Incarnation incarnation;
  DataCentre data_centre;
  SocketAddress caller_address;
  SocketAddress peer_address;
  Seat seat;
  MemberState state = MemberState::kAlive;
  // The configuration in force there.
  Revision revision;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_MEMBERSHIP_MEMBER_H_
