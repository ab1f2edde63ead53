#ifndef PRIMROSEWEIR_PEER_MEMBER_RECORD_H_
#define PRIMROSEWEIR_PEER_MEMBER_RECORD_H_

#include <cstdint>

#include "primroseweir/base/time.h"
#include "primroseweir/membership/member.h"

namespace primroseweir {

// What an instance tells its peers about one member, itself included.
struct MemberRecord {
  Member member;
  // Counter that only the member itself raises. Of two records of one incarnation the one with the
  // higher heartbeat is newer.
  std::uint64_t heartbeat = 0;
  // Time since the member sent this heartbeat, as far as the sender of the record knows.
  Duration age{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_MEMBER_RECORD_H_
