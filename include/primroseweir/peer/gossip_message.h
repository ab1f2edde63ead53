#ifndef PRIMROSEWEIR_PEER_GOSSIP_MESSAGE_H_
#define PRIMROSEWEIR_PEER_GOSSIP_MESSAGE_H_

#include <cstdint>
#include <vector>

#include "primroseweir/base/hybrid_time.h"
#include "primroseweir/base/ids.h"
#include "primroseweir/limits/crash_strike.h"
#include "primroseweir/peer/configuration_state.h"
#include "primroseweir/peer/member_record.h"
#include "primroseweir/peer/seat_heartbeats.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {

// Header of a datagram between entry instances.
struct GossipHeader {
  InstanceId sender;
  Incarnation incarnation;
  HybridTime sent_at;
  ConfigurationState configuration;
  // Non-zero when the sender requests an immediate response, which repeats the number in
  // `response_to`.
  std::uint64_t query_id = 0;
  std::uint64_t response_to = 0;
};

// Content of one datagram. The first entry of `members` is the sender's own record.
struct GossipMessage {
  GossipHeader header;
  std::vector<MemberRecord> members;
  SeatHeartbeats heartbeats;
  std::vector<UpstreamObservation> observations;
  std::vector<CrashStrike> strikes;
};

}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_GOSSIP_MESSAGE_H_
