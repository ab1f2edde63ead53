#include "primroseweir/membership/gossip_node.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

#include "primroseweir/limits/crash_guard.h"
#include "primroseweir/peer/usage_datagram.h"

namespace primroseweir {
namespace {

// Capacity of the byte bucket, in seconds of the byte rate, and the share of it that the size limit
// of periodic datagrams leaves for urgent ones.
constexpr double kBucketCapacitySeconds = 1.0;
constexpr double kUrgentReserveShare = 0.5;
// Share of it that reports of the use of quotas leave for periodic and urgent datagrams. Half of
// the reserve above: periodic datagrams use up what exceeds that one.
constexpr double kUsageReserveShare = 0.25;
// Smallest size limit of a periodic datagram: room for the header, the sender's record and a few
// more.
constexpr std::size_t kMinDatagramBytes = 256;
// Byte budget that urgent datagrams leave for the three periodic datagrams of the next gossip
// period. Without it, only 65 of 150 periodic datagrams were sent in ten seconds under a flood of
// urgent items.
constexpr double kPeriodicReserveBytes = 3 * (kMinDatagramBytes + GossipNode::kIpUdpHeaderBytes);
// Share of the room that full records of new or changed members may take, so that they don't crowd
// out the heartbeats of known members while a fleet starts.
constexpr std::size_t kNewMembersPercent = 35;
// Share of the room left by changes that heartbeats may take; load reports take the rest.
constexpr std::size_t kHeartbeatPercent = 60;
// Limit on the observations requested from the provider per gossip round; more never fit into a
// datagram.
constexpr std::size_t kMaxObservations = 64;
// Unused: GossipHooks::newest_strikes is not called.
constexpr std::size_t kMaxStrikesPerTick = 16;
// Number of times that a change is sent per doubling of the fleet size. 3 reaches every member with
// high probability (SWIM, section 4.1); one more allows for lost datagrams.
constexpr std::size_t kRumorSendsPerDoubling = 4;
// Strikes older than the quarantine time (10 minutes) no longer count and are dropped on receipt.
constexpr Duration kStrikeLifetime = CrashGuard::kQuarantineTime;
// Difference between the clocks of instances up to which a message is not treated as a replay.
constexpr std::int64_t kClockToleranceMicroseconds = 60'000'000;
// Limits on the senders and strikes remembered, against unbounded memory growth.
constexpr std::size_t kMaxTrackedSenders = 8'192;
constexpr std::size_t kMaxTrackedStrikes = 4'096;

}  // namespace

GossipNode::GossipNode(const GossipSettings& settings, const GossipHooks* hooks,
                       const MessageSigner* signer, Instant now)
    : settings_(settings),
      hooks_(hooks),
      signer_(signer),
      random_(settings.random_seed),
      table_(settings.self, settings.timeouts, now),
      byte_budget_(settings.bytes_per_second, settings.bytes_per_second * kBucketCapacitySeconds,
                   now),
      urgent_budget_(settings.urgent_datagrams_per_second, settings.urgent_datagrams_per_second,
                     now) {}

// ---- receiving ----

Duration GossipNode::MessageLag(const GossipHeader& header, HybridTime received_at) {
  if (newest_sent_at_.size() > kMaxTrackedSenders) newest_sent_at_.clear();
  const auto [entry, inserted] =
      newest_sent_at_.try_emplace({header.sender, header.incarnation}, header.sent_at);
  std::int64_t lag = entry->second.microseconds - header.sent_at.microseconds;
  if (inserted) {
    lag = received_at.microseconds - header.sent_at.microseconds - kClockToleranceMicroseconds;
  }
  entry->second = std::max(entry->second, header.sent_at);
  return std::chrono::microseconds(std::max<std::int64_t>(0, lag));
}

bool GossipNode::Receive(GossipMessage message, Duration waited, HybridTime received_at,
                         Instant now) {
  const Duration age = waited + MessageLag(message.header, received_at);
  bool changed = false;
  for (const MemberRecord& record : message.members) {
    changed = table_.Receive(record, age, now) || changed;
  }
  changed = table_.ReceiveHeartbeats(message.heartbeats, age, now) || changed;
  QueueMemberChanges(now);
  ReceiveObservations(std::move(message.observations), age, now);
  ReceiveStrikes(std::move(message.strikes), age, now);
  return changed;
}

void GossipNode::QueueMemberChanges(Instant now) {
  for (const MemberRecord& record : table_.TakeChanges()) {
    member_rumors_.Put({record.member.id, record.member.incarnation}, record, now);
  }
}

void GossipNode::ReceiveObservations(std::vector<UpstreamObservation> observations, Duration age,
                                     Instant now) {
  if (observations.empty()) return;
  for (UpstreamObservation& observation : observations) {
    if (observation.report) observation.report->age += age;
    if (changes_.RecordChange(observation)) upstream_rumors_.Put(observation.id, observation, now);
  }
  if (hooks_->merge_observations) hooks_->merge_observations(observations, now);
}

void GossipNode::ReceiveStrikes(std::vector<CrashStrike> strikes, Duration age, Instant now) {
  for (CrashStrike& strike : strikes) strike.age += age;
  strikes.erase(
      std::remove_if(strikes.begin(), strikes.end(),
                     [](const CrashStrike& strike) { return strike.age >= kStrikeLifetime; }),
      strikes.end());
  if (strikes.empty()) return;
  for (const CrashStrike& strike : strikes) RecordStrike(strike, now);
  if (hooks_->merge_strikes) hooks_->merge_strikes(strikes, now);
}

void GossipNode::RecordStrike(const CrashStrike& strike, Instant now) {
  if (newest_strike_times_.size() > kMaxTrackedStrikes) newest_strike_times_.clear();
  const StrikeKey key{strike.fingerprint, strike.upstream, strike.succeeded};
  const Instant occurred_at = now - strike.age;
  const auto [known, inserted] = newest_strike_times_.emplace(key, occurred_at);
  if (!inserted && occurred_at < known->second + CrashGuard::kSameEventWindow) return;
  known->second = occurred_at;
  strike_rumors_.Put(key, strike, now);
}

void GossipNode::RecordSnapshot(const std::vector<UpstreamObservation>& observations) {
  for (const UpstreamObservation& observation : observations) changes_.RecordKnown(observation);
}

// ---- building datagrams ----

GossipHeader GossipNode::MakeHeader(HybridTime sent_at) {
  GossipHeader header;
  header.sender = settings_.self.id;
  header.incarnation = settings_.self.incarnation;
  header.sent_at = sent_at;
  if (hooks_->configuration_state) header.configuration = hooks_->configuration_state();
  table_.SetRevision(header.configuration.revision);
  return header;
}

DatagramPacker GossipNode::StartDatagram(const GossipHeader& header, std::size_t limit) {
  DatagramPacker packer(header, limit);
  packer.Add(table_.SelfRecord());
  return packer;
}

std::size_t GossipNode::MaxRumorSends() const {
  const auto members = static_cast<double>(table_.LiveCount() + 1);
  return kRumorSendsPerDoubling * static_cast<std::size_t>(std::ceil(std::log2(members + 1)));
}

GossipNode::AddedRumors GossipNode::AddRumors(DatagramPacker* packer, Instant now) {
  AddedRumors added;
  for (const auto* rumor : strike_rumors_.InSendOrder()) {
    CrashStrike strike = rumor->value;
    strike.age += now - rumor->queued_at;
    if (!packer->Add(strike)) break;
    added.strikes.push_back(rumor->key);
  }
  const std::size_t members_end = packer->size() + packer->room() * kNewMembersPercent / 100;
  for (const auto* rumor : member_rumors_.InSendOrder()) {
    MemberRecord record = rumor->value;
    record.age += now - rumor->queued_at;
    if (packer->size() >= members_end || !packer->Add(record)) break;
    added.members.push_back(rumor->key);
  }
  for (const auto* rumor : upstream_rumors_.InSendOrder()) {
    UpstreamObservation observation = rumor->value;
    if (observation.report) observation.report->age += now - rumor->queued_at;
    if (!packer->Add(observation)) break;
    added.observations.push_back(rumor->key);
  }
  return added;
}

void GossipNode::RecordSent(const AddedRumors& added) {
  const std::size_t limit = MaxRumorSends();
  for (const StrikeKey& key : added.strikes) strike_rumors_.RecordSent(key, limit);
  for (const MemberKey& key : added.members) member_rumors_.RecordSent(key, limit);
  for (const UpstreamId& key : added.observations) upstream_rumors_.RecordSent(key, limit);
}

void GossipNode::AddPeriodicRecords(const std::vector<MemberRecord>& members,
                                    const std::vector<UpstreamObservation>& observations,
                                    DatagramPacker* packer) {
  // Adds one full record at random, for receivers that don't know that member yet.
  if (!members.empty()) packer->Add(members[random_.UniformBelow(members.size())]);
  AddHeartbeats(packer);
  for (const UpstreamObservation& observation : observations) {
    if (!packer->Add(observation)) break;
  }
}

void GossipNode::AddHeartbeats(DatagramPacker* packer) {
  SeatHeartbeats all = table_.Heartbeats();
  if (all.counters.empty()) return;
  // The heartbeats of a fleet that is too large for one datagram are spread over several datagrams.
  if (next_heartbeat_seat_ >= all.counters.size()) next_heartbeat_seat_ = 0;
  all.first_seat = next_heartbeat_seat_;
  all.counters.erase(all.counters.begin(),
                     all.counters.begin() + static_cast<std::ptrdiff_t>(next_heartbeat_seat_));
  next_heartbeat_seat_ += packer->AddHeartbeats(all, packer->room() * kHeartbeatPercent / 100);
}

bool GossipNode::TryAcquireBytes(std::size_t bytes, Instant now) {
  return byte_budget_.TryAcquire(static_cast<double>(bytes + kIpUdpHeaderBytes), now);
}

std::size_t GossipNode::PeriodicDatagramLimit(std::size_t datagrams, Instant now) {
  const double level = byte_budget_.Level(now);
  const double reserve = kUrgentReserveShare * settings_.bytes_per_second * kBucketCapacitySeconds;
  const double share = (level - reserve) / static_cast<double>(datagrams) - kIpUdpHeaderBytes;
  const double limit = std::clamp(share, static_cast<double>(kMinDatagramBytes),
                                  static_cast<double>(DatagramPacker::kMaxDatagramBytes));
  return static_cast<std::size_t>(limit);
}

void GossipNode::QueueObservationChanges(const std::vector<UpstreamObservation>& observations,
                                         Instant now) {
  for (const UpstreamObservation& observation : observations) {
    if (changes_.RecordKnown(observation)) upstream_rumors_.Put(observation.id, observation, now);
  }
}

std::vector<OutgoingDatagram> GossipNode::Tick(HybridTime sent_at, Instant now,
                                               bool* membership_changed) {
  const bool changed = table_.Tick(now);
  if (membership_changed != nullptr) *membership_changed = changed;
  const std::vector<SocketAddress> targets = table_.PickGossipTargets(settings_.seeds, &random_);
  const std::vector<MemberRecord> members = table_.RecordsNewestFirst();
  std::vector<UpstreamObservation> observations;
  if (hooks_->newest_observations) observations = hooks_->newest_observations(kMaxObservations);
  QueueObservationChanges(observations, now);
  const GossipHeader header = MakeHeader(sent_at);
  std::vector<OutgoingDatagram> datagrams;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    DatagramPacker packer = StartDatagram(header, PeriodicDatagramLimit(targets.size() - i, now));
    const AddedRumors added = AddRumors(&packer, now);
    AddPeriodicRecords(members, observations, &packer);
    if (!TryAcquireBytes(packer.size(), now)) break;
    RecordSent(added);
    datagrams.push_back({targets[i], packer.Finish(*signer_)});
  }
  return datagrams;
}

// ---- urgent datagrams ----

void GossipNode::QueueUrgent(const UrgentItems& items, Instant now) {
  for (const UpstreamObservation& observation : items.observations) {
    changes_.RecordChange(observation);
    upstream_rumors_.Put(observation.id, observation, now);
  }
  for (const CrashStrike& strike : items.strikes) RecordStrike(strike, now);
  urgent_targets_ = table_.LivePeers(kMaxUrgentTargets, &random_);
}

std::vector<OutgoingDatagram> GossipNode::UrgentDatagrams(HybridTime sent_at, Instant now) {
  std::vector<OutgoingDatagram> datagrams;
  if (urgent_targets_.empty()) return datagrams;
  const GossipHeader header = MakeHeader(sent_at);
  while (!urgent_targets_.empty() && urgent_budget_.Level(now) >= 1) {
    DatagramPacker packer = StartDatagram(header, DatagramPacker::kMaxDatagramBytes);
    const AddedRumors added = AddRumors(&packer, now);
    const auto bytes_left =
        byte_budget_.Level(now) - static_cast<double>(packer.size() + kIpUdpHeaderBytes);
    if (bytes_left < kPeriodicReserveBytes || !TryAcquireBytes(packer.size(), now)) break;
    RecordSent(added);
    urgent_budget_.TryAcquire(1, now);
    datagrams.push_back({urgent_targets_.back(), packer.Finish(*signer_)});
    urgent_targets_.pop_back();
  }
  return datagrams;
}

// ---- use of quotas ----

std::vector<SocketAddress> GossipNode::PickUsageTargets(Instant now) {
  const MembershipView view = table_.View();
  std::set<InstanceId> active;
  if (hooks_->usage_targets) active = hooks_->usage_targets(view, now);
  std::vector<SocketAddress> targets;
  std::vector<SocketAddress> others;
  for (const Member& member : view.members) {
    if (member.state == MemberState::kDead || member.id == settings_.self.id) continue;
    (active.count(member.id) > 0 ? targets : others).push_back(member.peer_address);
  }
  if (!targets.empty()) {
    next_usage_target_ %= targets.size();
    std::rotate(targets.begin(), targets.begin() + static_cast<std::ptrdiff_t>(next_usage_target_),
                targets.end());
  }
  for (std::size_t i = others.size(); i > 0 && targets.size() < kMaxUsageTargets; --i) {
    std::swap(others[i - 1], others[random_.UniformBelow(i)]);
    targets.push_back(others[i - 1]);
  }
  targets.resize(std::min(targets.size(), kMaxUsageTargets));
  return targets;
}

std::vector<OutgoingDatagram> GossipNode::UsageDatagrams(Instant now) {
  std::vector<OutgoingDatagram> datagrams;
  const auto usage = hooks_->usage_report ? hooks_->usage_report(now) : std::nullopt;
  if (!usage) return datagrams;
  const std::string bytes =
      EncodeUsage({settings_.self.id, settings_.self.incarnation, *usage}, *signer_);
  const double reserve = kUsageReserveShare * settings_.bytes_per_second * kBucketCapacitySeconds;
  for (const SocketAddress& target : PickUsageTargets(now)) {
    const auto bytes_left =
        byte_budget_.Level(now) - static_cast<double>(bytes.size() + kIpUdpHeaderBytes);
    if (bytes_left < reserve || !TryAcquireBytes(bytes.size(), now)) break;
    datagrams.push_back({target, bytes});
  }
  next_usage_target_ += datagrams.size();
  return datagrams;
}

// ---- queries ----

std::vector<OutgoingDatagram> GossipNode::QueryDatagrams(std::uint64_t query_id, HybridTime sent_at,
                                                         Instant now) {
  std::vector<SocketAddress> targets = table_.LivePeers(kMaxQueryTargets, &random_);
  if (targets.empty()) targets = settings_.seeds;
  GossipHeader header = MakeHeader(sent_at);
  header.query_id = query_id;
  std::vector<OutgoingDatagram> datagrams;
  for (const SocketAddress& target : targets) {
    const DatagramPacker packer = StartDatagram(header, DatagramPacker::kMaxDatagramBytes);
    if (!TryAcquireBytes(packer.size(), now)) break;
    datagrams.push_back({target, packer.Finish(*signer_)});
  }
  return datagrams;
}

std::vector<OutgoingDatagram> GossipNode::Respond(const GossipMessage& message, HybridTime sent_at,
                                                  Instant now) {
  GossipHeader header = MakeHeader(sent_at);
  header.response_to = message.header.query_id;
  const DatagramPacker packer = StartDatagram(header, DatagramPacker::kMaxDatagramBytes);
  if (!TryAcquireBytes(packer.size(), now)) return {};
  return {{message.members.front().member.peer_address, packer.Finish(*signer_)}};
}

}  // namespace primroseweir
