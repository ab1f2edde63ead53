#ifndef PRIMROSEWEIR_PEER_DETAIL_RECORD_CODEC_H_
#define PRIMROSEWEIR_PEER_DETAIL_RECORD_CODEC_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "primroseweir/limits/crash_strike.h"
#include "primroseweir/peer/member_heartbeat.h"
#include "primroseweir/peer/member_record.h"
#include "primroseweir/upstream/observation.h"

namespace primroseweir {
namespace detail {

// Records of datagrams and snapshots as JSON arrays. A reader sets `error` at the first fault.

nlohmann::json MemberToJson(const MemberRecord& record);
nlohmann::json ObservationToJson(const UpstreamObservation& observation);
nlohmann::json StrikeToJson(const CrashStrike& strike);

// Heartbeats have a fixed size and follow each other in one byte string.
void AppendHeartbeat(const MemberHeartbeat& heartbeat, std::string* bytes);
std::vector<MemberHeartbeat> ReadHeartbeats(const nlohmann::json& value, std::string* error);

MemberRecord MemberFromJson(const nlohmann::json& value, std::string* error);
UpstreamObservation ObservationFromJson(const nlohmann::json& value, std::string* error);
CrashStrike StrikeFromJson(const nlohmann::json& value, std::string* error);

}  // namespace detail
}  // namespace primroseweir

#endif  // PRIMROSEWEIR_PEER_DETAIL_RECORD_CODEC_H_
