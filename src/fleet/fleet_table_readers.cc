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
  const auto soon = std::min(before, FleetTable::kSoon);
  return soon * FleetTable::kFirstTurns + (before - soon) * FleetTable::kLaterTurns;
}

}  // namespace

std::pair<std::int64_t, std::uint64_t> FleetTable::ReaderRank(const FleetMember& member) {
  return {-static_cast<std::int64_t>(member.capacity.link_kilobytes), StableHash(member.ip)};
}

std::set<DataCentre> FleetTable::ReadingElsewhere(Instant now) const {
  std::set<DataCentre> reading;
  for (const auto& [ip, known] : peers_) {
    const auto& member = known.member;
    if (member.reads_store && !Near(member) && Live(known, now)) {
      reading.insert(member.data_centre);
    }
  }
  return reading;
}

std::size_t FleetTable::ReadingBefore(Instant now) const {
  const auto reading = ReadingElsewhere(now);
  const auto own = StableHash(self_.data_centre.value());
  return static_cast<std::size_t>(std::count_if(
      reading.begin(), reading.end(),
      [own](const DataCentre& data_centre) { return StableHash(data_centre.value()) < own; }));
}

bool FleetTable::AmongReading(Instant now) const {
  const auto own = StableHash(self_.data_centre.value());
  std::set<DataCentre> before;
  for (const auto& [ip, known] : peers_) {
    const auto& data_centre = known.member.data_centre;
    if (Live(known, now) && StableHash(data_centre.value()) < own) {
      before.insert(data_centre);
    }
  }
  return before.size() < kReadingDataCentres;
}

bool FleetTable::ShouldReadStore(Instant now) const {
  const auto elsewhere = self_.reads_store ? ReadingBefore(now) : ReadingElsewhere(now).size();
  if (elsewhere >= kReadingDataCentres) {
    return false;
  }
  const bool may_take_over =
      self_.reads_store || (now - first_beat_ > kSettled && PlaceAsReader(now).before == 0);
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const auto& member = entry.second.member;
    if (!Live(entry.second, now) || !Near(member) || !member.reads_store) {
      return false;
    }
    // Between two readers the rank decides; who does not read takes over from a slower link only.
    const bool better = self_.reads_store
                            ? ReaderRank(self_) < ReaderRank(member)
                            : self_.capacity.link_kilobytes > member.capacity.link_kilobytes;
    return !may_take_over || !better;
  });
}

FleetTable::Place FleetTable::PlaceAsReader(Instant now) const {
  Place place;
  const auto own = ReaderRank(self_);
  for (const auto& [ip, known] : peers_) {
    if (Near(known.member) && Live(known, now)) {
      ++place.count;
      place.before += ReaderRank(known.member) < own ? 1 : 0;
    }
  }
  return place;
}

Duration FleetTable::UntilRead(Instant now) {
  if (!ShouldReadStore(now)) {
    turns_since_ = Instant::max();
    return kAskAgain;
  }
  if (self_.reads_store) {
    return Duration::zero();
  }
  if (turns_since_ == Instant::max()) {
    turns_since_ = now;
    turn_taken_ = -1;
  }
  const auto place = PlaceAsReader(now);
  const Duration delay = AmongReading(now) ? Duration::zero() : Duration(kSpareDelay);
  const auto begin = turns_since_ + delay;
  const auto round = (now - begin) / (place.count * kLaterTurns);
  const auto turn = begin + round * place.count * kLaterTurns + TurnAfter(place.before);
  if (now >= turn && now >= begin && round > turn_taken_) {
    turn_taken_ = round;
    return Duration::zero();
  }
  return std::clamp<Duration>(turn - now, std::chrono::milliseconds(1), kAskAgain);
}

}  // namespace primroseweir
