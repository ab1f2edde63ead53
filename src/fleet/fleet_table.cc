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

// The load to state, given the one stated before.
std::uint32_t StatedLoad(std::uint32_t stated, std::uint32_t actual) {
  const double change = std::abs(static_cast<double>(actual) - stated);
  const bool same =
      change <= FleetTable::kLoadChangeThreshold * std::max(stated, FleetTable::kMinReportedLoad);
  return same ? stated : actual;
}

bool Newer(const FleetMember& a, const FleetMember& b) {
  return std::make_pair(a.incarnation, a.heartbeat) > std::make_pair(b.incarnation, b.heartbeat);
}

}  // namespace

FleetTable::FleetTable(const FleetMember& self, std::uint64_t seed) : self_(self), random_(seed) {}

// ---- own state ----

void FleetTable::AdvanceHeartbeat(Instant now) {
  ++self_.heartbeat;
  first_heartbeat_ = std::min(first_heartbeat_, now);
  local_peers_ = static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [this, now](const auto& entry) {
        return IsLive(entry.second, now) && IsLocal(entry.second.member);
      }));
  for (auto it = peers_.begin(); it != peers_.end();) {
    it = now - it->second.heard > kSilentPeerRetention ? peers_.erase(it) : std::next(it);
  }
  for (auto it = record_requested_at_.begin(); it != record_requested_at_.end();) {
    it = now - it->second > kRecordRequestInterval ? record_requested_at_.erase(it) : std::next(it);
  }
}

void FleetTable::SetLoad(std::uint32_t calls, std::uint32_t kilobytes) {
  auto& capacity = self_.capacity;
  capacity.calls = StatedLoad(capacity.calls, calls);
  capacity.kilobytes = StatedLoad(capacity.kilobytes, kilobytes);
}

// ---- exchange ----

bool FleetTable::IsLive(const PeerEntry& peer_entry, Instant now) const {
  const Duration silence = !IsLocal(peer_entry.member)       ? kRemoteHeartbeatTimeout
                           : local_peers_ <= kMaxDirectPeers ? kDirectHeartbeatTimeout
                                                             : kRelayedHeartbeatTimeout;
  return now - peer_entry.heard < silence;
}

FleetTable::PeerEntry FleetTable::PeerEntryOf(const FleetMember& member, Instant now) {
  return {member, now, AddressBits(member.ip), RecordDigest(member)};
}

FleetHeartbeat FleetTable::HeartbeatOf(const PeerEntry& peer_entry) {
  return {peer_entry.address, peer_entry.record_digest,
          static_cast<std::uint16_t>(peer_entry.member.heartbeat)};
}

bool FleetTable::Merge(const FleetMember& member, Instant now) {
  if (member.ip == self_.ip) {
    if (member.incarnation >= self_.incarnation && Newer(member, self_)) {
      self_.incarnation = member.incarnation.Next();
    }
    return false;
  }
  const auto found = peers_.find(member.ip);
  if (found == peers_.end()) {
    peers_[member.ip] = PeerEntryOf(member, now);
    return true;
  }
  auto& peer_entry = found->second;
  if (!Newer(member, peer_entry.member)) {
    return false;
  }
  // A process that restarted within its silence knows nothing of what it was told before.
  const bool same_life =
      IsLive(peer_entry, now) && peer_entry.member.incarnation == member.incarnation;
  peer_entry = PeerEntryOf(member, now);
  return !same_life;
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
  if (const auto ahead = MostUpToDatePeer(now)) {
    records.push_back(*ahead);
  }
  return records;
}

std::vector<FleetHeartbeat> FleetTable::HeartbeatsFor(const DataCentre& receiver,
                                                      Instant now) const {
  std::vector<FleetHeartbeat> heartbeats;
  std::map<DataCentre, std::size_t> introduced;
  for (const auto& [ip, peer_entry] : peers_) {
    const auto& data_centre = peer_entry.member.data_centre;
    const bool whole = data_centre == self_.data_centre || data_centre == receiver;
    if (IsLive(peer_entry, now) && (whole || introduced[data_centre]++ < kIntroducedPeers)) {
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

bool FleetTable::TryAcquireForwardTurn(const DataCentre& from, Instant now) {
  const auto [last, first] = forwarded_at_.try_emplace(from, now);
  if (!first && now - last->second < kMinForwardInterval) {
    return false;
  }
  last->second = now;
  return true;
}

std::vector<FleetHeartbeat> FleetTable::HeartbeatsToForward(
    const std::vector<FleetHeartbeat>& heartbeats) const {
  std::vector<FleetHeartbeat> passed;
  std::copy_if(heartbeats.begin(), heartbeats.end(), std::back_inserter(passed),
               [this](const auto& heartbeat) {
                 const auto ip = AddressText(heartbeat.address);
                 const auto found = peers_.find(ip);
                 const bool near = found != peers_.end() && IsLocal(found->second.member);
                 return !near && ip != self_.ip;
               });
  return passed;
}

bool FleetTable::TryAcquireRecordRequest(const std::string& ip, Instant now) {
  const auto [asked, first] = record_requested_at_.try_emplace(ip, now);
  if (!first && now - asked->second < kRecordRequestInterval) {
    return false;
  }
  asked->second = now;
  return true;
}

FleetTable::HeartbeatChanges FleetTable::ReceiveHeartbeats(
    const std::vector<FleetHeartbeat>& heartbeats, Instant now) {
  HeartbeatChanges heard;
  for (const auto& heartbeat : heartbeats) {
    const auto ip = AddressText(heartbeat.address);
    if (ip == self_.ip) {
      continue;
    }
    const auto found = peers_.find(ip);
    const bool same =
        found != peers_.end() && found->second.record_digest == heartbeat.record_digest;
    const auto later =
        same ? HeartbeatsBetween(found->second.member.heartbeat, heartbeat.heartbeat) : 0;
    if (!same || later < kMinHeartbeatDistance) {
      if (heard.requested_records.size() < kMaxRequestedRecords &&
          TryAcquireRecordRequest(ip, now)) {
        heard.requested_records.push_back(ip);
      }
    } else if (later > 0) {
      if (!IsLive(found->second, now)) {
        heard.recovered.push_back(ip);
      }
      found->second.member.heartbeat += static_cast<std::uint64_t>(later);
      found->second.heard = now;
    }
  }
  return heard;
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

FleetTable::GossipTargets FleetTable::PickGossipTargets(std::uint64_t heartbeats, Instant now) {
  std::vector<std::string> near;
  std::map<DataCentre, std::vector<std::string>> far;
  std::vector<std::string> silent;
  for (const auto& [ip, peer_entry] : peers_) {
    if (!IsLive(peer_entry, now)) {
      silent.push_back(ip);
    } else if (IsLocal(peer_entry.member)) {
      near.push_back(ip);
    } else {
      far[peer_entry.member.data_centre].push_back(ip);
    }
  }
  GossipTargets targets;
  if (near.size() <= kMaxDirectPeers) {
    targets.own_record_only = std::move(near);
  } else if (heartbeats % 2 == 0) {
    RetainRecentlyHeard(&near, now);
    while (targets.heartbeats.size() < kGossipFanout) {
      targets.heartbeats.emplace_back(TakeRandom(&near), self_.data_centre);
    }
  }
  const auto rank = Rank(now);
  const auto turn = rank * kHeartbeatsPerRemoteRound / kMaxRepresentatives;
  if (rank >= kMaxRepresentatives || (heartbeats + turn) % kHeartbeatsPerRemoteRound != 0) {
    return targets;
  }
  for (auto& [data_centre, ips] : far) {
    RetainRecentlyHeard(&ips, now);
    targets.heartbeats.emplace_back(TakeRandom(&ips), data_centre);
  }
  if (!silent.empty()) {
    const auto ip = TakeRandom(&silent);
    targets.heartbeats.emplace_back(ip, peers_.at(ip).member.data_centre);
  }
  return targets;
}

// Drops those that were not heard of for a while, unless too few are left: after the loss of most
// of a data centre they would get most of the messages until they count as silent.
void FleetTable::RetainRecentlyHeard(std::vector<std::string>* ips, Instant now) const {
  const auto recent = std::partition(ips->begin(), ips->end(), [&](const std::string& ip) {
    return now - peers_.at(ip).heard < kRecentHeartbeatWindow;
  });
  if (recent - ips->begin() >= static_cast<std::ptrdiff_t>(kGossipFanout)) {
    ips->erase(recent, ips->end());
  }
}

// Place of this instance among the live ones of its data centre.
std::size_t FleetTable::Rank(Instant now) const {
  const auto own = StableHash(self_.ip);
  return static_cast<std::size_t>(
      std::count_if(peers_.begin(), peers_.end(), [this, own, now](const auto& entry) {
        const auto& [ip, peer_entry] = entry;
        return IsLive(peer_entry, now) && IsLocal(peer_entry.member) && StableHash(ip) < own;
      }));
}

// Takes one at random.
std::string FleetTable::TakeRandom(std::vector<std::string>* ips) {
  const auto position = random_.Below(ips->size());
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
  std::map<DataCentre, std::vector<const FleetMember*>> far;
  for (const auto& [ip, peer_entry] : peers_) {
    if (!IsLocal(peer_entry.member) && IsLive(peer_entry, now)) {
      far[peer_entry.member.data_centre].push_back(&peer_entry.member);
    }
  }
  for (auto& [data_centre, members] : far) {
    const auto count = std::min(kRelaysPerDataCentre, members.size());
    // Those with the best links: they pass the news on to all the others.
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
    if (!IsLive(peer_entry, now) || member.published <= self_.published) {
      continue;
    }
    // Equal ones share the load of those that follow.
    const auto rank = [this](const FleetMember& m) {
      return std::make_tuple(m.published, IsLocal(m), StableHash(self_.ip + m.ip));
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
  const auto recent = std::count_if(peers_.begin(), peers_.end(), [now](const auto& entry) {
    return now - entry.second.heard < kPeakSizeWindow;
  });
  return static_cast<std::size_t>(recent) + 1;
}

}  // namespace primroseweir
