// Handles datagrams of other instances: heartbeats, records, changes of the published state and
// load reports.
#include <chrono>
#include <unordered_map>
#include <utility>

#include "primroseweir/base/error.h"
#include "primroseweir/base/line_log.h"
#include "primroseweir/fleet/fleet_codec.h"
#include "primroseweir/gateway/fleet_service.h"
#include "primroseweir/gateway/gateway.h"
#include "primroseweir/gateway/gateway_metrics.h"
#include "primroseweir/published/published_cache.h"
#include "primroseweir/published/published_snapshot.h"

namespace primroseweir {
namespace {

constexpr double kPercent = 100;

}  // namespace

void FleetService::Receive(const std::string& ip, std::string_view datagram) {
  const auto now = clock_();
  const auto message = DecodeFleetMessage(datagram);
  if (!message.ok() || message->members.front().ip != ip) {
    gateway_->metrics().CountEvent("peer_message_rejected");
    return;
  }
  if (const auto earlier_incarnation = table_.EarlierIncarnation(message->members.front())) {
    FleetMessage reply;
    reply.members = {table_.self(), *earlier_incarnation};
    Send(ip, EncodeFleetMessage(reply));
  }
  has_received_from_peer_ = true;
  if (message->known_strikes) {
    ReceiveKnownStrikes(ip, *message->known_strikes, now);
  }
  if (message->requests_readers) {
    FleetMessage reply;
    reply.members = table_.StoreReaderRecords(now);
    AddKnownStrikes(&reply, now);
    Send(ip, EncodeFleetMessage(reply));
  }
  if (!message->requested_records.empty()) {
    FleetMessage reply;
    reply.members = table_.RecordsOf(message->requested_records, now);
    Send(ip, EncodeFleetMessage(reply));
  }
  for (const auto& member : message->members) {
    gateway_->quota().RecordRun(AddressBits(member.ip), member.incarnation);
    if (table_.Merge(member, now)) {
      if (member.ip == ip) {
        IntroducePeers(member, now);
      }
      RecordLive(member.ip, ip, now);
    }
  }
  if (!message->heartbeats.empty()) {
    ReceiveHeartbeats(*message, now);
  }
  if (std::exchange(is_fleet_size_stale_, false)) {
    // Once for each message: the size is computed from all records, of which a message may have
    // hundreds.
    gateway_->balancer().SetFleetSize(table_.PeakSize(now));
    UpdateQuotaView(now);
  }
  if (message->usage) {
    gateway_->quota().MergeUsage(AddressBits(ip), message->members.front().incarnation,
                                 *message->usage, now);
    AnswerUsage(ip, now);
  } else {
    // A message with usage has no load report, and doesn't mean that the peer has no load.
    ReceiveLoadReport(ip, message->load, now);
  }
  if (!message->change.empty()) {
    ReceiveChange(message->members.front(), message->change, now);
  }
  CatchUpWithPeers(now);
}

void FleetService::ReceiveHeartbeats(const FleetMessage& message, Instant now) {
  const auto& sender = message.members.front();
  const auto& ip = sender.ip;
  const auto changes = table_.ReceiveHeartbeats(message.heartbeats, now);
  for (const auto& recovered : changes.recovered) {
    RecordLive(recovered, ip, now);
  }
  if (!changes.requested_records.empty()) {
    FleetMessage record_request;
    record_request.members = {table_.self()};
    record_request.requested_records = changes.requested_records;
    Send(ip, EncodeFleetMessage(record_request));
  }
  if (message.forwarded && message.members.size() > 1) {
    table_.RecordForwarded(message.members[1].data_centre, now);
  }
  if (table_.IsLocal(sender) || !table_.TryAcquireForwardTurn(sender.data_centre, now)) {
    return;
  }
  FleetMessage forwarded_message;
  forwarded_message.forwarded = true;
  forwarded_message.members = {table_.self(), sender};
  forwarded_message.heartbeats = table_.HeartbeatsToForward(message.heartbeats);
  const auto datagram = EncodeFleetMessage(forwarded_message);
  for (const auto& peer_ip : table_.LocalPeers(now)) {
    Send(peer_ip, datagram);
  }
}

void FleetService::ReceiveKnownStrikes(const std::string& ip,
                                       const std::vector<CrashStrike>& strikes, Instant now) {
  gateway_->crash_guard().Merge(strikes, now);
  if (std::exchange(has_known_strikes_, true)) {
    return;
  }
  log_->Write("crash_strikes", {{"peer", ip}, {"count", std::to_string(strikes.size())}}, now);
  // The instance may have waited only for these.
  if (cache_->revision() != Revision()) {
    on_snapshot_(false);
  }
}

void FleetService::RecordLive(const std::string& ip, const std::string& reported_by, Instant now) {
  live_peers_.insert(ip);
  log_->Write("peer_live", {{"peer", ip}, {"told_by", reported_by}}, now);
  is_fleet_size_stale_ = true;
}

void FleetService::ReceiveLoadReport(const std::string& ip, const PeerLoadReport& load,
                                     Instant now) {
  if (load.upstream_loads.empty() && load.strikes.empty() && !last_report_had_load_) {
    return;
  }
  if (!load.strikes.empty()) {
    gateway_->crash_guard().Merge(load.strikes, now);
  }
  loads_.ReplaceReport(ip, load.upstream_loads, now);
  UpdatePeerCalls(now);
  std::unordered_map<std::uint64_t, const PeerUpstreamLoad*> upstream_loads;
  for (const auto& upstream_load : load.upstream_loads) {
    upstream_loads[upstream_load.upstream] = &upstream_load;
  }
  for (const auto& [id, upstream] : gateway_->balancer().upstreams()) {
    const auto upstream_load = upstream_loads.find(upstream->hash());
    if (upstream_load != upstream_loads.end() && upstream_load->second->age_ms != 0) {
      upstream->RecordPeerSlowdown(upstream_load->second->slowdown_percent / kPercent,
                                   now - std::chrono::milliseconds(upstream_load->second->age_ms));
    }
  }
}

void FleetService::UpdatePeerCalls(Instant now) {
  if (loads_.empty()) {
    return;
  }
  const auto in_flight_by_upstream = loads_.InFlightByUpstream(now);
  for (const auto& [id, upstream] : gateway_->balancer().upstreams()) {
    const auto in_flight = in_flight_by_upstream.find(upstream->hash());
    upstream->SetPeerInFlight(in_flight == in_flight_by_upstream.end() ? 0 : in_flight->second);
  }
}

void FleetService::ReceiveChange(const FleetMember& sender, const std::string& change,
                                 Instant now) {
  if (sender.published_revision <= cache_->revision()) {
    return;
  }
  if (change.size() > kMaxInlineChangeBytes) {
    log_->Write("peer_change", {{"peer", sender.ip}, {"outcome", "above the size limit"}}, now);
    return;
  }
  const auto snapshot = DecodePublishedSnapshot(change, kMaxInflatedChangeBytes);
  if (!snapshot.ok()) {
    log_->Write("peer_change", {{"peer", sender.ip}, {"outcome", MessageOf(snapshot.status())}},
                now);
    return;
  }
  if (snapshot->after > cache_->revision()) {
    // An earlier change was missed; both are fetched with the next snapshot.
    return;
  }
  const bool changed = cache_->Merge(*snapshot, now);
  log_->Write("peer_change",
              {{"peer", sender.ip},
               {"revision", std::to_string(snapshot->revision.value())},
               {"outcome", changed ? "taken" : "unchanged"}},
              now);
  on_snapshot_(changed);
  if (table_.IsLocal(sender)) {
    return;
  }
  table_.SetPublishedRevision(cache_->revision());
  FleetMessage message;
  message.members = {table_.self()};
  message.change = change;
  const auto datagram = EncodeFleetMessage(message);
  for (const auto& ip : table_.LocalPeers(now)) {
    Send(ip, datagram);
  }
}

}  // namespace primroseweir
