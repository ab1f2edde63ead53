// Which instances read the platform's store, and whose turn it is to ask it while none does.
#include <algorithm>
#include <chrono>
#include <utility>

#include "primroseweir/base/rendezvous.h"
#include "primroseweir/fleet/fleet_table.h"

namespace primroseweir {
namespace {

// Time from the start of the turns to that of the instance with so many before it.
Duration TurnAfter(std::int64_t before) {
  const auto soon = std::min(before, FleetTable::kFirstTurnCount);
  return soon * FleetTable::kFirstTurnInterval + (before - soon) * FleetTable::kLaterTurnInterval;
}

}  // namespace

std::pair<std::int64_t, std::uint64_t> FleetTable::ReaderRank(const FleetMember& member) {
  return {-static_cast<std::int64_t>(member.capacity.link_kilobytes), StableHash(member.ip)};
}

std::set<DataCentre> FleetTable::OtherReadingDataCentres(Instant now) const {
  std::set<DataCentre> reading;
  for (const auto& [ip, peer_entry] : peers_) {
    const auto& member = peer_entry.member;
    if (member.reads_store && !IsLocal(member) && IsLive(peer_entry, now)) {
      reading.insert(member.data_centre);
    }
  }
  return reading;
}

std::size_t FleetTable::ReadingDataCentresAhead(Instant now) const {
  const auto reading = OtherReadingDataCentres(now);
  const auto own = StableHash(self_.data_centre.value());
  return static_cast<std::size_t>(std::count_if(
      reading.begin(), reading.end(),
      [own](const DataCentre& data_centre) { return StableHash(data_centre.value()) < own; }));
}

bool FleetTable::IsReadingDataCentre(Instant now) const {
  const auto own = StableHash(self_.data_centre.value());
  std::set<DataCentre> before;
  for (const auto& [ip, peer_entry] : peers_) {
    const auto& data_centre = peer_entry.member.data_centre;
    if (IsLive(peer_entry, now) && StableHash(data_centre.value()) < own) {
      before.insert(data_centre);
    }
  }
  return before.size() < kMaxReadingDataCentres;
}

bool FleetTable::ShouldReadStore(Instant now) const {
  const auto elsewhere =
      self_.reads_store ? ReadingDataCentresAhead(now) : OtherReadingDataCentres(now).size();
  if (elsewhere >= kMaxReadingDataCentres) {
    return false;
  }
  const bool may_take_over = self_.reads_store || (now - first_heartbeat_ > kReaderSettleTime &&
                                                   FindReaderPosition(now).before == 0);
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const auto& member = entry.second.member;
    if (!IsLive(entry.second, now) || !IsLocal(member) || !member.reads_store) {
      return false;
    }
    // Between two readers the rank decides; who does not read takes over from a slower link only.
    const bool better = self_.reads_store
                            ? ReaderRank(self_) < ReaderRank(member)
                            : self_.capacity.link_kilobytes > member.capacity.link_kilobytes;
    return !may_take_over || !better;
  });
}

FleetTable::ReaderPosition FleetTable::FindReaderPosition(Instant now) const {
  ReaderPosition place;
  const auto own = ReaderRank(self_);
  for (const auto& [ip, peer_entry] : peers_) {
    if (IsLocal(peer_entry.member) && IsLive(peer_entry, now)) {
      ++place.count;
      place.before += ReaderRank(peer_entry.member) < own ? 1 : 0;
    }
  }
  return place;
}

Duration FleetTable::TimeUntilRead(Instant now) {
  if (!ShouldReadStore(now)) {
    turns_started_ = Instant::max();
    return kReadCheckInterval;
  }
  if (self_.reads_store) {
    return Duration::zero();
  }
  if (turns_started_ == Instant::max()) {
    turns_started_ = now;
    last_turn_ = -1;
  }
  const auto place = FindReaderPosition(now);
  const Duration delay =
      IsReadingDataCentre(now) ? Duration::zero() : Duration(kStandbyDataCentreDelay);
  const auto begin = turns_started_ + delay;
  const auto round = (now - begin) / (place.count * kLaterTurnInterval);
  const auto turn = begin + round * place.count * kLaterTurnInterval + TurnAfter(place.before);
  if (now >= turn && now >= begin && round > last_turn_) {
    last_turn_ = round;
    return Duration::zero();
  }
  return std::clamp<Duration>(turn - now, std::chrono::milliseconds(1), kReadCheckInterval);
}

}  // namespace primroseweir
