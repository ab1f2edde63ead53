#include "primroseweir/membership/membership_table.h"

#include <algorithm>
#include <tuple>

#include "primroseweir/base/random.h"

namespace primroseweir {
namespace {

constexpr std::size_t kRandomTargets = 2;
constexpr std::size_t kContactsWhenIsolated = 3;
// Tombstones for several days at 860 instance restarts a day, the rate at the target fleet size.
constexpr std::size_t kMaxTombstones = 4'096;
// More than the number of members lost at once when the largest planned data centre fails.
constexpr std::size_t kMaxLostPeers = 256;

template <typename T>
void Shuffle(std::vector<T>* values, Random* random) {
  for (std::size_t i = values->size(); i > 1; --i) {
    std::swap((*values)[i - 1], (*values)[random->UniformBelow(i)]);
  }
}

// Returns whether `newer` is a later incarnation of the same instance at the same address, which
// proves that `older` has ended.
bool IsSuccessor(const Member& newer, const Member& older) {
  return newer.id == older.id && newer.peer_address == older.peer_address &&
         newer.incarnation > older.incarnation;
}

// A member declares its states in this order, so the latest of two declared states is the greater.
static_assert(MemberState::kAlive < MemberState::kLeaving);
static_assert(MemberState::kLeaving < MemberState::kDead);

}  // namespace

MembershipTable::MembershipTable(Member self, MembershipTimeouts timeouts, Instant now)
    : self_(std::move(self)), timeouts_(timeouts), last_advanced_at_(now) {}

void MembershipTable::AdvanceListeningTime(Instant now) {
  if (now <= last_advanced_at_) return;
  const Duration step = now - last_advanced_at_;
  if (step <= timeouts_.max_step) listening_time_ += step;
  last_advanced_at_ = now;
}

// ---- receiving ----

bool MembershipTable::Receive(const MemberRecord& received, Duration waited, Instant now) {
  AdvanceListeningTime(now);
  const Key key{received.member.id, received.member.incarnation};
  if (key == Key{self_.id, self_.incarnation}) return ReceiveSelfRecord(received);
  MemberRecord record = received;
  // Suspect is a conclusion of the forwarding instance, not declared by the member. The record's
  // age already carries this information.
  if (record.member.state == MemberState::kSuspect) record.member.state = MemberState::kAlive;
  if (IsSuccessor(self_, record.member)) record.member.state = MemberState::kDead;
  const auto tombstone = tombstones_.find(key);
  if (tombstone != tombstones_.end() && record.heartbeat <= tombstone->second) return false;
  const Duration last_heartbeat_at = listening_time_ - record.age - waited;
  const auto found = entries_.find(key);
  if (found == entries_.end()) return Insert(record, last_heartbeat_at);
  Entry& entry = found->second;
  record.member.state = std::max(record.member.state, entry.record.member.state);
  if (record.heartbeat > entry.record.heartbeat) return Update(record, last_heartbeat_at, &entry);
  if (record.member.state == entry.record.member.state) return false;
  entry.record.member.state = record.member.state;
  AddChange(entry);
  return UpdateState(&entry);
}

bool MembershipTable::ReceiveSelfRecord(const MemberRecord& record) {
  const bool should_refute =
      record.member.state == MemberState::kSuspect || record.member.state == MemberState::kDead;
  if (should_refute) heartbeat_ = std::max(heartbeat_, record.heartbeat + 1);
  return false;
}

bool MembershipTable::Insert(const MemberRecord& record, Duration last_heartbeat_at) {
  Entry entry{record, last_heartbeat_at, MemberState::kAlive};
  entry.state = StateOf(entry);
  // A member that is already dead in its first record is not added, since it has no effect here.
  if (entry.state == MemberState::kDead) return false;
  const Key key{record.member.id, record.member.incarnation};
  entries_.emplace(key, entry);
  AddChange(entry);
  EndEarlierIncarnations(record);
  return true;
}

bool MembershipTable::Update(const MemberRecord& record, Duration last_heartbeat_at, Entry* entry) {
  const bool revision_changed = entry->record.member.revision != record.member.revision;
  const bool declared = entry->record.member.state != record.member.state;
  entry->record = record;
  entry->last_heartbeat_at = std::max(entry->last_heartbeat_at, last_heartbeat_at);
  if (declared) AddChange(*entry);
  return UpdateState(entry) || revision_changed;
}

std::map<std::uint64_t, const MembershipTable::Entry*> MembershipTable::EntriesBySeat() const {
  std::map<std::uint64_t, const Entry*> by_seat;
  for (const Entry* entry : LiveEntries()) {
    const auto [slot, inserted] = by_seat.emplace(entry->record.member.seat.value(), entry);
    if (!inserted) slot->second = nullptr;
  }
  return by_seat;
}

bool MembershipTable::ReceiveHeartbeats(const SeatHeartbeats& heartbeats, Duration waited,
                                        Instant now) {
  constexpr std::uint64_t kModulus = SeatHeartbeats::kModulus;
  AdvanceListeningTime(now);
  bool changed = false;
  for (const auto& [seat, entry] : EntriesBySeat()) {
    if (entry == nullptr || seat < heartbeats.first_seat) continue;
    const std::size_t index = seat - heartbeats.first_seat;
    if (index >= heartbeats.counters.size()) break;
    const std::uint8_t counter = heartbeats.counters[index];
    if (counter == SeatHeartbeats::kNone) continue;
    const std::uint64_t known_heartbeat = entry->record.heartbeat;
    const std::uint64_t ahead = (counter + kModulus - known_heartbeat % kModulus) % kModulus;
    // The counter wraps around: more than half of its range ahead means an older heartbeat.
    if (ahead == 0 || ahead > kModulus / 2) continue;
    MemberRecord record = entry->record;
    record.heartbeat = known_heartbeat + ahead;
    record.age = Duration::zero();
    changed = Receive(record, waited, now) || changed;
  }
  return changed;
}

SeatHeartbeats MembershipTable::Heartbeats() const {
  SeatHeartbeats heartbeats;
  auto& counters = heartbeats.counters;
  for (const auto& [seat, entry] : EntriesBySeat()) {
    if (entry == nullptr) continue;
    counters.resize(std::max<std::size_t>(counters.size(), seat + 1), SeatHeartbeats::kNone);
    counters[seat] = static_cast<std::uint8_t>(entry->record.heartbeat % SeatHeartbeats::kModulus);
  }
  return heartbeats;
}

void MembershipTable::AddChange(const Entry& entry) {
  changed_members_.emplace_back(entry.record.member.id, entry.record.member.incarnation);
}

std::vector<MemberRecord> MembershipTable::TakeChanges() {
  std::vector<MemberRecord> records;
  for (const Key& key : changed_members_) {
    const auto entry = entries_.find(key);
    if (entry != entries_.end()) records.push_back(OutgoingRecord(entry->second));
  }
  changed_members_.clear();
  return records;
}

bool MembershipTable::EndEarlierIncarnations(const MemberRecord& record) {
  bool changed = false;
  auto entry = entries_.lower_bound(Key{record.member.id, Incarnation(0)});
  for (; entry != entries_.end() && entry->first.first == record.member.id; ++entry) {
    if (!IsSuccessor(record.member, entry->second.record.member)) continue;
    entry->second.record.member.state = MemberState::kDead;
    changed = UpdateState(&entry->second) || changed;
  }
  return changed;
}

// ---- failure detection ----

MemberState MembershipTable::StateOf(const Entry& entry) const {
  const MemberState declared = entry.record.member.state;
  if (declared == MemberState::kDead) return MemberState::kDead;
  const Duration time_since_heartbeat = TimeSinceHeartbeat(entry);
  if (time_since_heartbeat >= timeouts_.dead) return MemberState::kDead;
  if (declared == MemberState::kLeaving) return MemberState::kLeaving;
  return time_since_heartbeat >= timeouts_.suspect ? MemberState::kSuspect : MemberState::kAlive;
}

bool MembershipTable::UpdateState(Entry* entry) {
  const MemberState state = StateOf(*entry);
  if (state == entry->state) return false;
  entry->state = state;
  const bool is_declared_up = entry->record.member.state != MemberState::kDead;
  if (state == MemberState::kDead && is_declared_up) AddLostPeer(entry->record.member.peer_address);
  return true;
}

bool MembershipTable::IsExpired(const Entry& entry) const {
  return entry.state == MemberState::kDead &&
         TimeSinceHeartbeat(entry) >= timeouts_.dead + timeouts_.removed;
}

void MembershipTable::AddTombstone(const Key& key, std::uint64_t heartbeat) {
  if (tombstones_.count(key) == 0) tombstone_order_.push_back(key);
  tombstones_[key] = heartbeat;
  if (tombstone_order_.size() <= kMaxTombstones) return;
  tombstones_.erase(tombstone_order_.front());
  tombstone_order_.pop_front();
}

bool MembershipTable::Tick(Instant now) {
  AdvanceListeningTime(now);
  ++heartbeat_;
  bool changed = false;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    changed = UpdateState(&entry->second) || changed;
    if (!IsExpired(entry->second)) {
      ++entry;
      continue;
    }
    AddTombstone(entry->first, entry->second.record.heartbeat);
    entry = entries_.erase(entry);
    changed = true;
  }
  return changed;
}

// ---- state of this instance ----

void MembershipTable::DeclareLeaving() {
  if (self_.state == MemberState::kAlive) self_.state = MemberState::kLeaving;
  ++heartbeat_;
}

void MembershipTable::DeclareStopped() {
  self_.state = MemberState::kDead;
  ++heartbeat_;
}

void MembershipTable::SetRevision(Revision revision) { self_.revision = revision; }

MemberRecord MembershipTable::SelfRecord() const { return {self_, heartbeat_, Duration::zero()}; }

bool MembershipTable::IsSeatTaken() const {
  for (const auto& [key, entry] : entries_) {
    if (entry.state == MemberState::kDead || entry.record.member.seat != self_.seat) continue;
    const Key self_key{self_.id, self_.incarnation};
    if (std::tie(key.second, key.first) < std::tie(self_key.second, self_key.first)) return true;
  }
  return false;
}

// ---- sending ----

MemberRecord MembershipTable::OutgoingRecord(const Entry& entry) const {
  MemberRecord record = entry.record;
  // A declared state, leaving or dead, is forwarded unchanged.
  if (record.member.state == MemberState::kAlive) record.member.state = entry.state;
  record.age = TimeSinceHeartbeat(entry);
  return record;
}

std::vector<MemberRecord> MembershipTable::RecordsNewestFirst() const {
  std::vector<MemberRecord> records;
  for (const auto& [key, entry] : entries_) {
    const bool has_timed_out =
        entry.state == MemberState::kDead && entry.record.member.state != MemberState::kDead;
    if (has_timed_out) continue;
    records.push_back(OutgoingRecord(entry));
  }
  std::sort(records.begin(), records.end(),
            [](const MemberRecord& a, const MemberRecord& b) { return a.age < b.age; });
  return records;
}

std::vector<const MembershipTable::Entry*> MembershipTable::LiveEntries() const {
  std::vector<const Entry*> live;
  for (const auto& [key, entry] : entries_) {
    if (entry.state != MemberState::kDead) live.push_back(&entry);
  }
  return live;
}

std::size_t MembershipTable::LiveCount() const { return LiveEntries().size(); }

void MembershipTable::AddLostPeer(const SocketAddress& address) {
  const auto found = std::find(lost_peers_.begin(), lost_peers_.end(), address);
  if (found != lost_peers_.end()) lost_peers_.erase(found);
  lost_peers_.push_back(address);
  if (lost_peers_.size() > kMaxLostPeers) lost_peers_.pop_front();
}

bool MembershipTable::IsLiveAddress(const SocketAddress& address) const {
  if (address == self_.peer_address) return true;
  return std::any_of(entries_.begin(), entries_.end(), [&address](const auto& entry) {
    return entry.second.state != MemberState::kDead &&
           entry.second.record.member.peer_address == address;
  });
}

std::vector<SocketAddress> MembershipTable::UnreachableContacts(
    const std::vector<SocketAddress>& seeds) const {
  std::vector<SocketAddress> contacts = seeds;
  contacts.insert(contacts.end(), lost_peers_.begin(), lost_peers_.end());
  contacts.erase(
      std::remove_if(contacts.begin(), contacts.end(),
                     [this](const SocketAddress& address) { return IsLiveAddress(address); }),
      contacts.end());
  return contacts;
}

std::vector<SocketAddress> MembershipTable::PickGossipTargets(
    const std::vector<SocketAddress>& seeds, Random* random) {
  std::vector<const Entry*> live = LiveEntries();
  Shuffle(&live, random);
  std::vector<SocketAddress> targets;
  bool has_other_data_centre = false;
  for (const Entry* entry : live) {
    const Member& member = entry->record.member;
    const bool is_other_data_centre = member.data_centre != self_.data_centre;
    const bool is_selected =
        targets.size() < kRandomTargets || (is_other_data_centre && !has_other_data_centre);
    if (!is_selected) continue;
    if (targets.size() >= kRandomTargets) has_other_data_centre = true;
    targets.push_back(member.peer_address);
  }
  const bool is_isolated = targets.empty();
  if (!is_isolated && ++target_picks_ % kUnreachableContactPeriod != 0) return targets;
  std::vector<SocketAddress> contacts = UnreachableContacts(seeds);
  Shuffle(&contacts, random);
  contacts.resize(std::min<std::size_t>(contacts.size(), is_isolated ? kContactsWhenIsolated : 1));
  targets.insert(targets.end(), contacts.begin(), contacts.end());
  return targets;
}

std::vector<SocketAddress> MembershipTable::LivePeers(std::size_t limit, Random* random) const {
  std::vector<const Entry*> live = LiveEntries();
  Shuffle(&live, random);
  live.resize(std::min(live.size(), limit));
  std::vector<SocketAddress> addresses;
  addresses.reserve(live.size());
  for (const Entry* entry : live) addresses.push_back(entry->record.member.peer_address);
  return addresses;
}

MembershipView MembershipTable::View() const {
  MembershipView view;
  view.members.push_back(self_);
  for (const auto& [key, entry] : entries_) {
    view.members.push_back(entry.record.member);
    view.members.back().state = entry.state;
    view.members.back().has_ended = entry.record.member.state == MemberState::kDead;
  }
  view.is_seat_taken = IsSeatTaken();
  return view;
}

}  // namespace primroseweir
