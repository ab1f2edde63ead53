#ifndef PRIMROSEWEIR_PEER_MEMBER_RECORD_H_
#define PRIMROSEWEIR_PEER_MEMBER_RECORD_H_

#include <cstdint>

#include "primroseweir/base/time.h"
#include "primroseweir/membership/member.h"

namespace primroseweir {

// State of one member as an instance sends it to its peers. An instance also sends its own record.
struct MemberRecord {
  Member member;
  // Counter that only the member itself raises. Of two records of one incarnation, the one with the
  // higher heartbeat is newer.
  std::uint64_t heartbeat = 0;
  // Time since the member sent this heartbeat, as far as the sender of the record knows.
  Duration age{};
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_MEMBER_RECORD_H_
