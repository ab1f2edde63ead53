// Decides which instances read the platform's store, and in which order they call it while none
// does.
#include <algorithm>
#include <chrono>
#include <utility>

#include "primroseweir/base/rendezvous.h"
#include "primroseweir/fleet/fleet_table.h"

namespace primroseweir {
namespace {

// Returns the time from the start of a round to the attempt of the instance that has
// `instances_ahead` instances ahead of it.
Duration ReadDelay(std::int64_t instances_ahead) {
  const auto early = std::min(instances_ahead, FleetTable::kEarlyReaders);
  return early * FleetTable::kEarlyReadInterval +
         (instances_ahead - early) * FleetTable::kLaterReadInterval;
}

}  // namespace

std::pair<std::int64_t, std::uint64_t> FleetTable::ReaderRank(const FleetMember& member) {
  return {-static_cast<std::int64_t>(member.capacity.link_kilobytes_per_second),
          StableHash(member.ip)};
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
  const auto own_hash = StableHash(self_.data_centre.value());
  return static_cast<std::size_t>(
      std::count_if(reading.begin(), reading.end(), [own_hash](const DataCentre& data_centre) {
        return StableHash(data_centre.value()) < own_hash;
      }));
}

bool FleetTable::IsReadingDataCentre(Instant now) const {
  const auto own_hash = StableHash(self_.data_centre.value());
  std::set<DataCentre> ahead;
  for (const auto& [ip, peer_entry] : peers_) {
    const auto& data_centre = peer_entry.member.data_centre;
    if (IsLive(peer_entry, now) && StableHash(data_centre.value()) < own_hash) {
      ahead.insert(data_centre);
    }
  }
  return ahead.size() < kMaxReadingDataCentres;
}

bool FleetTable::ShouldReadStore(Instant now) const {
  const auto reading_data_centres =
      self_.reads_store ? ReadingDataCentresAhead(now) : OtherReadingDataCentres(now).size();
  if (reading_data_centres >= kMaxReadingDataCentres) {
    return false;
  }
  const bool may_take_over = self_.reads_store || (now - first_heartbeat_ > kReaderSettleTime &&
                                                   FindReaderPosition(now).instances_ahead == 0);
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& entry) {
    const auto& member = entry.second.member;
    if (!IsLive(entry.second, now) || !IsLocal(member) || !member.reads_store) {
      return false;
    }
    // Between two readers the rank decides. An instance that does not read takes over only from one
    // with a slower link.
    const bool is_better = self_.reads_store ? ReaderRank(self_) < ReaderRank(member)
                                             : self_.capacity.link_kilobytes_per_second >
                                                   member.capacity.link_kilobytes_per_second;
    return !may_take_over || !is_better;
  });
}

FleetTable::ReaderPosition FleetTable::FindReaderPosition(Instant now) const {
  ReaderPosition position;
  const auto own_rank = ReaderRank(self_);
  for (const auto& [ip, peer_entry] : peers_) {
    if (IsLocal(peer_entry.member) && IsLive(peer_entry, now)) {
      ++position.instances;
      position.instances_ahead += ReaderRank(peer_entry.member) < own_rank ? 1 : 0;
    }
  }
  return position;
}

Duration FleetTable::TimeUntilRead(Instant now) {
  if (!ShouldReadStore(now)) {
    read_rounds_started_ = Instant::max();
    return kReadCheckInterval;
  }
  if (self_.reads_store) {
    return Duration::zero();
  }
  if (read_rounds_started_ == Instant::max()) {
    read_rounds_started_ = now;
    last_read_round_ = -1;
  }
  const auto position = FindReaderPosition(now);
  const Duration delay =
      IsReadingDataCentre(now) ? Duration::zero() : Duration(kStandbyDataCentreDelay);
  const auto first_round = read_rounds_started_ + delay;
  const auto round = (now - first_round) / (position.instances * kLaterReadInterval);
  const auto attempt = first_round + round * position.instances * kLaterReadInterval +
                       ReadDelay(position.instances_ahead);
  if (now >= attempt && now >= first_round && round > last_read_round_) {
    last_read_round_ = round;
    return Duration::zero();
  }
  return std::clamp<Duration>(attempt - now, std::chrono::milliseconds(1), kReadCheckInterval);
}

}  // namespace primroseweir
