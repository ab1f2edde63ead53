#include "primroseweir/fleet/fleet_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "primroseweir/base/rendezvous.h"

namespace primroseweir {
namespace {

// Returns the load to put into the record: the recorded one unless the change is large enough.
std::uint32_t LoadToRecord(std::uint32_t recorded, std::uint32_t actual) {
  const double change = std::abs(static_cast<double>(actual) - recorded);
  const bool is_small =
      change <= FleetTable::kLoadChangeThreshold * std::max(recorded, FleetTable::kLoadChangeFloor);
  return is_small ? recorded : actual;
}

bool IsAcceptedName(const DataCentre& data_centre) {
  return data_centre.value().size() <= FleetTable::kMaxNameBytes;
}

// A record is kept for minutes and its address is used to send, so neither text may be arbitrary.
bool IsAccepted(const FleetMember& member) {
  const auto bits = AddressBits(member.ip);
  return bits != 0 && AddressText(bits) == member.ip && IsAcceptedName(member.data_centre);
}

bool IsNewer(const FleetMember& a, const FleetMember& b) {
  return std::make_pair(a.incarnation, a.heartbeat) > std::make_pair(b.incarnation, b.heartbeat);
}

}  // namespace

FleetTable::FleetTable(const FleetMember& self, std::uint64_t seed) : self_(self), random_(seed) {}

// ---- own state ----

void FleetTable::AdvanceHeartbeat(Instant now) {
  ++self_.heartbeat;
  first_heartbeat_ = std::min(first_heartbeat_, now);
  local_peer_count_ = static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [this, now](const auto& entry) {
        return IsLive(entry.second, now) && IsLocal(entry.second.member);
      }));
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = now - it->second.last_heartbeat_at > kSilentPeerRetention ? peers_.erase(it)
                                                                   : std::next(it);
  }
  for (auto it = record_requested_at_.begin(); it != record_requested_at_.end();) {
    it = now - it->second > kRecordRequestInterval ? record_requested_at_.erase(it) : std::next(it);
  }
}

void FleetTable::SetLoad(std::uint32_t calls_per_second, std::uint32_t kilobytes_per_second) {
  auto& capacity = self_.capacity;
  capacity.calls_per_second = LoadToRecord(capacity.calls_per_second, calls_per_second);
  capacity.kilobytes_per_second = LoadToRecord(capacity.kilobytes_per_second, kilobytes_per_second);
}

// ---- exchange ----

bool FleetTable::IsLive(const PeerEntry& peer_entry, Instant now) const {
  const Duration timeout = !IsLocal(peer_entry.member)            ? kRemoteHeartbeatTimeout
                           : local_peer_count_ <= kMaxDirectPeers ? kDirectHeartbeatTimeout
                                                                  : kRelayedHeartbeatTimeout;
  return now - peer_entry.last_heartbeat_at < timeout;
}

bool FleetTable::MakeRoomForPeer(Instant now) {
  if (peers_.size() < kMaxPeers) {
    return true;
  }
  if (now < no_room_until_) {
    return false;
  }
  const auto oldest =
      std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
        return a.second.last_heartbeat_at < b.second.last_heartbeat_at;
      });
  if (IsLive(oldest->second, now)) {
    no_room_until_ = now + kNoRoomRetryDelay;
    return false;
  }
  peers_.erase(oldest);
  return true;
}

FleetTable::PeerEntry FleetTable::PeerEntryOf(const FleetMember& member, Instant now) {
  return {member, now, Instant(), AddressBits(member.ip), RecordDigest(member)};
}

FleetHeartbeat FleetTable::HeartbeatOf(const PeerEntry& peer_entry) {
  return {peer_entry.address, peer_entry.record_digest,
          static_cast<std::uint16_t>(peer_entry.member.heartbeat)};
}

bool FleetTable::Merge(const FleetMember& member, Instant now) {
  if (member.ip == self_.ip) {
    if (member.incarnation >= self_.incarnation && IsNewer(member, self_)) {
      self_.incarnation = member.incarnation.Next();
    }
    return false;
  }
  const auto found = peers_.find(member.ip);
  if (found == peers_.end()) {
    if (!IsAccepted(member) || !MakeRoomForPeer(now)) {
      return false;
    }
    peers_[member.ip] = PeerEntryOf(member, now);
    return true;
  }
  auto& peer_entry = found->second;
  if (!IsNewer(member, peer_entry.member) || !IsAccepted(member)) {
    return false;
  }
  // An instance that restarted before it timed out has lost what it knew of the fleet.
  const bool was_live_already =
      IsLive(peer_entry, now) && peer_entry.member.incarnation == member.incarnation;
  peer_entry = PeerEntryOf(member, now);
  return !was_live_already;
}

std::optional<FleetMember> FleetTable::EarlierIncarnation(const FleetMember& sender) const {
  const auto found = peers_.find(sender.ip);
  if (found == peers_.end() || found->second.member.incarnation <= sender.incarnation) {
    return std::nullopt;
  }
  return found->second.member;
}

std::vector<FleetMember> FleetTable::OwnRecords(Instant now) const {
  std::vector<FleetMember> records{self_};
  if (const auto up_to_date_peer = MostUpToDatePeer(now)) {
    records.push_back(*up_to_date_peer);
  }
  return records;
}

std::vector<FleetHeartbeat> FleetTable::HeartbeatsFor(const DataCentre& receiver,
                                                      Instant now) const {
  std::vector<FleetHeartbeat> heartbeats;
  std::map<DataCentre, std::size_t> introduced_counts;
  for (const auto& [ip, peer_entry] : peers_) {
    const auto& data_centre = peer_entry.member.data_centre;
    const bool include_all = data_centre == self_.data_centre || data_centre == receiver;
    if (IsLive(peer_entry, now) &&
        (include_all || introduced_counts[data_centre]++ < kIntroducedPeers)) {
      heartbeats.push_back(HeartbeatOf(peer_entry));
    }
  }
  return heartbeats;
}

std::vector<FleetHeartbeat> FleetTable::AllHeartbeats(Instant now) const {
  std::vector<FleetHeartbeat> heartbeats;
  for (const auto& [ip, peer_entry] : peers_) {
    if (IsLive(peer_entry, now)) {
      heartbeats.push_back(HeartbeatOf(peer_entry));
    }
  }
  return heartbeats;
}

bool FleetTable::HasRoomForForwarded(const DataCentre& from) const {
  return IsAcceptedName(from) &&
         (forwarded_at_.size() < kMaxDataCentres || forwarded_at_.count(from) > 0);
}

bool FleetTable::TryAcquireForwardTurn(const DataCentre& from, Instant now) {
  if (!HasRoomForForwarded(from)) {
    return false;
  }
  const auto [forwarded, is_first] = forwarded_at_.try_emplace(from, now);
  if (!is_first && now - forwarded->second < kMinForwardInterval) {
    return false;
  }
  forwarded->second = now;
  return true;
}

std::vector<FleetHeartbeat> FleetTable::HeartbeatsToForward(
    const std::vector<FleetHeartbeat>& heartbeats) const {
  std::vector<FleetHeartbeat> to_forward;
  std::copy_if(heartbeats.begin(), heartbeats.end(), std::back_inserter(to_forward),
               [this](const auto& heartbeat) {
                 const auto ip = AddressText(heartbeat.address);
                 const auto found = peers_.find(ip);
                 const bool is_local = found != peers_.end() && IsLocal(found->second.member);
                 return !is_local && ip != self_.ip;
               });
  return to_forward;
}

bool FleetTable::TryAcquireRecordRequest(const std::string& ip, Instant now) {
  if (record_requested_at_.size() >= kMaxPeers && record_requested_at_.count(ip) == 0) {
    return false;
  }
  const auto [requested, is_first] = record_requested_at_.try_emplace(ip, now);
  if (!is_first && now - requested->second < kRecordRequestInterval) {
    return false;
  }
  requested->second = now;
  return true;
}

FleetTable::HeartbeatChanges FleetTable::ReceiveHeartbeats(
    const std::vector<FleetHeartbeat>& heartbeats, Instant now) {
  HeartbeatChanges changes;
  for (const auto& heartbeat : heartbeats) {
    const auto ip = AddressText(heartbeat.address);
    if (ip == self_.ip) {
      continue;
    }
    const auto found = peers_.find(ip);
    const bool has_record =
        found != peers_.end() && found->second.record_digest == heartbeat.record_digest;
    const auto advance =
        has_record ? HeartbeatsBetween(found->second.member.heartbeat, heartbeat.heartbeat) : 0;
    if (!has_record || advance < kMinHeartbeatDistance) {
      if (changes.requested_records.size() < kMaxRequestedRecords &&
          TryAcquireRecordRequest(ip, now)) {
        changes.requested_records.push_back(ip);
      }
    } else if (advance > 0) {
      if (!IsLive(found->second, now)) {
        changes.recovered.push_back(ip);
      }
      found->second.member.heartbeat += static_cast<std::uint64_t>(advance);
      found->second.last_heartbeat_at = now;
    }
  }
  return changes;
}

std::vector<FleetMember> FleetTable::RecordsOf(const std::vector<std::string>& ips,
                                               Instant now) const {
  std::vector<FleetMember> records{self_};
  for (const auto& ip : ips) {
    const auto found = peers_.find(ip);
    if (found != peers_.end() && IsLive(found->second, now)) {
      records.push_back(found->second.member);
    }
  }
  return records;
}

std::vector<FleetMember> FleetTable::StoreReaderRecords(Instant now) const {
  std::vector<FleetMember> records{self_};
  for (const auto& [ip, peer_entry] : peers_) {
    if (peer_entry.member.reads_store && IsLive(peer_entry, now)) {
      records.push_back(peer_entry.member);
    }
  }
  return records;
}

FleetTable::GossipTargets FleetTable::PickGossipTargets(std::uint64_t heartbeat_count,
                                                        Instant now) {
  std::vector<std::string> local;
  std::map<DataCentre, std::vector<std::string>> remote;
  std::vector<std::string> timed_out;
  for (const auto& [ip, peer_entry] : peers_) {
    if (!IsLive(peer_entry, now)) {
      timed_out.push_back(ip);
    } else if (IsLocal(peer_entry.member)) {
      local.push_back(ip);
    } else {
      remote[peer_entry.member.data_centre].push_back(ip);
    }
  }
  GossipTargets targets;
  if (local.size() <= kMaxDirectPeers) {
    targets.own_record_only = std::move(local);
  } else if (heartbeat_count % 2 == 0) {
    RetainRecentlyActive(&local, now);
    while (targets.heartbeats.size() < kGossipFanout) {
      targets.heartbeats.emplace_back(TakeRandom(&local), self_.data_centre);
    }
  }
  const auto rank = LocalRank(now);
  const auto phase = rank * kHeartbeatsPerRemoteRound / kMaxRepresentatives;
  if (rank >= kMaxRepresentatives || (heartbeat_count + phase) % kHeartbeatsPerRemoteRound != 0) {
    return targets;
  }
  for (auto& [data_centre, ips] : remote) {
    RetainRecentlyActive(&ips, now);
    targets.heartbeats.emplace_back(TakeRandom(&ips), data_centre);
  }
  if (!timed_out.empty()) {
    const auto ip = TakeRandom(&timed_out);
    targets.heartbeats.emplace_back(ip, peers_.at(ip).member.data_centre);
  }
  return targets;
}

// Removes instances without a recent heartbeat, unless too few would be left. After the loss of
// most of a data centre, the lost instances would otherwise get most of the messages until they
// time out.
void FleetTable::RetainRecentlyActive(std::vector<std::string>* ips, Instant now) const {
  const auto recent_end = std::partition(ips->begin(), ips->end(), [&](const std::string& ip) {
    return now - peers_.at(ip).last_heartbeat_at < kRecentHeartbeatWindow;
  });
  if (recent_end - ips->begin() >= static_cast<std::ptrdiff_t>(kGossipFanout)) {
    ips->erase(recent_end, ips->end());
  }
}

// Returns the position of this instance among the live ones of its data centre, by address hash.
std::size_t FleetTable::LocalRank(Instant now) const {
  const auto own_hash = StableHash(self_.ip);
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [this, own_hash, now](const auto& entry) {
        const auto& [ip, peer_entry] = entry;
        return IsLive(peer_entry, now) && IsLocal(peer_entry.member) && StableHash(ip) < own_hash;
      }));
}

// Removes and returns a random one of `ips`, which is not empty.
std::string FleetTable::TakeRandom(std::vector<std::string>* ips) {
  const auto position = random_.UniformBelow(ips->size());
  std::swap((*ips)[position], ips->back());
  auto ip = std::move(ips->back());
  ips->pop_back();
  return ip;
}

// ---- view ----

std::vector<FleetMember> FleetTable::LivePeers(Instant now) const {
  std::vector<FleetMember> live;
  for (const auto& [ip, peer_entry] : peers_) {
    if (IsLive(peer_entry, now)) {
      live.push_back(peer_entry.member);
    }
  }
  return live;
}

bool FleetTable::IsLivePeer(const std::string& ip, Instant now) const {
  const auto found = peers_.find(ip);
  return found != peers_.end() && IsLive(found->second, now);
}

std::vector<std::string> FleetTable::LocalPeers(Instant now) const {
  std::vector<std::string> ips;
  for (const auto& [ip, peer_entry] : peers_) {
    if (IsLocal(peer_entry.member) && IsLive(peer_entry, now)) {
      ips.push_back(ip);
    }
  }
  return ips;
}

std::vector<std::string> FleetTable::ChangeTargets(Instant now) const {
  auto ips = LocalPeers(now);
  std::map<DataCentre, std::vector<const FleetMember*>> remote;
  for (const auto& [ip, peer_entry] : peers_) {
    if (!IsLocal(peer_entry.member) && IsLive(peer_entry, now)) {
      remote[peer_entry.member.data_centre].push_back(&peer_entry.member);
    }
  }
  for (auto& [data_centre, members] : remote) {
    const auto count = std::min(kRelaysPerDataCentre, members.size());
    // Picks those with the fastest links, since they forward the change to all the others.
    std::partial_sort(
        members.begin(), members.begin() + static_cast<std::ptrdiff_t>(count), members.end(),
        [](const FleetMember* a, const FleetMember* b) { return ReaderRank(*a) < ReaderRank(*b); });
    for (std::size_t i = 0; i < count; ++i) {
      ips.push_back(members[i]->ip);
    }
  }
  return ips;
}

std::optional<FleetMember> FleetTable::MostUpToDatePeer(Instant now) const {
  std::optional<FleetMember> best;
  for (const auto& [ip, peer_entry] : peers_) {
    const auto& member = peer_entry.member;
    if (!IsLive(peer_entry, now) || member.published_revision <= self_.published_revision) {
      continue;
    }
    // The hash spreads the instances that copy from peers over those that are equally up to date.
    const auto rank = [this](const FleetMember& m) {
      return std::make_tuple(m.published_revision, IsLocal(m), StableHash(self_.ip + m.ip));
    };
    if (!best || rank(member) > rank(*best)) {
      best = member;
    }
  }
  return best;
}

std::size_t FleetTable::PeakSize(Instant now) const {
  if (peers_.empty()) {
    return kUnknownFleetSize;
  }
  const auto recent_peers = std::count_if(peers_.begin(), peers_.end(), [now](const auto& entry) {
    return now - entry.second.last_heartbeat_at < kPeakSizeWindow;
  });
  return static_cast<std::size_t>(recent_peers) + 1;
}

FleetTable::Census FleetTable::Count(Instant now) const {
  Census census;
  for (const auto& [ip, peer_entry] : peers_) {
    const bool is_live = IsLive(peer_entry, now);
    census.live += is_live ? 1 : 0;
    census.possible += is_live || peer_entry.stopped_at < peer_entry.last_heartbeat_at ? 1 : 0;
  }
  return census;
}

std::vector<std::string> FleetTable::SilentPeers(Instant now) const {
  std::vector<std::string> silent;
  for (const auto& [ip, peer_entry] : peers_) {
    if (!IsLive(peer_entry, now) && peer_entry.stopped_at < peer_entry.last_heartbeat_at) {
      silent.push_back(ip);
    }
  }
  return silent;
}

void FleetTable::RecordStopped(const std::string& ip, Instant now) {
  const auto found = peers_.find(ip);
  if (found != peers_.end()) {
    found->second.stopped_at = now;
  }
}

}  // namespace primroseweir
