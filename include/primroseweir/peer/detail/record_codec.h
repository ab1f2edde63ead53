#ifndef PRIMROSEWEIR_PEER_DETAIL_RECORD_CODEC_H_
#define PRIMROSEWEIR_PEER_DETAIL_RECORD_CODEC_H_

#include <nlohmann/json.hpp>
#include <string>

#include "primroseweir/limits/crash_strike.h"
#include "primroseweir/peer/member_record.h"
#include "primroseweir/peer/seat_heartbeats.h"
#include "primroseweir/upstream/upstream_observation.h"

namespace primroseweir {
namespace detail {

// Converts the records of datagrams and snapshots to and from JSON arrays. Decoders set `error` at
// the first error and leave an earlier error as it is.

nlohmann::json MemberToJson(const MemberRecord& record);
nlohmann::json ObservationToJson(const UpstreamObservation& observation);
nlohmann::json StrikeToJson(const CrashStrike& strike);

// Returns the first `count` heartbeats as a byte string. HeartbeatsFromJson reads an empty byte
// string as no heartbeats.
std::string PackHeartbeats(const SeatHeartbeats& heartbeats, std::size_t count);
SeatHeartbeats HeartbeatsFromJson(const nlohmann::json& value, std::string* error);

MemberRecord MemberFromJson(const nlohmann::json& value, std::string* error);
UpstreamObservation ObservationFromJson(const nlohmann::json& value, std::string* error);
CrashStrike StrikeFromJson(const nlohmann::json& value, std::string* error);

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_RECORD_CODEC_H_
